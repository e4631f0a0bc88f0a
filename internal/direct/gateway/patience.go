package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/platformapi"
)

// patience is how long a request may wait for its adapter: callers abandon a
// stream that is silent for longer than its goals suggest.
func (core *core) patience(now clock.Millis, job *job) clock.Millis {
	silence := max(leastSilence, goalSilence*job.route.Goal, gapSilence*job.route.GapGoal)
	byCaller := clock.Millis(core.options.LoadPatience * float64(job.heardAt+silence-now))
	byDeadline := clock.Millis(core.options.LoadPatience * float64(job.deadline-now))
	return min(byCaller, byDeadline)
}

// Callers abandon a stream after the longest of these silences: a fixed one, and
// multiples of the route's goals for the first event and for gaps.
const (
	leastSilence = 2 * clock.Second
	goalSilence  = 4
	gapSilence   = 8
)

// hopeless reports whether an adapter that nobody has asked for yet comes too late at a
// server.
func (core *core) hopeless(server *fleet.Member, patience clock.Millis) bool {
	onWay, queued := core.coming()
	return loading.LoadTooLate(onWay+queued, core.loadWait(server), patience)
}

// loadWait is how long an adapter that nobody has asked for yet will take at a
// server: the weight store sends a number at a time to all servers, and the server
// takes a number at a time; those that wait go first.
func (core *core) loadWait(server *fleet.Member) clock.Millis {
	options := core.options.Loading
	loading, queued := core.coming()
	atOnce := core.loadRate.FullSpeedLoads(core.engines())
	everywhere := turnsAhead(loading+queued, atOnce)
	incoming := options.MostIncoming
	if loading+queued >= atOnce {
		incoming = options.CrowdedIncoming
	}
	loadingHere, queuedHere := server.LoadCounts()
	here := turnsAhead(loadingHere+queuedHere, incoming)
	loadTime := core.loadRate.LoadTime()
	return loadTime + clock.Millis(float64(loadTime)*max(everywhere, here))
}

// turnsAhead is how many loads one after another come before the next one.
func turnsAhead(waiting, atOnce int) float64 {
	return float64(max(0, waiting-atOnce)) / float64(atOnce)
}

// coming reports whether an adapter is on its way to a server.
func coming(member *fleet.Member, adapter platformapi.Adapter) bool {
	slot, ok := member.Slot(adapter)
	return ok && slot.Coming
}
