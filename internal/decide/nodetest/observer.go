package nodetest

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
)

// Observer is notified of events in a network. Functions that are not set are not
// called.
type Observer struct {
	// Began: an engine started a run of the request.
	RunStarted func(at clock.Millis, request string, engine ident.EngineID)
	// Answered: a caller received the outcome of its request.
	RequestAnswered func(at clock.Millis, request string, answer effect.Answer)
	// Stepped: an engine made one step for a batch of this many runs.
	BatchStepped func(engine ident.EngineID, batch, capacity int)
	// Loaded: a load ended.
	LoadEnded func(at clock.Millis, engine ident.EngineID, adapter ident.Adapter, failed bool)
	// Unloaded: an adapter was removed from its slot.
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

// sendEngineStates gives a daemon the current state of every engine.
func (network *Network) sendEngineStates(host *Host) {
	for _, other := range network.hosts() {
		if other.Dead {
			continue
		}
		for _, state := range other.Node.Status(network.Now).Owned {
			network.HandleEvent(host, node.MessageReceived{From: other.Name, Message: state})
		}
	}
}
