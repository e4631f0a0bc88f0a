package platform

import (
	"encoding/json"
	"io"
	"net/http"

	"teaselmoor/internal/backend/platform"
	"teaselmoor/internal/control/members"
)

// Admin serves the operators' side: PUT /values/KEY, PUT /vms,
// PUT /mode/MODE, PUT /list/up or /list/down and GET /calls.
func (stand *Platform) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+platform.ValuesPath+"{key}", func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err == nil {
			err = stand.Publish(request.PathValue("key"), body)
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("PUT "+platform.VMsPath, func(writer http.ResponseWriter, request *http.Request) {
		var vms []members.VM
		if err := json.NewDecoder(request.Body).Decode(&vms); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		stand.SetVMs(vms)
	})
	mux.HandleFunc("PUT /mode/{mode}", func(writer http.ResponseWriter, request *http.Request) {
		modes := map[string]Mode{"up": Up, "down": Down, "stale": Stale}
		mode, known := modes[request.PathValue("mode")]
		if !known {
			http.Error(writer, "want up, down or stale", http.StatusBadRequest)
			return
		}
		stand.SetMode(mode)
	})
	mux.HandleFunc("PUT /list/{mode}", func(_ http.ResponseWriter, request *http.Request) {
		stand.SetListDown(request.PathValue("mode") == "down")
	})
	mux.HandleFunc("GET /calls", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(stand.Calls())
	})
	return mux
}
