package modelengine

import (
	"encoding/json"
	"errors"
	"net/http"

	protocol "teaselmoor/internal/backend/engine"
)

// load loads an adapter and answers when the load has ended.
func (engine *Engine) load(writer http.ResponseWriter, request *http.Request) {
	var order protocol.AdapterOrder
	if !engine.checkFence(writer, request) || !decodeOrder(writer, request, &order) {
		return
	}
	if !engine.reserveSlot(order.LoraName) {
		http.Error(writer, "no free slot, or the adapter is being loaded", http.StatusConflict)
		return
	}
	bootID := engine.BootID()
	err := engine.fetchWeights(request)
	if engine.consumeLoadFault() {
		err = errors.New("load failed on request")
	}
	if err = engine.finishLoad(order.LoraName, bootID, err); err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}

// finishLoad marks the adapter as loaded, or frees its slot if the load failed. It
// returns the error of a failed load, and an error if the engine has restarted since the
// load began under the given boot id.
func (engine *Engine) finishLoad(model, bootID string, failure error) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.bootID != bootID {
		return errors.New("the engine restarted during the load")
	}
	delete(engine.loading, model)
	if failure == nil {
		engine.loaded[model] = true
	}
	return failure
}

// decodeOrder decodes the body of an order. It reports false, and answers with an error,
// when the body is malformed.
func decodeOrder(writer http.ResponseWriter, request *http.Request, order *protocol.AdapterOrder) bool {
	if err := json.NewDecoder(request.Body).Decode(order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reserveSlot reserves a slot for the load of an adapter. It reports false when none is
// free or the adapter is being loaded, and true when the adapter is loaded already.
func (engine *Engine) reserveSlot(model string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.loaded[model] {
		return true
	}
	if engine.loading[model] || len(engine.loaded)+len(engine.loading) >= engine.options.Slots {
		return false
	}
	engine.loading[model] = true
	return true
}

// fetchWeights fetches the weights from the store, if there is one.
func (engine *Engine) fetchWeights(request *http.Request) error {
	if engine.options.StoreURL == "" {
		return nil
	}
	fetch, err := http.NewRequestWithContext(request.Context(), http.MethodGet, engine.options.StoreURL, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(fetch)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// unload unloads an adapter. If a run uses it, the order is refused unless the engine's
// options allow it.
func (engine *Engine) unload(writer http.ResponseWriter, request *http.Request) {
	var order protocol.AdapterOrder
	if !engine.checkFence(writer, request) || !decodeOrder(writer, request, &order) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.inUse(order.LoraName) {
		if !engine.options.AllowsUnloadInUse {
			http.Error(writer, "the adapter is in use", http.StatusConflict)
			return
		}
		engine.markViolated(order.LoraName)
	}
	delete(engine.loaded, order.LoraName)
}
