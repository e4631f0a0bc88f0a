package placement

import (
	"iter"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// View is what a daemon knows about one engine.
type View struct {
	State message.EngineState
	// ConfirmedAt is when the owner last sent or confirmed the state.
	ConfirmedAt clock.Millis
	// Sent is the number of requests submitted since then, which the state does not
	// include.
	Sent int
	// OwnerLost is set if the connection to the owner has been lost since then.
	OwnerLost bool
}

// Views is what a daemon knows about all engines, with an index by adapter.
type Views struct {
	byEngine map[ident.EngineID]*View
	holders  map[ident.Adapter][]ident.EngineID
}

// NewViews returns empty views.
func NewViews() *Views {
	return &Views{byEngine: map[ident.EngineID]*View{}, holders: map[ident.Adapter][]ident.EngineID{}}
}

// View returns what is known about an engine, or nil.
func (views *Views) View(engine ident.EngineID) *View {
	return views.byEngine[engine]
}

// All returns the views sorted by the engines' names.
func (views *Views) All() iter.Seq[*View] {
	return func(yield func(*View) bool) {
		for _, engine := range slices.Sorted(maps.Keys(views.byEngine)) {
			if !yield(views.byEngine[engine]) {
				return
			}
		}
	}
}

// Holders returns the engines known to hold an adapter or to have requests that wait
// for it.
func (views *Views) Holders(adapter ident.Adapter) []ident.EngineID {
	return views.holders[adapter]
}

// Update applies an owner's state of its engine and reports whether it was applied. A
// state with a lower fencing number, or the same number and a lower version, than the
// known one is ignored.
func (views *Views) Update(now clock.Millis, state message.EngineState) bool {
	known := views.byEngine[state.Engine]
	if known == nil {
		known = &View{}
		views.byEngine[state.Engine] = known
	}
	if state.Fence < known.State.Fence || state.Fence == known.State.Fence && state.Version < known.State.Version {
		return false
	}
	views.reindex(state.Engine, known.State, state)
	*known = View{State: state, ConfirmedAt: now}
	return true
}

// MarkOwnerLost records that the connection to a daemon was lost. Its engines are not
// chosen until an owner sends or confirms their state again.
func (views *Views) MarkOwnerLost(owner ident.DaemonID) {
	for _, known := range views.byEngine {
		if known.State.Owner == owner {
			known.OwnerLost = true
		}
	}
}

// Drop removes an engine.
func (views *Views) Drop(engine ident.EngineID) {
	if known := views.byEngine[engine]; known != nil {
		views.reindex(engine, known.State, message.EngineState{})
		delete(views.byEngine, engine)
	}
}

// reindex updates the holders index after an engine's state has changed.
func (views *Views) reindex(engine ident.EngineID, before, after message.EngineState) {
	for adapter := range held(&before) {
		if !holds(&after, adapter) {
			views.removeHolder(adapter, engine)
		}
	}
	for adapter := range held(&after) {
		if !views.holds(engine, adapter) {
			views.holders[adapter] = append(views.holders[adapter], engine)
		}
	}
}

// held yields the adapters that an engine holds, and those that it will load because
// requests wait for them there.
func held(state *message.EngineState) iter.Seq[ident.Adapter] {
	return func(yield func(ident.Adapter) bool) {
		for _, adapter := range state.Resident {
			if !yield(adapter) {
				return
			}
		}
		for _, adapter := range state.Wanted {
			if !yield(adapter) {
				return
			}
		}
	}
}

func holds(state *message.EngineState, adapter ident.Adapter) bool {
	return slices.Contains(state.Resident, adapter) || slices.Contains(state.Wanted, adapter)
}

// holds reports whether the index lists an engine as a holder of an adapter.
func (views *Views) holds(engine ident.EngineID, adapter ident.Adapter) bool {
	return slices.Contains(views.holders[adapter], engine)
}

func (views *Views) removeHolder(adapter ident.Adapter, engine ident.EngineID) {
	holders := views.holders[adapter]
	at := slices.Index(holders, engine)
	if at < 0 {
		return
	}
	holders = slices.Delete(holders, at, at+1)
	if len(holders) == 0 {
		delete(views.holders, adapter)
		return
	}
	views.holders[adapter] = holders
}
