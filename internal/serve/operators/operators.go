// Package operators is the API for operators: health, readiness, status, the
// audit trail, decision records and metrics. It only reads; no call acts on
// anything, because operators act through the published configuration.
package operators

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"slices"

	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/health"
	"teaselmoor/internal/serve/metrics"
)

// Paths of the operators' API.
const (
	HealthPath  = "/health"
	ReadyPath   = "/ready"
	StatusPath  = "/status"
	AuditPath   = "/audit"
	RecordsPath = "/records/" // and a request id
	MetricsPath = "/metrics"
	ProfilePath = "/debug/pprof/"
)

// Options say what the API offers.
type Options struct {
	// Profiling serves profiles of the process.
	Profiling bool
}

// Daemon is what the API shows.
type Daemon interface {
	Ready() bool
	Status() daemon.Status
}

// API serves operators.
type API struct {
	daemon  Daemon
	trail   *audit.Trail
	metrics *metrics.Metrics
	// observer holds what the daemon counts into the metrics.
	observer *metrics.Observer
}

// New returns the API's handler.
func New(serving Daemon, trail *audit.Trail, counted *metrics.Metrics, observer *metrics.Observer, options Options) http.Handler {
	api := &API{daemon: serving, trail: trail, metrics: counted, observer: observer}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, health.Live)
	mux.HandleFunc("GET "+ReadyPath, health.Ready(api.daemon.Ready))
	mux.HandleFunc("GET "+StatusPath, api.status)
	mux.HandleFunc("GET "+AuditPath, api.audit)
	mux.HandleFunc("GET "+RecordsPath+"{request}", api.record)
	mux.HandleFunc("GET "+MetricsPath, api.counters)
	if options.Profiling {
		addProfiles(mux)
	}
	return mux
}

func addProfiles(mux *http.ServeMux) {
	mux.HandleFunc(ProfilePath, pprof.Index)
	mux.HandleFunc(ProfilePath+"cmdline", pprof.Cmdline)
	mux.HandleFunc(ProfilePath+"profile", pprof.Profile)
	mux.HandleFunc(ProfilePath+"symbol", pprof.Symbol)
	mux.HandleFunc(ProfilePath+"trace", pprof.Trace)
}

func (api *API) status(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, api.daemon.Status())
}

func (api *API) counters(writer http.ResponseWriter, _ *http.Request) {
	status := api.daemon.Status()
	gauges := metrics.StatusGauges(status.Status, metrics.Standing{
		Ready: status.Ready, Peers: len(status.Peers),
		ConfigAge: status.ConfigAge, ConfigContactAge: status.ConfigContactAge,
		LinesDropped: api.trail.Dropped(),
	})
	gauges = slices.Concat(gauges, api.observer.StepGauges(), metrics.ProcessGauges())
	writer.Header().Set("Content-Type", metrics.ContentType)
	_ = api.metrics.Write(writer, gauges)
}

// errorBody is the answer to a call that failed.
type errorBody struct {
	Error string
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
