package platform

import (
	"encoding/json"
	"io"
	"net/http"

	protocol "teaselmoor/internal/backend/platform"
	"teaselmoor/internal/control/members"
)

// Admin returns the handler by which tests and operators control the stand-in:
// PUT /values/KEY and PUT /vms publish, PUT /mode/MODE sets the mode of the
// configuration service, PUT /list/up and PUT /list/down let reads of the VM list
// succeed or fail, and GET /calls returns the number of calls that the
// configuration service has received.
func (platform *Platform) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+protocol.ValuesPath+"{key}", func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err == nil {
			err = platform.Publish(request.PathValue("key"), body)
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("PUT "+protocol.VMsPath, func(writer http.ResponseWriter, request *http.Request) {
		var vms []members.VM
		if err := json.NewDecoder(request.Body).Decode(&vms); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		platform.SetVMs(vms)
	})
	mux.HandleFunc("PUT /mode/{mode}", func(writer http.ResponseWriter, request *http.Request) {
		modes := map[string]Mode{"up": Up, "down": Down, "stale": Stale}
		mode, known := modes[request.PathValue("mode")]
		if !known {
			http.Error(writer, "want up, down or stale", http.StatusBadRequest)
			return
		}
		platform.SetMode(mode)
	})
	mux.HandleFunc("PUT /list/{mode}", func(_ http.ResponseWriter, request *http.Request) {
		platform.SetListDown(request.PathValue("mode") == "down")
	})
	mux.HandleFunc("GET /calls", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(platform.ConfigCalls())
	})
	return mux
}
