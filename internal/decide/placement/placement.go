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
)

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

// New returns the policy of the product.
func New(weights Weights) Policy {
	return Ranking[float64]{Silence: weights.Silence, Cost: func(query Query, engine *config.Engine, view *View) float64 {
		return weights.cost(query, engine, view)
	}}
}

func (weights Weights) cost(query Query, engine *config.Engine, view *View) float64 {
	cost := float64(view.work()) / float64(engine.MaxRuns)
	if view.holds(query.Adapter) {
		return cost
	}
	return cost + weights.Load + weights.Affinity*float64(rank(engine.Name, query))
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
