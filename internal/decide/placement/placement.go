// Package placement chooses the engine for a request from what a daemon knows
// of the engines: knowledge that is late, and says how late.
//
// Daemons agree without talking on where an adapter that is loaded nowhere
// belongs: its affinity order is a rendezvous hash over the pool. Residency
// comes first, then the affinity order; a queue that is long against the pool's
// shortest one spills to the next engine.
package placement

import (
	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// View is what a daemon knows of one engine.
type View struct {
	State    message.EngineState
	Resident map[ident.Adapter]bool
	// HeardAt is when the state was received.
	HeardAt clock.Millis
	// Sent is the number of requests submitted since, which the state cannot show.
	Sent int
}

// NewView indexes an owner's word on its engine.
func NewView(state message.EngineState, heardAt clock.Millis) *View {
	view := &View{State: state, HeardAt: heardAt, Resident: make(map[ident.Adapter]bool, len(state.Resident))}
	for _, adapter := range state.Resident {
		view.Resident[adapter] = true
	}
	return view
}

// Weights rank candidates, in units of one queued request.
type Weights struct {
	// Load is the cost of loading the adapter first.
	Load float64
	// Affinity is the cost of each step down the affinity order, for an adapter
	// that is not resident.
	Affinity float64
	// Silence is the age from which an engine's state is not relied on.
	Silence clock.Millis
}

// DefaultWeights returns the weights used when settings name none.
func DefaultWeights() Weights {
	return Weights{Load: 16, Affinity: 4, Silence: 10 * clock.Second}
}

// Query is one request to place.
type Query struct {
	Adapter ident.Adapter
	Pool    []*config.Engine
	// Tried lists engines that earlier attempts failed on.
	Tried []ident.EngineID
}

// Choose returns the best engine and the verdict on every candidate.
func Choose(now clock.Millis, query Query, views map[ident.EngineID]*View, weights Weights) (*config.Engine, []outcome.Candidate) {
	candidates := make([]outcome.Candidate, 0, len(query.Pool))
	best, bestAt, bestCost := (*config.Engine)(nil), -1, 0.0
	bestScore := uint64(0)
	for _, engine := range query.Pool {
		view := views[engine.Name]
		candidate := outcome.Candidate{Engine: engine.Name, Verdict: judge(now, engine, view, query.Tried, weights)}
		if view != nil {
			candidate.Age = now - view.HeardAt
		}
		candidates = append(candidates, candidate)
		if candidate.Verdict != outcome.RankedLower {
			continue
		}
		cost := cost(engine, view, query, weights)
		score := affinity(query.Adapter, engine.Name)
		if best == nil || cost < bestCost || cost == bestCost && score > bestScore {
			best, bestAt, bestCost, bestScore = engine, len(candidates)-1, cost, score
		}
	}
	if best != nil {
		candidates[bestAt].Verdict = outcome.Chosen
	}
	return best, candidates
}

// judge rules an engine out, or returns RankedLower for one that may serve.
func judge(now clock.Millis, engine *config.Engine, view *View, tried []ident.EngineID, weights Weights) outcome.Verdict {
	switch {
	case engine.Leaving || view != nil && view.State.Leaving:
		return outcome.EngineAway
	case view == nil:
		return outcome.OwnerUnknown
	case view.State.Quarantined:
		return outcome.Quarantined
	case now-view.HeardAt > weights.Silence:
		return outcome.EngineSilent
	}
	for _, engineID := range tried {
		if engineID == engine.Name {
			return outcome.TriedBefore
		}
	}
	return outcome.RankedLower
}

func cost(engine *config.Engine, view *View, query Query, weights Weights) float64 {
	cost := float64(view.State.Queued+view.State.Running+view.Sent) / float64(engine.MaxRuns)
	if view.Resident[query.Adapter] {
		return cost
	}
	cost += weights.Load
	cost += weights.Affinity * float64(rank(engine.Name, query))
	return cost
}

// rank is the engine's place in the adapter's affinity order.
func rank(name ident.EngineID, query Query) int {
	own := affinity(query.Adapter, name)
	better := 0
	for _, engine := range query.Pool {
		if affinity(query.Adapter, engine.Name) > own {
			better++
		}
	}
	return better
}

func affinity(adapter ident.Adapter, engine ident.EngineID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(adapter.Name)
	_, _ = digest.WriteString("@")
	_, _ = digest.WriteString(adapter.Version)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(engine))
	return digest.Sum64()
}
