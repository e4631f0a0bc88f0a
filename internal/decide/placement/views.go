package placement

import (
	"iter"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// View is what a daemon knows of one engine.
type View struct {
	State message.EngineState
	// HeardAt is when the state was received.
	HeardAt clock.Millis
	// Sent is the number of requests submitted since, which the state cannot show.
	Sent int
	// Lost says that the connection to the owner broke after it was received.
	Lost bool
}

// Views is what a daemon knows of all engines, indexed by adapter.
type Views struct {
	byEngine map[ident.EngineID]*View
	holders  map[ident.Adapter][]ident.EngineID
}

// NewViews returns views of no engine.
func NewViews() *Views {
	return &Views{byEngine: map[ident.EngineID]*View{}, holders: map[ident.Adapter][]ident.EngineID{}}
}

// View returns what is known of an engine, nil when nothing is.
func (views *Views) View(engine ident.EngineID) *View {
	return views.byEngine[engine]
}

// All returns the views in order of the engines' names.
func (views *Views) All() iter.Seq[*View] {
	return func(yield func(*View) bool) {
		for _, engine := range slices.Sorted(maps.Keys(views.byEngine)) {
			if !yield(views.byEngine[engine]) {
				return
			}
		}
	}
}

// Holders lists the engines known to hold an adapter or to be loading it.
func (views *Views) Holders(adapter ident.Adapter) []ident.EngineID {
	return views.holders[adapter]
}

// Update takes in an owner's word on its engine and reports whether it is news;
// the higher fencing number wins, then the later version.
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
	*known = View{State: state, HeardAt: now}
	return true
}

// LoseOwner notes that the connection to a daemon broke: its engines are passed
// over until it is heard from again.
func (views *Views) LoseOwner(owner ident.DaemonID) {
	for _, known := range views.byEngine {
		if known.State.Owner == owner {
			known.Lost = true
		}
	}
}

// Drop forgets an engine.
func (views *Views) Drop(engine ident.EngineID) {
	if known := views.byEngine[engine]; known != nil {
		views.reindex(engine, known.State, message.EngineState{})
		delete(views.byEngine, engine)
	}
}

// reindex moves an engine between the holders of adapters.
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

// held yields the adapters that an engine holds, or will hold shortly because
// requests wait there for them.
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

// holds reports whether an engine is known to hold an adapter.
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
