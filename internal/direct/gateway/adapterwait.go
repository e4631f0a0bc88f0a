package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/platformapi"
)

// maxAdapterWait is how long a request may wait for its adapter: the share LoadPatience of the
// time until its deadline, or until the caller is expected to abandon the silent stream.
func (core *core) maxAdapterWait(now clock.Millis, job *job) clock.Millis {
	byCaller := clock.Millis(core.options.LoadPatience * float64(job.lastEventAt+job.callerPatience()-now))
	byDeadline := clock.Millis(core.options.LoadPatience * float64(job.deadline-now))
	return min(byCaller, byDeadline)
}

// callerPatience is the time without an event after which a caller is expected to abandon a stream.
func (job *job) callerPatience() clock.Millis {
	return max(minSilence, goalSilenceFactor*job.route.Goal, gapSilenceFactor*job.route.GapGoal)
}

// Callers are expected to abandon a stream after the longest of these silences: a fixed one,
// and multiples of the route's goals for the first event and for gaps.
const (
	minSilence        = 2 * clock.Second
	goalSilenceFactor = 4
	gapSilenceFactor  = 8
)

// loadTooLate reports whether an adapter that has not been requested yet would arrive too late
// on a server. The mutex must be held.
func (core *core) loadTooLate(server *fleet.Member, maxWait clock.Millis) bool {
	inFlight, queued := core.incomingAdapters()
	return loading.LoadTooLate(inFlight+queued, core.expectedLoadTime(server), maxWait)
}

// expectedLoadTime estimates how long an adapter that has not been requested yet takes to
// arrive on a server. Both the weight store and the server limit the number of concurrent
// loads, and loads that already wait go first. The mutex must be held.
func (core *core) expectedLoadTime(server *fleet.Member) clock.Millis {
	options := core.options.Loading
	loading, queued := core.incomingAdapters()
	atOnce := core.loadRate.FullSpeedLoads(core.engineCount())
	storeRounds := loadRoundsAhead(loading+queued, atOnce)
	incoming := options.MostIncoming
	if loading+queued >= atOnce {
		incoming = options.CrowdedIncoming
	}
	loadingHere, queuedHere := server.LoadCounts()
	serverRounds := loadRoundsAhead(loadingHere+queuedHere, incoming)
	loadTime := core.loadRate.LoadTime()
	return loadTime + clock.Millis(float64(loadTime)*max(storeRounds, serverRounds))
}

// loadRoundsAhead is the number of consecutive loads that finish before the next one starts.
func loadRoundsAhead(waiting, atOnce int) float64 {
	return float64(max(0, waiting-atOnce)) / float64(atOnce)
}

// isIncoming reports whether an adapter is being loaded or queued on a server.
func isIncoming(member *fleet.Member, adapter platformapi.Adapter) bool {
	slot, ok := member.Slot(adapter)
	return ok && slot.Coming
}
