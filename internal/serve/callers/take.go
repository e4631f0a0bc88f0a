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

// mistake is what is wrong with a request. It is an error.
type mistake struct {
	reason outcome.Reason
	detail string
}

// Error says what is wrong, for the caller.
func (mistake mistake) Error() string {
	if mistake.detail == "" {
		return mistake.reason.Sentence()
	}
	return mistake.detail
}

// newArrival reads the request id, for an answer of any kind.
func newArrival(request *http.Request) node.RequestArrived {
	given := request.Header.Get(RequestHeader)
	if given == "" || !isToken(given, maxRequestID) {
		given = uuid.NewString()
	}
	return node.RequestArrived{RequestID: given}
}

// take reads what all requests have in common. The arrival has a request id even
// when there is an error.
func (api *API) take(writer http.ResponseWriter, request *http.Request) (node.RequestArrived, error) {
	arrived := newArrival(request)
	if given := request.Header.Get(RequestHeader); given != "" && given != arrived.RequestID {
		return arrived, mistake{outcome.BadRequest, RequestHeader + ": want at most 128 printable characters"}
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
	return arrived, api.takeKey(request, &arrived)
}

// authorize returns the API key. An unknown one is refused before the body is
// read, so that strangers cost little.
func (api *API) authorize(request *http.Request) (string, error) {
	given := request.Header.Values("Authorization")
	if len(given) == 0 {
		return "", mistake{outcome.Unauthorized, ""}
	}
	key, found := strings.CutPrefix(given[0], "Bearer ")
	if !found || len(given) > 1 || !isToken(key, maxAPIKey) {
		return "", mistake{outcome.Unauthorized, "Authorization: want one header, Bearer and an API key"}
	}
	if snapshot := api.daemon.Config(); snapshot != nil {
		if _, known := snapshot.CallerByKey(key); !known {
			return "", mistake{outcome.Unauthorized, ""}
		}
	}
	return key, nil
}

func notRepeatable(request *http.Request) (bool, error) {
	switch request.Header.Get(NotRepeatableHeader) {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, mistake{outcome.BadRequest, NotRepeatableHeader + ": want true or false"}
}

// readBody reads the body within the limits. The server sets no timeout for it,
// because that one would also end answers that take longer.
func (api *API) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if encoding := request.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, mistake{outcome.UnsupportedType, "Content-Encoding: want none"}
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(api.options.BodyTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, api.options.MaxBody))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, mistake{outcome.BodyTooLarge, "body: want at most " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, mistake{outcome.BodyTimeout, ""}
	}
	return nil, mistake{outcome.BadRequest, "body: ended early"}
}

// takeKey reads the idempotency key, if there is one.
func (api *API) takeKey(request *http.Request, arrived *node.RequestArrived) error {
	given := request.Header.Values(KeyHeader)
	if len(given) == 0 {
		return nil
	}
	if len(given) > 1 || !isToken(given[0], api.options.MaxKey) {
		return mistake{outcome.BadRequest, KeyHeader + ": want one header of at most " +
			strconv.Itoa(api.options.MaxKey) + " printable characters"}
	}
	issued, err := issuedAt(given[0], request.Header.Get(IssuedHeader))
	if err != nil {
		return err
	}
	arrived.Key, arrived.KeyIssuedAt = given[0], issued
	arrived.BodyHash = bodyHash(request, arrived.Body)
	return nil
}

// checkJSON refuses a content type that says something else than JSON.
func checkJSON(request *http.Request) error {
	given := request.Header.Get("Content-Type")
	if given == "" {
		return nil
	}
	if media, _, err := mime.ParseMediaType(given); err != nil || media != "application/json" {
		return mistake{outcome.UnsupportedType, "Content-Type: want application/json"}
	}
	return nil
}

// isToken reports whether a header's value is short enough and has only
// printable ASCII characters, without spaces.
func isToken(text string, limit int) bool {
	return text != "" && len(text) <= limit &&
		strings.IndexFunc(text, func(char rune) bool { return char <= ' ' || char >= 0x7f }) < 0
}

// bodyHash identifies a request's content, with what it is addressed to.
func bodyHash(request *http.Request, body []byte) string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, request.Method+" "+request.URL.RequestURI()+"\n")
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// issuedAt tells when an idempotency key was made: from the header, or from the
// key itself when it is a UUID of version 7.
func issuedAt(key, header string) (clock.Millis, error) {
	if header != "" {
		millis, err := strconv.ParseInt(header, 10, 64)
		if err != nil || millis <= 0 {
			return 0, mistake{outcome.BadRequest, IssuedHeader + ": want milliseconds since the Unix epoch"}
		}
		return clock.Millis(millis), nil
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return 0, mistake{outcome.BadRequest, KeyHeader + ": want a UUID of version 7, or " + IssuedHeader + " beside it"}
	}
	seconds, nanos := parsed.Time().UnixTime()
	return clock.Millis(seconds*1000 + nanos/1_000_000), nil
}
