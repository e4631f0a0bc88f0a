package callers

import (
	"encoding/json"
	"net/http"

	"teaselmoor/internal/decide/outcome"
)

// modelList is the answer of the models endpoint.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the adapter versions that some rule lets the caller use.
func (api *API) models(writer http.ResponseWriter, request *http.Request) {
	snapshot := api.daemon.Config()
	if snapshot == nil {
		refuse(writer, requestID(request), outcome.Refused(outcome.NoConfiguration, 0), outcome.NoConfiguration.Sentence())
		return
	}
	caller, known := snapshot.CallerByKey(apiKey(request))
	if !known {
		refuse(writer, requestID(request), outcome.Refused(outcome.Unauthorized, 0), outcome.Unauthorized.Sentence())
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for i := range snapshot.Config.Adapters {
		adapter := &snapshot.Config.Adapters[i]
		if _, allowed := snapshot.DecideModel(caller, adapter); allowed {
			list.Data = append(list.Data, modelItem{
				ID: adapter.Address().String(), Object: "model", OwnedBy: adapter.BaseModel,
			})
		}
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list)
}
