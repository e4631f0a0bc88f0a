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
	"net/url"
	"path"
	"strings"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/health"
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
	// HealthPath and ReadyPath are for a balancer that asks where callers call.
	HealthPath = "/health"
	ReadyPath  = "/ready"
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
	StartRequest(arrived node.RequestArrived, pending *daemon.PendingRequest)
	CallerDisconnected(pending *daemon.PendingRequest)
	// RecordRefusal notes a refusal and returns its record completed.
	RecordRefusal(record outcome.Record) outcome.Record
	Config() *config.Snapshot
	Ready() bool
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
	mux.HandleFunc(HealthPath, api.only(http.MethodGet, health.Live))
	mux.HandleFunc(ReadyPath, api.only(http.MethodGet, health.Ready(api.daemon.Ready)))
	mux.HandleFunc("/", api.unknownPath)
	return api.cleanPaths(mux)
}

// cleanPaths refuses paths that the mux would answer with a redirect, which a
// caller could not tell from an answer of a service.
func (api *API) cleanPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		cleaned := path.Clean(request.URL.Path)
		if cleaned != "/" && strings.HasSuffix(request.URL.Path, "/") {
			cleaned += "/"
		}
		if cleaned != request.URL.Path {
			api.refuse(writer, newArrival(request), mistake{outcome.UnknownPath, "want a path without empty or dot segments"})
			return
		}
		next.ServeHTTP(writer, request)
	})
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
	api.answer(writer, request, arrived, &daemon.PendingRequest{})
}

// readModel reads what a model request addresses.
func readModel(request *http.Request, arrived *node.RequestArrived) error {
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
	name, target := serviceTarget(request.URL)
	arrived.Service = name
	if err == nil && name == "" {
		err = mistake{outcome.UnknownPath, "want " + ServicesPath + "NAME/..."}
	}
	if err != nil {
		api.refuse(writer, arrived, err)
		return
	}
	pending := &daemon.PendingRequest{}
	pending.Call.Method = request.Method
	pending.Call.Path = target
	pending.Call.ContentType = request.Header.Get("Content-Type")
	pending.Call.RequestID = arrived.RequestID
	pending.Call.Body = arrived.Body
	api.answer(writer, request, arrived, pending)
}

// serviceTarget returns a service's name and what is asked of it: path and
// query, escaped as the caller wrote them.
func serviceTarget(of *url.URL) (name, target string) {
	rawName, rest, _ := strings.Cut(strings.TrimPrefix(of.EscapedPath(), ServicesPath), "/")
	name, err := url.PathUnescape(rawName)
	if err != nil {
		return "", ""
	}
	target = "/" + rest
	if of.RawQuery != "" {
		target += "?" + of.RawQuery
	}
	return name, target
}
