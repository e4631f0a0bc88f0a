package nodetest

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
)

// Observer holds functions that are called for events in a network. Each is optional.
type Observer struct {
	// RunStarted is called when an engine starts a run of the request.
	RunStarted func(at clock.Millis, request string, engine ident.EngineID)
	// RequestAnswered is called when a caller receives the outcome of its request.
	RequestAnswered func(at clock.Millis, request string, answer effect.Answer)
	// BatchStepped is called when an engine begins a step for a batch of this many
	// runs. The capacity is the maximum number of runs.
	BatchStepped func(engine ident.EngineID, batch, capacity int)
	// LoadEnded is called when a load ends.
	LoadEnded func(at clock.Millis, engine ident.EngineID, adapter ident.Adapter, failed bool)
	// AdapterUnloaded is called when an adapter is removed from its slot.
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

// sendEngineStates gives a daemon the current state of every engine that has an owner.
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
