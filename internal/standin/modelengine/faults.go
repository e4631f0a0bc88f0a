package modelengine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Faults are what the engine does wrong, on request.
type Faults struct {
	// FailLoads is the number of loads to come that fail.
	FailLoads int
	// SwapTo makes runs be served by this adapter instead.
	SwapTo string
	// TruncateAfter ends streamed answers after that many tokens, without a mark.
	TruncateAfter int
	// Frozen stops steps and answers.
	Frozen bool
}

const frozenPoll = 5 * time.Millisecond

// SetFaults replaces the faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = faults
}

// Faults returns the faults in force.
func (engine *Engine) Faults() Faults {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.faults
}

// Held returns the number of calls that a freeze holds up.
func (engine *Engine) Held() int64 {
	return engine.held.Load()
}

// takeLoadFault reports whether the next load is to fail.
func (engine *Engine) takeLoadFault() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.FailLoads == 0 {
		return false
	}
	engine.faults.FailLoads--
	return true
}

// frozen holds a call while the engine is frozen; it reports true when the
// client gave up first.
func (engine *Engine) frozen(ctx context.Context) bool {
	engine.held.Add(1)
	defer engine.held.Add(-1)
	for engine.Faults().Frozen {
		select {
		case <-ctx.Done():
			return true
		case <-time.After(frozenPoll):
		}
	}
	return false
}

// Admin serves what a real engine has not: PUT /faults, POST /restart, GET /ledger.
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
