// Package callers is the API for callers: OpenAI-compatible completions and
// chat, the list of models, and calls to plain services.
package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/daemon"
)

// Headers of the callers' API.
const (
	// KeyHeader carries the idempotency key of a request.
	KeyHeader = "Idempotency-Key"
	// IssuedHeader says when the key was made, in milliseconds since the Unix
	// epoch; not needed when the key is a UUID of version 7.
	IssuedHeader = "Idempotency-Issued"
	// NotRepeatableHeader asks for a request to be treated as not repeatable.
	NotRepeatableHeader = "Teaselmoor-Not-Repeatable"
	RequestHeader       = "X-Request-Id"
	OutcomeHeader       = "Teaselmoor-Outcome"
	ReasonHeader        = "Teaselmoor-Reason"
)

// ServicesPath is the prefix of calls to plain services.
const ServicesPath = "/services/"

// Options bound what a caller may send.
type Options struct {
	MaxBody int64 // bytes
}

// DefaultOptions returns the limits used when settings name none.
func DefaultOptions() Options {
	return Options{MaxBody: 4 << 20}
}

// API serves callers.
type API struct {
	daemon  *daemon.Daemon
	options Options
	log     *slog.Logger
}

// New returns the API's handler.
func New(serving *daemon.Daemon, options Options, log *slog.Logger) http.Handler {
	api := &API{daemon: serving, options: options, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", api.model)
	mux.HandleFunc("POST /v1/chat/completions", api.model)
	mux.HandleFunc("GET /v1/models", api.models)
	mux.HandleFunc(ServicesPath, api.service)
	return mux
}

// modelRequest is the part of a model request that the entry reads.
type modelRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (api *API) model(writer http.ResponseWriter, request *http.Request) {
	body, arrived, ok := api.take(writer, request)
	if !ok {
		return
	}
	var head modelRequest
	if err := json.Unmarshal(body, &head); err != nil {
		refuse(writer, arrived.RequestID, outcome.Refused(outcome.BadRequest, 0), "the body is not a JSON object: "+err.Error())
		return
	}
	if head.Model == "" {
		refuse(writer, arrived.RequestID, outcome.Refused(outcome.BadRequest, 0), "model: want adapter@version")
		return
	}
	arrived.Model, arrived.Streaming = head.Model, head.Stream
	arrived.Path = request.URL.Path
	api.answer(writer, request, arrived, &daemon.Ticket{})
}

func (api *API) service(writer http.ResponseWriter, request *http.Request) {
	body, arrived, ok := api.take(writer, request)
	if !ok {
		return
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, ServicesPath), "/")
	arrived.Service = name
	target := "/" + path
	if request.URL.RawQuery != "" {
		target += "?" + request.URL.RawQuery
	}
	ticket := &daemon.Ticket{}
	ticket.Call.Method = request.Method
	ticket.Call.Path = target
	ticket.Call.ContentType = request.Header.Get("Content-Type")
	ticket.Call.RequestID = arrived.RequestID
	ticket.Call.Body = body
	api.answer(writer, request, arrived, ticket)
}

// take reads what all requests have in common. When it reports false, it has
// answered already.
func (api *API) take(writer http.ResponseWriter, request *http.Request) ([]byte, node.Arrived, bool) {
	arrived := node.Arrived{RequestID: requestID(request), APIKey: apiKey(request)}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, api.options.MaxBody))
	if err != nil {
		refuse(writer, arrived.RequestID, outcome.Refused(outcome.BadRequest, 0), "body: "+err.Error())
		return nil, arrived, false
	}
	arrived.Body = body
	arrived.Key = request.Header.Get(KeyHeader)
	arrived.NotRepeatable = request.Header.Get(NotRepeatableHeader) != ""
	if arrived.Key == "" {
		return body, arrived, true
	}
	arrived.BodyHash = bodyHash(request, body)
	issued, err := issuedAt(arrived.Key, request.Header.Get(IssuedHeader))
	if err != nil {
		refuse(writer, arrived.RequestID, outcome.Refused(outcome.BadRequest, 0), err.Error())
		return nil, arrived, false
	}
	arrived.KeyIssuedAt = issued
	return body, arrived, true
}

// bodyHash identifies a request's content, with what it is addressed to.
func bodyHash(request *http.Request, body []byte) string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, request.Method+" "+request.URL.RequestURI()+"\n")
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

func requestID(request *http.Request) string {
	if given := request.Header.Get(RequestHeader); given != "" && len(given) <= 128 {
		return given
	}
	return uuid.NewString()
}

func apiKey(request *http.Request) string {
	key, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	return key
}

// issuedAt tells when an idempotency key was made: from the header, or from the
// key itself when it is a UUID of version 7.
func issuedAt(key, header string) (clock.Millis, error) {
	if header != "" {
		millis, err := strconv.ParseInt(header, 10, 64)
		if err != nil {
			return 0, errBadIssued
		}
		return clock.Millis(millis), nil
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return 0, errNoIssued
	}
	seconds, nanos := parsed.Time().UnixTime()
	return clock.Millis(seconds*1000 + nanos/1_000_000), nil
}
