package placement

import (
	"cmp"
	"math/rand/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// Policy chooses an engine for a request from what a daemon knows about engines.
type Policy interface {
	// Choose returns the chosen engine, or nil if none may serve, and the verdicts on
	// all considered engines. The verdicts are valid until the next call.
	Choose(now clock.Millis, query Query, views *Views) (*config.Engine, []outcome.Candidate)
}

// Query is one request to place.
type Query struct {
	Adapter ident.Adapter
	// Pool lists the engines that may run it, sorted by name.
	Pool []*config.Engine
	// Tried lists the engines at which earlier attempts failed.
	Tried []ident.EngineID
}

// verdictOn returns the reason why an engine may not serve, or RankedLower if it may.
// States older than maxAge are not used.
func verdictOn(now clock.Millis, engine *config.Engine, view *View, tried []ident.EngineID, maxAge clock.Millis) outcome.Verdict {
	switch {
	case engine.Leaving || view != nil && view.State.Leaving:
		return outcome.EngineLeaving
	case view == nil || view.OwnerLost:
		return outcome.OwnerUnknown
	case view.State.Quarantined:
		return outcome.Quarantined
	case now-view.ConfirmedAt > maxAge:
		return outcome.EngineSilent
	}
	for _, engineID := range tried {
		if engineID == engine.Name {
			return outcome.TriedBefore
		}
	}
	return outcome.RankedLower
}

// Ranking is a policy that chooses the engine with the lowest cost by a scan of the
// whole pool. Replays use rankings as baselines.
type Ranking[Cost cmp.Ordered] struct {
	// Cost returns the cost of serving the query at an engine.
	Cost func(query Query, engine *config.Engine, view *View) Cost
	// MaxStateAge is the age above which an engine's state is not used.
	MaxStateAge clock.Millis
}

// Choose implements Policy.
func (ranking Ranking[Cost]) Choose(now clock.Millis, query Query, views *Views) (*config.Engine, []outcome.Candidate) {
	candidates := make([]outcome.Candidate, 0, len(query.Pool))
	best := -1
	var least Cost
	for i, engine := range query.Pool {
		view := views.View(engine.Name)
		candidates = append(candidates, candidateOf(now, engine, view, query.Tried, ranking.MaxStateAge))
		if candidates[i].Verdict != outcome.RankedLower {
			continue
		}
		if cost := ranking.Cost(query, engine, view); best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return nil, candidates
	}
	candidates[best].Verdict = outcome.Chosen
	return query.Pool[best], candidates
}

func candidateOf(now clock.Millis, engine *config.Engine, view *View, tried []ident.EngineID, maxAge clock.Millis) outcome.Candidate {
	candidate := outcome.Candidate{Engine: engine.Name, Verdict: verdictOn(now, engine, view, tried, maxAge)}
	if view != nil {
		candidate.Age = now - view.ConfirmedAt
	}
	return candidate
}

// Random returns a baseline policy that chooses a random engine.
func Random(random *rand.Rand, maxStateAge clock.Millis) Policy {
	return Ranking[float64]{MaxStateAge: maxStateAge, Cost: func(Query, *config.Engine, *View) float64 {
		return random.Float64()
	}}
}

// LeastLoaded returns a baseline policy that chooses the engine with the fewest
// requests.
func LeastLoaded(maxStateAge clock.Millis) Policy {
	return Ranking[int]{MaxStateAge: maxStateAge, Cost: func(_ Query, _ *config.Engine, view *View) int {
		return view.requestCount()
	}}
}

// notResidentCost exceeds the length of any queue, so that ResidencyFirst prefers
// every engine that holds the adapter.
const notResidentCost = 1 << 30

// ResidencyFirst returns a policy that chooses the least loaded engine of those that
// hold the adapter, or of all if none holds it. It is the strongest baseline.
func ResidencyFirst(maxStateAge clock.Millis) Policy {
	return Ranking[int]{MaxStateAge: maxStateAge, Cost: func(query Query, _ *config.Engine, view *View) int {
		if view.holds(query.Adapter) {
			return view.requestCount()
		}
		return notResidentCost + view.requestCount()
	}}
}

// requestCount returns the known number of requests at the engine.
func (view *View) requestCount() int {
	return view.State.Queued + view.State.Running + view.Sent
}

func (view *View) holds(adapter ident.Adapter) bool {
	return holds(&view.State, adapter)
}
