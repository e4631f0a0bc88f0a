package nodetest

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
)

// Observer is told what happens in a network as it happens. Functions that are
// not set are not called.
type Observer struct {
	// Began: an engine began a run of the request.
	RunStarted func(at clock.Millis, request string, engine ident.EngineID)
	// Answered: a caller was told the end of its request.
	RequestAnswered func(at clock.Millis, request string, answer effect.Answer)
	// Stepped: an engine made one step for a batch of this many runs.
	BatchStepped func(engine ident.EngineID, batch, capacity int)
	// Loaded: a load ended.
	LoadEnded func(at clock.Millis, engine ident.EngineID, adapter ident.Adapter, failed bool)
	// Unloaded: an adapter left its slot.
	AdapterUnloaded func(at clock.Millis, engine ident.EngineID, adapter ident.Adapter)
}

func (observer *Observer) runStarted(at clock.Millis, request string, engine ident.EngineID) {
	if observer.RunStarted != nil {
		observer.RunStarted(at, request, engine)
	}
}

func (observer *Observer) requestAnswered(at clock.Millis, request string, answer effect.Answer) {
	if observer.RequestAnswered != nil {
		observer.RequestAnswered(at, request, answer)
	}
}

func (observer *Observer) batchStepped(engine ident.EngineID, batch, capacity int) {
	if observer.BatchStepped != nil {
		observer.BatchStepped(engine, batch, capacity)
	}
}

func (observer *Observer) loadEnded(at clock.Millis, engine ident.EngineID, adapter ident.Adapter, failed bool) {
	if observer.LoadEnded != nil {
		observer.LoadEnded(at, engine, adapter, failed)
	}
}

func (observer *Observer) adapterUnloaded(at clock.Millis, engine ident.EngineID, adapter ident.Adapter) {
	if observer.AdapterUnloaded != nil {
		observer.AdapterUnloaded(at, engine, adapter)
	}
}

// refresh gives a daemon the present state of every engine.
func (network *Network) refresh(host *Host) {
	for _, other := range network.hosts() {
		if other.Dead {
			continue
		}
		for _, state := range other.Node.Status(network.Now).Owned {
			network.HandleEvent(host, node.MessageReceived{From: other.Name, Message: state})
		}
	}
}
