// Package placement chooses the engine for a request from what a daemon knows
// of the engines: knowledge that is late, and says how late.
//
// An engine that holds the adapter, or was asked to load it, comes first. For
// an adapter that is held nowhere, daemons agree without talking on a few
// engines, its affinity set: the first of the pool by rendezvous hash. Within
// the set the engine that gives up least for the load is chosen. A decision
// looks only at holders and at the affinity set, whatever the size of the pool.
package placement

import (
	"slices"
	"strings"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// Weights rank candidates. Costs are in units of one engine's full batch of
// requests to wait for.
type Weights struct {
	// Load is the cost of loading the adapter first.
	Load float64
	// Spare is the cost of each request, as counted by the engine's owner, that
	// asked lately for the adapter that would be evicted.
	Spare float64
	// Batch is the gain of joining a full batch against an empty one, for an
	// adapter that has to be loaded. It makes the batches of a few engines large.
	Batch float64
	// Affinity is the cost of each step down the affinity order.
	Affinity float64
	// Set is the number of engines in an affinity set.
	Set int
	// Silence is the age from which an engine's state is not relied on.
	Silence clock.Millis
}

// DefaultWeights returns the weights used when settings name none.
func DefaultWeights() Weights {
	return Weights{Load: 4, Spare: 1, Batch: 0.25, Affinity: 0.01, Set: 9, Silence: 10 * clock.Second}
}

// Affinity is the product's policy.
type Affinity struct {
	weights Weights
	orders  orders
	// candidates is reused, so that a decision allocates nothing.
	candidates []outcome.Candidate
}

// New returns the product's policy.
func New(weights Weights) *Affinity {
	return &Affinity{weights: weights, orders: newOrders(weights.Set)}
}

// choice is the best engine so far.
type choice struct {
	engine *config.Engine
	cost   float64
	at     int // index into the candidates
}

// Choose implements Policy. When no holder and no engine of the affinity set
// may serve, it looks at the whole pool.
func (affinity *Affinity) Choose(now clock.Millis, query Query, views *Views) (*config.Engine, []outcome.Candidate) {
	affinity.candidates = affinity.candidates[:0]
	best := choice{}
	for _, name := range views.Holders(query.Adapter) {
		if at, found := find(query.Pool, name); found {
			affinity.weigh(now, query, views, query.Pool[at], 0, &best)
		}
	}
	for step, engine := range affinity.orders.of(query.Adapter, query.Pool) {
		if !affinity.weighed(engine.Name) {
			affinity.weigh(now, query, views, engine, step, &best)
		}
	}
	if best.engine == nil {
		for _, engine := range query.Pool {
			if !affinity.weighed(engine.Name) {
				affinity.weigh(now, query, views, engine, len(query.Pool), &best)
			}
		}
	}
	if best.engine != nil {
		affinity.candidates[best.at].Verdict = outcome.Chosen
	}
	return best.engine, affinity.candidates
}

// find returns the index of an engine in a pool, which is in order of name.
func find(pool []*config.Engine, name ident.EngineID) (int, bool) {
	return slices.BinarySearchFunc(pool, name, func(engine *config.Engine, name ident.EngineID) int {
		return strings.Compare(string(engine.Name), string(name))
	})
}

func (affinity *Affinity) weighed(name ident.EngineID) bool {
	for i := range affinity.candidates {
		if affinity.candidates[i].Engine == name {
			return true
		}
	}
	return false
}

// weigh compares an engine with the best so far.
func (affinity *Affinity) weigh(now clock.Millis, query Query, views *Views, engine *config.Engine, step int, best *choice) {
	view := views.View(engine.Name)
	candidate := candidateOf(now, engine, view, query.Tried, affinity.weights.Silence)
	affinity.candidates = append(affinity.candidates, candidate)
	if candidate.Verdict != outcome.RankedLower {
		return
	}
	cost := affinity.weights.cost(query, engine, views, view, step)
	if best.engine == nil || cost < best.cost {
		*best = choice{engine: engine, cost: cost, at: len(affinity.candidates) - 1}
	}
}

// cost is what serving the query at an engine costs.
func (weights *Weights) cost(query Query, engine *config.Engine, views *Views, view *View, step int) float64 {
	batch := float64(view.work()) / float64(engine.MaxRuns)
	queue := max(0, batch-1)
	if views.holds(engine.Name, query.Adapter) {
		return queue
	}
	return queue + weights.Load + weights.Spare*view.State.Spare + weights.Affinity*float64(step) -
		weights.Batch*min(1, batch)
}
