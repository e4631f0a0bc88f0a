// Package callers implements the API for callers: OpenAI-compatible completions and chat
// completions, the list of models, and calls to plain services.
//
// An invalid request is not run. It is answered with a JSON error and with the headers for
// the outcome and the reason code. API keys are never logged.
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
	// IdempotencyKeyHeader carries the idempotency key of a request.
	IdempotencyKeyHeader = "Idempotency-Key"
	// IdempotencyIssuedHeader carries the time at which the key was created, in milliseconds since
	// the Unix epoch. It is not needed if the key is a UUID of version 7.
	IdempotencyIssuedHeader = "Idempotency-Issued"
	// NotRepeatableHeader is true if the request must be treated as not repeatable, and
	// otherwise false or missing.
	NotRepeatableHeader = "Teaselmoor-Not-Repeatable"
	RequestIDHeader     = "X-Request-Id"
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
	// HealthPath and ReadyPath serve load balancers that check the callers' address.
	HealthPath = "/health"
	ReadyPath  = "/ready"
)

// Options holds limits on the requests of callers.
type Options struct {
	// MaxBodyBytes is the largest accepted body, in bytes.
	MaxBodyBytes int64
	// MaxKeyBytes is the largest accepted idempotency key, in bytes.
	MaxKeyBytes int
	// BodyTimeout is the maximum time to read a body.
	BodyTimeout clock.Millis
}

// DefaultOptions returns the limits that apply if the settings do not set any.
func DefaultOptions() Options {
	return Options{MaxBodyBytes: 4 << 20, MaxKeyBytes: 255, BodyTimeout: 30 * clock.Second}
}

// Daemon is the part of a daemon that the API uses.
type Daemon interface {
	StartRequest(arrived node.RequestArrived, pending *daemon.PendingRequest)
	CallerDisconnected(pending *daemon.PendingRequest)
	// RecordRefusal records a refusal and returns its record with the daemon and time set.
	RecordRefusal(record outcome.Record) outcome.Record
	Config() *config.Snapshot
	Ready() bool
}

// API serves the requests of callers.
type API struct {
	daemon  Daemon
	options Options
	log     *slog.Logger
}

// New returns the handler of the API.
func New(serving Daemon, options Options, log *slog.Logger) http.Handler {
	api := &API{daemon: serving, options: options, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc(CompletionsPath, api.allowMethod(http.MethodPost, api.handleModelRequest))
	mux.HandleFunc(ChatPath, api.allowMethod(http.MethodPost, api.handleModelRequest))
	mux.HandleFunc(ModelsPath, api.allowMethod(http.MethodGet, api.handleModelList))
	mux.HandleFunc(ServicesPath, api.handleServiceRequest)
	mux.HandleFunc(HealthPath, api.allowMethod(http.MethodGet, health.Live))
	mux.HandleFunc(ReadyPath, api.allowMethod(http.MethodGet, health.Ready(api.daemon.Ready)))
	mux.HandleFunc("/", api.handleUnknownPath)
	return api.requireCleanPath(mux)
}

// requireCleanPath refuses paths that the mux would answer with a redirect, because a
// caller could not distinguish the redirect from an answer of a service.
func (api *API) requireCleanPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		cleaned := path.Clean(request.URL.Path)
		if cleaned != "/" && strings.HasSuffix(request.URL.Path, "/") {
			cleaned += "/"
		}
		if cleaned != request.URL.Path {
			api.refuse(writer, newArrival(request), requestError{outcome.UnknownPath, "want a path without empty or dot segments"})
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// allowMethod returns a handler that refuses requests with any method but the given one.
func (api *API) allowMethod(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == method {
			handle(writer, request)
			return
		}
		writer.Header().Set("Allow", method)
		api.refuse(writer, newArrival(request), requestError{outcome.WrongMethod, "want " + method})
	}
}

func (api *API) handleUnknownPath(writer http.ResponseWriter, request *http.Request) {
	api.refuse(writer, newArrival(request), requestError{outcome.UnknownPath, ""})
}

// modelRequest holds the fields of a model request that the daemon reads.
type modelRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (api *API) handleModelRequest(writer http.ResponseWriter, request *http.Request) {
	arrived, err := api.readRequest(writer, request)
	if err == nil {
		err = parseModelRequest(request, &arrived)
	}
	if err != nil {
		api.refuse(writer, arrived, err)
		return
	}
	arrived.Path = request.URL.Path
	api.runRequest(writer, request, arrived, &daemon.PendingRequest{})
}

// parseModelRequest sets the model and the streaming flag of a model request.
func parseModelRequest(request *http.Request, arrived *node.RequestArrived) error {
	if err := checkJSON(request); err != nil {
		return err
	}
	var fields modelRequest
	if err := json.Unmarshal(arrived.Body, &fields); err != nil {
		return requestError{outcome.BadRequest, describeJSONError(err)}
	}
	if fields.Model == "" {
		return requestError{outcome.BadRequest, "model: want adapter@version"}
	}
	if _, err := ident.ParseAdapter(fields.Model); err != nil {
		return requestError{outcome.BadRequest, err.Error()}
	}
	arrived.Model, arrived.Streaming = fields.Model, fields.Stream
	return nil
}

// describeJSONError describes a JSON error to the caller without quoting the body.
func describeJSONError(err error) string {
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

func (api *API) handleServiceRequest(writer http.ResponseWriter, request *http.Request) {
	arrived, err := api.readRequest(writer, request)
	name, target := serviceTarget(request.URL)
	arrived.Service = name
	if err == nil && name == "" {
		err = requestError{outcome.UnknownPath, "want " + ServicesPath + "NAME/..."}
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
	api.runRequest(writer, request, arrived, pending)
}

// serviceTarget returns the name of the addressed service, and the path and query to
// request from it, escaped as the caller sent them.
func serviceTarget(requested *url.URL) (name, target string) {
	rawName, rest, _ := strings.Cut(strings.TrimPrefix(requested.EscapedPath(), ServicesPath), "/")
	name, err := url.PathUnescape(rawName)
	if err != nil {
		return "", ""
	}
	target = "/" + rest
	if requested.RawQuery != "" {
		target += "?" + requested.RawQuery
	}
	return name, target
}
