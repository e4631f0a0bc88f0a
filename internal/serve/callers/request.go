package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"mime"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
)

const (
	maxRequestID = 128 // bytes of a request id
	maxAPIKey    = 512 // bytes of an API key
)

// requestError is the error of an invalid request.
type requestError struct {
	reason outcome.Reason
	detail string
}

// Error returns the text for the caller: the detail, or the reason's sentence if there is
// none.
func (requestError requestError) Error() string {
	if requestError.detail == "" {
		return requestError.reason.Sentence()
	}
	return requestError.detail
}

// newArrival returns an arrival with the caller's request id, or with a new one if the
// request has no valid id, so that every answer can carry one.
func newArrival(request *http.Request) node.RequestArrived {
	given := request.Header.Get(RequestIDHeader)
	if given == "" || !isToken(given, maxRequestID) {
		given = uuid.NewString()
	}
	return node.RequestArrived{RequestID: given}
}

// readRequest reads and checks what all kinds of requests have in common. The arrival has
// a request id even if an error is returned.
func (api *API) readRequest(writer http.ResponseWriter, request *http.Request) (node.RequestArrived, error) {
	arrived := newArrival(request)
	if given := request.Header.Get(RequestIDHeader); given != "" && given != arrived.RequestID {
		return arrived, requestError{outcome.BadRequest, RequestIDHeader + ": want at most 128 printable characters"}
	}
	key, err := api.authorize(request)
	if err != nil {
		return arrived, err
	}
	arrived.APIKey = key
	if arrived.NotRepeatable, err = notRepeatable(request); err != nil {
		return arrived, err
	}
	if arrived.Body, err = api.readBody(writer, request); err != nil {
		return arrived, err
	}
	return arrived, api.readIdempotencyKey(request, &arrived)
}

// authorize returns the API key. An unknown key is refused before the body is read, so
// that unauthorized requests use few resources.
func (api *API) authorize(request *http.Request) (string, error) {
	given := request.Header.Values("Authorization")
	if len(given) == 0 {
		return "", requestError{outcome.Unauthorized, ""}
	}
	key, found := strings.CutPrefix(given[0], "Bearer ")
	if !found || len(given) > 1 || !isToken(key, maxAPIKey) {
		return "", requestError{outcome.Unauthorized, "Authorization: want one header, Bearer and an API key"}
	}
	if snapshot := api.daemon.Config(); snapshot != nil {
		if _, known := snapshot.CallerByKey(key); !known {
			return "", requestError{outcome.Unauthorized, ""}
		}
	}
	return key, nil
}

// notRepeatable reads NotRepeatableHeader.
func notRepeatable(request *http.Request) (bool, error) {
	switch request.Header.Get(NotRepeatableHeader) {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, requestError{outcome.BadRequest, NotRepeatableHeader + ": want true or false"}
}

// readBody reads the body within the limits on size and time. The HTTP server has no read
// timeout, because it would also end answers that take longer.
func (api *API) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if encoding := request.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, requestError{outcome.UnsupportedType, "Content-Encoding: want none"}
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(api.options.BodyTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, api.options.MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, requestError{outcome.BodyTooLarge, "body: want at most " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, requestError{outcome.BodyTimeout, ""}
	}
	return nil, requestError{outcome.BadRequest, "body: ended early"}
}

// readIdempotencyKey reads the idempotency key and its issue time, if there is a key.
func (api *API) readIdempotencyKey(request *http.Request, arrived *node.RequestArrived) error {
	given := request.Header.Values(IdempotencyKeyHeader)
	if len(given) == 0 {
		return nil
	}
	if len(given) > 1 || !isToken(given[0], api.options.MaxKeyBytes) {
		return requestError{outcome.BadRequest, IdempotencyKeyHeader + ": want one header of at most " +
			strconv.Itoa(api.options.MaxKeyBytes) + " printable characters"}
	}
	issued, err := keyIssuedAt(given[0], request.Header.Get(IdempotencyIssuedHeader))
	if err != nil {
		return err
	}
	arrived.Key, arrived.KeyIssuedAt = given[0], issued
	arrived.BodyHash = bodyHash(request, arrived.Body)
	return nil
}

// checkJSON refuses a content type other than JSON. A missing one is accepted.
func checkJSON(request *http.Request) error {
	given := request.Header.Get("Content-Type")
	if given == "" {
		return nil
	}
	if media, _, err := mime.ParseMediaType(given); err != nil || media != "application/json" {
		return requestError{outcome.UnsupportedType, "Content-Type: want application/json"}
	}
	return nil
}

// isToken reports whether a header's value is not empty, no longer than limit, and has only
// printable ASCII characters other than spaces.
func isToken(text string, limit int) bool {
	return text != "" && len(text) <= limit &&
		strings.IndexFunc(text, func(char rune) bool { return char <= ' ' || char >= 0x7f }) < 0
}

// bodyHash returns a hash of a request's method, target and body. It detects that an
// idempotency key is used for another request.
func bodyHash(request *http.Request, body []byte) string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, request.Method+" "+request.URL.RequestURI()+"\n")
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// keyIssuedAt returns when an idempotency key was created, from the header or, if there is
// none, from the key, which must then be a UUID of version 7.
func keyIssuedAt(key, header string) (clock.Millis, error) {
	if header != "" {
		millis, err := strconv.ParseInt(header, 10, 64)
		if err != nil || millis <= 0 {
			return 0, requestError{outcome.BadRequest, IdempotencyIssuedHeader + ": want milliseconds since the Unix epoch"}
		}
		return clock.Millis(millis), nil
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return 0, requestError{outcome.BadRequest, IdempotencyKeyHeader + ": want a UUID of version 7, or " + IdempotencyIssuedHeader + " beside it"}
	}
	seconds, nanos := parsed.Time().UnixTime()
	return clock.Millis(seconds*1000 + nanos/1_000_000), nil
}
