package placement

import (
	"cmp"
	"math/rand/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// Policy chooses an engine for a request from what a daemon knows.
type Policy interface {
	// Choose returns the chosen engine, nil when none may serve, and the verdict
	// on every engine that was considered, which holds until the next call.
	Choose(now clock.Millis, query Query, views *Views) (*config.Engine, []outcome.Candidate)
}

// Query is one request to place.
type Query struct {
	Adapter ident.Adapter
	// Pool lists the engines that may run it, in order of name.
	Pool []*config.Engine
	// Tried lists engines that earlier attempts failed on.
	Tried []ident.EngineID
}

// judge rules an engine out, or returns RankedLower for one that may serve.
// From an age of silence on, an engine's state is not relied on.
func judge(now clock.Millis, engine *config.Engine, view *View, tried []ident.EngineID, silence clock.Millis) outcome.Verdict {
	switch {
	case engine.Leaving || view != nil && view.State.Leaving:
		return outcome.EngineAway
	case view == nil || view.Lost:
		return outcome.OwnerUnknown
	case view.State.Quarantined:
		return outcome.Quarantined
	case now-view.HeardAt > silence:
		return outcome.EngineSilent
	}
	for _, engineID := range tried {
		if engineID == engine.Name {
			return outcome.TriedBefore
		}
	}
	return outcome.RankedLower
}

// Ranking chooses the engine of least cost in the whole pool, by a full scan.
// The baselines that replays compare with are rankings.
type Ranking[Cost cmp.Ordered] struct {
	// Cost is what serving the query at an engine costs.
	Cost func(query Query, engine *config.Engine, view *View) Cost
	// Silence is the age from which an engine's state is not relied on.
	Silence clock.Millis
}

// Choose implements Policy.
func (ranking Ranking[Cost]) Choose(now clock.Millis, query Query, views *Views) (*config.Engine, []outcome.Candidate) {
	candidates := make([]outcome.Candidate, 0, len(query.Pool))
	best := -1
	var least Cost
	for i, engine := range query.Pool {
		view := views.View(engine.Name)
		candidates = append(candidates, candidateOf(now, engine, view, query.Tried, ranking.Silence))
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

func candidateOf(now clock.Millis, engine *config.Engine, view *View, tried []ident.EngineID, silence clock.Millis) outcome.Candidate {
	candidate := outcome.Candidate{Engine: engine.Name, Verdict: judge(now, engine, view, tried, silence)}
	if view != nil {
		candidate.Age = now - view.HeardAt
	}
	return candidate
}

// Random returns a policy that chooses any engine. It is a baseline.
func Random(random *rand.Rand, silence clock.Millis) Policy {
	return Ranking[float64]{Silence: silence, Cost: func(Query, *config.Engine, *View) float64 {
		return random.Float64()
	}}
}

// LeastLoaded returns a policy that chooses the engine with the least work. It
// is a baseline.
func LeastLoaded(silence clock.Millis) Policy {
	return Ranking[int]{Silence: silence, Cost: func(_ Query, _ *config.Engine, view *View) int {
		return view.work()
	}}
}

// notResident outweighs any queue in ResidencyFirst.
const notResident = 1 << 30

// ResidencyFirst returns a policy that chooses the least loaded of the engines
// that hold the adapter, or else of all. It is the strong baseline.
func ResidencyFirst(silence clock.Millis) Policy {
	return Ranking[int]{Silence: silence, Cost: func(query Query, _ *config.Engine, view *View) int {
		if view.holds(query.Adapter) {
			return view.work()
		}
		return notResident + view.work()
	}}
}

// work is the number of requests at the engine, as far as is known.
func (view *View) work() int {
	return view.State.Queued + view.State.Running + view.Sent
}

func (view *View) holds(adapter ident.Adapter) bool {
	return holds(&view.State, adapter)
}
