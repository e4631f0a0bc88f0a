// Package operators implements the API for operators: health, readiness, status, the audit
// trail, decision records, metrics and profiles. The API is read-only, because operators
// make changes through the published configuration.
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
	RecordsPath = "/records/" // followed by a request id
	MetricsPath = "/metrics"
	ProfilePath = "/debug/pprof/"
)

// Options selects the optional parts of the API.
type Options struct {
	// Profiling enables the profiles of the process at ProfilePath.
	Profiling bool
}

// Daemon is the part of a daemon that the API uses.
type Daemon interface {
	Ready() bool
	Status() daemon.Status
}

// API serves the requests of operators.
type API struct {
	daemon  Daemon
	trail   *audit.Trail
	metrics *metrics.Metrics
	// observer holds the step totals of the daemon's engines.
	observer *metrics.Observer
}

// New returns the handler of the API.
func New(serving Daemon, trail *audit.Trail, counted *metrics.Metrics, observer *metrics.Observer, options Options) http.Handler {
	api := &API{daemon: serving, trail: trail, metrics: counted, observer: observer}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, health.Live)
	mux.HandleFunc("GET "+ReadyPath, health.Ready(api.daemon.Ready))
	mux.HandleFunc("GET "+StatusPath, api.handleStatus)
	mux.HandleFunc("GET "+AuditPath, api.handleAudit)
	mux.HandleFunc("GET "+RecordsPath+"{request}", api.handleRecord)
	mux.HandleFunc("GET "+MetricsPath, api.handleMetrics)
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

func (api *API) handleStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, api.daemon.Status())
}

func (api *API) handleMetrics(writer http.ResponseWriter, _ *http.Request) {
	status := api.daemon.Status()
	gauges := metrics.StatusGauges(status.Status, metrics.RuntimeStatus{
		Ready: status.Ready, Peers: len(status.Peers),
		ConfigAge: status.ConfigAge, ConfigContactAge: status.ConfigContactAge,
		LinesDropped: api.trail.Dropped(),
	})
	gauges = slices.Concat(gauges, api.observer.StepGauges(), metrics.ProcessGauges())
	writer.Header().Set("Content-Type", metrics.ContentType)
	_ = api.metrics.Write(writer, gauges)
}

// errorBody is the body of an error answer.
type errorBody struct {
	Error string
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
