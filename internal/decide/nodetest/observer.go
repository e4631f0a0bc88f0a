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
	Began func(at clock.Millis, request string, engine ident.EngineID)
	// Answered: a caller received the outcome of its request.
	Answered func(at clock.Millis, request string, answer effect.Answer)
	// Stepped: an engine made one step for a batch of this many runs.
	Stepped func(engine ident.EngineID, batch, capacity int)
	// Loaded: a load ended.
	Loaded func(at clock.Millis, engine ident.EngineID, adapter ident.Adapter, failed bool)
	// Unloaded: an adapter was removed from its slot.
	Unloaded func(at clock.Millis, engine ident.EngineID, adapter ident.Adapter)
}

func (observer *Observer) began(at clock.Millis, request string, engine ident.EngineID) {
	if observer.Began != nil {
		observer.Began(at, request, engine)
	}
}

func (observer *Observer) answered(at clock.Millis, request string, answer effect.Answer) {
	if observer.Answered != nil {
		observer.Answered(at, request, answer)
	}
}

func (observer *Observer) stepped(engine ident.EngineID, batch, capacity int) {
	if observer.Stepped != nil {
		observer.Stepped(engine, batch, capacity)
	}
}

func (observer *Observer) loaded(at clock.Millis, engine ident.EngineID, adapter ident.Adapter, failed bool) {
	if observer.Loaded != nil {
		observer.Loaded(at, engine, adapter, failed)
	}
}

func (observer *Observer) unloaded(at clock.Millis, engine ident.EngineID, adapter ident.Adapter) {
	if observer.Unloaded != nil {
		observer.Unloaded(at, engine, adapter)
	}
}

// sendEngineStates gives a daemon the current state of every engine.
func (network *Network) sendEngineStates(host *Host) {
	for _, other := range network.hosts() {
		if other.Dead {
			continue
		}
		for _, state := range other.Node.Status(network.Now).Owned {
			network.Feed(host, node.Received{From: other.Name, Message: state})
		}
	}
}
