package modelengine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the faults that the engine simulates.
type Faults struct {
	// FailLoads is the number of loads that are still to fail.
	FailLoads int
	// SwapTo, if set, is the adapter that serves new runs instead of the requested one.
	SwapTo string
	// TruncateAfter, if above 0, ends streamed answers after that many tokens, without
	// the [DONE] event.
	TruncateAfter int
	// Frozen stops the steps, and with them the answers in progress, and blocks new calls.
	Frozen bool
}

const frozenPollInterval = 5 * time.Millisecond

// SetFaults replaces the simulated faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = faults
}

// Faults returns the simulated faults.
func (engine *Engine) Faults() Faults {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.faults
}

// BlockedCalls returns the number of calls that are blocked because the engine is frozen.
func (engine *Engine) BlockedCalls() int64 {
	return engine.blockedCalls.Load()
}

// consumeLoadFault reports whether a load is to fail, and if so decrements FailLoads.
func (engine *Engine) consumeLoadFault() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.FailLoads == 0 {
		return false
	}
	engine.faults.FailLoads--
	return true
}

// waitWhileFrozen blocks a call while the engine is frozen. It reports true when
// the client disconnected meanwhile.
func (engine *Engine) waitWhileFrozen(ctx context.Context) bool {
	engine.blockedCalls.Add(1)
	defer engine.blockedCalls.Add(-1)
	for engine.Faults().Frozen {
		select {
		case <-ctx.Done():
			return true
		case <-time.After(frozenPollInterval):
		}
	}
	return false
}

// Admin returns the handler for the calls that a real engine does not have: PUT
// /faults, POST /restart and GET /ledger.
func (engine *Engine) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		engine.SetFaults(faults)
	})
	mux.HandleFunc("POST /restart", func(http.ResponseWriter, *http.Request) { engine.Restart() })
	mux.HandleFunc("GET /ledger", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(engine.Ledger())
	})
	return mux
}
