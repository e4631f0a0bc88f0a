// Package callers is the API for callers: OpenAI-compatible completions and
// chat, the list of models, and calls to plain services.
//
// Whatever is wrong with a request is answered with a JSON error, a reason code
// and the outcome header; it was then not run. API keys are never logged.
package callers

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
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
	// NotRepeatableHeader asks for a request to be treated as not repeatable:
	// true or false.
	NotRepeatableHeader = "Teaselmoor-Not-Repeatable"
	RequestHeader       = "X-Request-Id"
	OutcomeHeader       = "Teaselmoor-Outcome"
	ReasonHeader        = "Teaselmoor-Reason"
)

// Paths of the callers' API.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
	ModelsPath      = "/v1/models"
	// ServicesPath is the prefix of calls to plain services.
	ServicesPath = "/services/"
)

// Options bound what a caller may send.
type Options struct {
	MaxBody int64 // bytes
	// MaxKey bounds an idempotency key, in bytes.
	MaxKey int
	// BodyTimeout is the longest wait for a body.
	BodyTimeout clock.Millis
}

// DefaultOptions returns the limits used when settings name none.
func DefaultOptions() Options {
	return Options{MaxBody: 4 << 20, MaxKey: 255, BodyTimeout: 30 * clock.Second}
}

// Daemon is what the API needs of a daemon.
type Daemon interface {
	Begin(arrived node.Arrived, ticket *daemon.Ticket)
	Gone(ticket *daemon.Ticket)
	// Refused notes a refusal and returns its record completed.
	Refused(record outcome.Record) outcome.Record
	Config() *config.Snapshot
}

// API serves callers.
type API struct {
	daemon  Daemon
	options Options
	log     *slog.Logger
}

// New returns the API's handler.
func New(serving Daemon, options Options, log *slog.Logger) http.Handler {
	api := &API{daemon: serving, options: options, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc(CompletionsPath, api.only(http.MethodPost, api.model))
	mux.HandleFunc(ChatPath, api.only(http.MethodPost, api.model))
	mux.HandleFunc(ModelsPath, api.only(http.MethodGet, api.models))
	mux.HandleFunc(ServicesPath, api.service)
	mux.HandleFunc("/", api.unknownPath)
	return mux
}

// only refuses every other method.
func (api *API) only(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == method {
			handle(writer, request)
			return
		}
		writer.Header().Set("Allow", method)
		api.refuse(writer, newArrival(request), mistake{outcome.WrongMethod, "want " + method})
	}
}

func (api *API) unknownPath(writer http.ResponseWriter, request *http.Request) {
	api.refuse(writer, newArrival(request), mistake{outcome.UnknownPath, ""})
}

// modelRequest is the part of a model request that the entry reads.
type modelRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (api *API) model(writer http.ResponseWriter, request *http.Request) {
	arrived, err := api.take(writer, request)
	if err == nil {
		err = readModel(request, &arrived)
	}
	if err != nil {
		api.refuse(writer, arrived, err)
		return
	}
	arrived.Path = request.URL.Path
	api.answer(writer, request, arrived, &daemon.Ticket{})
}

// readModel reads what a model request addresses.
func readModel(request *http.Request, arrived *node.Arrived) error {
	if err := checkJSON(request); err != nil {
		return err
	}
	var head modelRequest
	if err := json.Unmarshal(arrived.Body, &head); err != nil {
		return mistake{outcome.BadRequest, jsonMistake(err)}
	}
	if head.Model == "" {
		return mistake{outcome.BadRequest, "model: want adapter@version"}
	}
	if _, err := ident.ParseAdapter(head.Model); err != nil {
		return mistake{outcome.BadRequest, err.Error()}
	}
	arrived.Model, arrived.Streaming = head.Model, head.Stream
	return nil
}

// jsonMistake describes a JSON error without quoting the body.
func jsonMistake(err error) string {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return "the body is not a JSON object"
	}
	if wrongType.Field == "" {
		return "the body is a JSON " + wrongType.Value + ": want an object"
	}
	wants := map[string]string{"model": "a string", "stream": "true or false"}
	return wrongType.Field + ": a JSON " + wrongType.Value + ": want " + wants[wrongType.Field]
}

func (api *API) service(writer http.ResponseWriter, request *http.Request) {
	arrived, err := api.take(writer, request)
	name, path, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, ServicesPath), "/")
	arrived.Service = name
	if err == nil && name == "" {
		err = mistake{outcome.UnknownPath, "want " + ServicesPath + "NAME/..."}
	}
	if err != nil {
		api.refuse(writer, arrived, err)
		return
	}
	target := "/" + path
	if request.URL.RawQuery != "" {
		target += "?" + request.URL.RawQuery
	}
	ticket := &daemon.Ticket{}
	ticket.Call.Method = request.Method
	ticket.Call.Path = target
	ticket.Call.ContentType = request.Header.Get("Content-Type")
	ticket.Call.RequestID = arrived.RequestID
	ticket.Call.Body = arrived.Body
	api.answer(writer, request, arrived, ticket)
}
