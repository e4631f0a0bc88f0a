// Package health answers the balancer's and the operators' questions whether a daemon serves.
package health

import "net/http"

// Live answers as long as the process serves at all.
func Live(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("ok\n")) // who asked may have left
}

// Ready returns a handler that tells whether callers are to be sent here.
func Ready(isReady func() bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ready\n")) // who asked may have left
	}
}
