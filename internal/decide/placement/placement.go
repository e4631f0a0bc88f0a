// Package placement chooses the engine for a request from the states that owners have
// sent. These are stale by a known age.
//
// Engines that hold the adapter, or will load it for waiting requests, are considered
// first. For an adapter that no engine holds, all daemons compute the same few
// engines without communication: its affinity set, the first engines of the pool by
// rendezvous hash. Within the set, the engine where the load costs least is chosen.
// A decision considers only the holders and the affinity set if any of them may serve
// the request, so its cost does not depend on the size of the pool.
package placement

import (
	"slices"
	"strings"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// Weights are the costs that rank candidates. The unit is the wait for one full batch
// of the engine's requests.
type Weights struct {
	// LoadCost is the cost of a load of the adapter.
	LoadCost float64
	// SpareCost is the cost of each recent request for the adapter that would be evicted,
	// as counted by the engine's owner.
	SpareCost float64
	// BatchGain is the gain of joining a full batch instead of an empty one, for an
	// adapter that must be loaded. It concentrates requests in large batches at a few
	// engines.
	BatchGain float64
	// AffinityCost is the cost of each position in the affinity set after the first.
	AffinityCost float64
	// AffinitySetSize is the number of engines in an affinity set.
	AffinitySetSize int
	// MaxStateAge is the age above which an engine's state is not used.
	MaxStateAge clock.Millis
}

// DefaultWeights returns the weights used if the settings do not set them.
func DefaultWeights() Weights {
	return Weights{LoadCost: 4, SpareCost: 1, BatchGain: 0.25, AffinityCost: 0.01, AffinitySetSize: 9, MaxStateAge: 10 * clock.Second}
}

// Affinity is the policy that daemons use. It is not safe for concurrent use.
type Affinity struct {
	weights      Weights
	affinitySets affinitySets
	// candidates is reused, so that a decision does not allocate.
	candidates []outcome.Candidate
}

// New returns an Affinity policy with the given weights.
func New(weights Weights) *Affinity {
	return &Affinity{weights: weights, affinitySets: newAffinitySets(weights.AffinitySetSize)}
}

// choice is the best engine so far.
type choice struct {
	engine *config.Engine
	cost   float64
	at     int // index into the candidates
}

// Choose implements Policy. If no holder and no engine of the affinity set may serve
// the request, it considers the whole pool.
func (affinity *Affinity) Choose(now clock.Millis, query Query, views *Views) (*config.Engine, []outcome.Candidate) {
	affinity.candidates = affinity.candidates[:0]
	best := choice{}
	for _, name := range views.Holders(query.Adapter) {
		if at, found := find(query.Pool, name); found {
			affinity.consider(now, query, views, query.Pool[at], 0, &best)
		}
	}
	for step, engine := range affinity.affinitySets.of(query.Adapter, query.Pool) {
		if !affinity.considered(engine.Name) {
			affinity.consider(now, query, views, engine, step, &best)
		}
	}
	if best.engine == nil {
		for _, engine := range query.Pool {
			if !affinity.considered(engine.Name) {
				affinity.consider(now, query, views, engine, len(query.Pool), &best)
			}
		}
	}
	if best.engine != nil {
		affinity.candidates[best.at].Verdict = outcome.Chosen
	}
	return best.engine, affinity.candidates
}

// find returns the index of an engine in a pool, which is sorted by name.
func find(pool []*config.Engine, name ident.EngineID) (int, bool) {
	return slices.BinarySearchFunc(pool, name, func(engine *config.Engine, name ident.EngineID) int {
		return strings.Compare(string(engine.Name), string(name))
	})
}

// considered reports whether the current decision has a verdict on an engine.
func (affinity *Affinity) considered(name ident.EngineID) bool {
	for i := range affinity.candidates {
		if affinity.candidates[i].Engine == name {
			return true
		}
	}
	return false
}

// consider adds an engine's verdict to the candidates and compares its cost with the
// best so far.
func (affinity *Affinity) consider(now clock.Millis, query Query, views *Views, engine *config.Engine, step int, best *choice) {
	view := views.View(engine.Name)
	candidate := candidateOf(now, engine, view, query.Tried, affinity.weights.MaxStateAge)
	affinity.candidates = append(affinity.candidates, candidate)
	if candidate.Verdict != outcome.RankedLower {
		return
	}
	cost := affinity.weights.cost(query, engine, views, view, step)
	if best.engine == nil || cost < best.cost {
		*best = choice{engine: engine, cost: cost, at: len(affinity.candidates) - 1}
	}
}

// cost returns the cost of serving the query at an engine.
func (weights *Weights) cost(query Query, engine *config.Engine, views *Views, view *View, step int) float64 {
	batch := float64(view.requestCount()) / float64(engine.MaxRuns)
	queue := max(0, batch-1)
	if views.holds(engine.Name, query.Adapter) {
		return queue
	}
	return queue + weights.LoadCost + weights.SpareCost*view.State.Spare + weights.AffinityCost*float64(step) -
		weights.BatchGain*min(1, batch)
}
