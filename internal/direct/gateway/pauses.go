package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
)

// addPauses adds the inputs of pause-aware placement to a query, unless the part is turned off
// or the query's service does not need it: callers of different urgency have to compete for
// its engines, and the site has to be large enough for hubs. The mutex must be held.
func (core *core) addPauses(query *choose.Query, gapGoal clock.Millis) {
	now, weights := query.Now, core.options.Weights
	if weights.Late <= 0 || !core.hasCompetingCallers(query.Service) {
		return
	}
	query.GapGoal = gapGoal
	query.Speed = func(server string) float64 { return core.speedFactor(now, server) }
	query.FastestSpeed = core.fastestSpeed(now)
	query.Interval = func(server string) float64 { return core.eventInterval(now, server) }
}

// addPausesForCopies adds the same inputs to a query for copies of an adapter that a busy server
// holds. As no request is placed, the prompt is the mean one there, counting requests whose
// prompt has been read as well. The mutex must be held.
func (core *core) addPausesForCopies(query *choose.Query, busy *fleet.Member) {
	core.addPauses(query, core.catalog.MinGapGoal())
	if query.Speed != nil {
		load := core.work.Load(busy.ID)
		query.Prompt = load.Reading / max(1, load.Runs)
	}
}
