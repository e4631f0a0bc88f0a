// Package operators is the API for operators: health, readiness and status.
// It only reads; no call acts on anything.
package operators

import (
	"encoding/json"
	"net/http"

	"teaselmoor/internal/serve/daemon"
)

// Paths of the operators' API.
const (
	HealthPath = "/health"
	ReadyPath  = "/ready"
	StatusPath = "/status"
)

// New returns the API's handler.
func New(serving *daemon.Daemon) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET "+ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !serving.Ready() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET "+StatusPath, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(serving.Status())
	})
	return mux
}
