package callers

import (
	"encoding/json"
	"net/http"

	"teaselmoor/internal/decide/outcome"
)

// modelList is the body of an answer of the models endpoint.
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

// handleModelList lists the adapter versions that the rules permit the caller to use.
func (api *API) handleModelList(writer http.ResponseWriter, request *http.Request) {
	arrived := newArrival(request)
	snapshot := api.daemon.Config()
	if snapshot == nil {
		api.refuse(writer, arrived, requestError{outcome.NoConfiguration, ""})
		return
	}
	key, err := api.authorize(request)
	if err != nil {
		api.refuse(writer, arrived, err)
		return
	}
	caller, known := snapshot.CallerByKey(key)
	if !known { // the configuration has changed since authorize
		api.refuse(writer, arrived, requestError{outcome.Unauthorized, ""})
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
	writer.Header().Set(RequestIDHeader, arrived.RequestID)
	_ = json.NewEncoder(writer).Encode(list)
}
