// Package health implements the health and readiness checks of a daemon, for load balancers
// and operators.
package health

import "net/http"

// Live answers the health check. It always succeeds: an answer shows that the process
// handles requests.
func Live(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("ok\n")) // the client may have disconnected
}

// Ready returns a handler for the readiness check, which succeeds if isReady reports that
// the daemon can serve callers.
func Ready(isReady func() bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ready\n")) // the client may have disconnected
	}
}
