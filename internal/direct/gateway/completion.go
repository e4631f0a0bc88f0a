package gateway

import (
	"fmt"
	"io"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
)

// addCompletion adds to a query what is needed to avoid servers at which the answer would be cut
// off by its deadline. It does so only where addPauses has added its inputs, and while the part is
// not turned off. The mutex must be held.
func (core *core) addCompletion(query *choose.Query, job *job) {
	estimate, known := core.eventTokens[job.service]
	if query.Interval == nil || core.options.Weights.Completion <= 0 || !known {
		return
	}
	query.EventTokens = estimate.PerEvent()
	query.Left = job.deadline - query.Now
	// A stream that continues on another server lacks only the rest of its events.
	query.Output = job.headers.MaxOutputTokens - int(float64(job.events)*query.EventTokens)
}

// expectedEnd returns the time in which a server is expected to complete the answer to a request
// that counts there, or 0 if it is unknown. The mutex must be held.
func (core *core) expectedEnd(now clock.Millis, job *job, server *fleet.Member) clock.Millis {
	query := choose.Query{Now: now, Service: job.service}
	core.addPauses(&query, job.route.GapGoal)
	core.addCompletion(&query, job)
	return clock.Millis(core.weights().ExpectedEnd(query, server, core.work.Load(server.ID).Reading))
}

// observeEventTokens records for the estimate of the tokens of an event that a stream was sent to
// its end. Streams that the caller has resumed are not counted: their first events are not known.
func (core *core) observeEventTokens(job *job) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if job.headers.LastEventID != "" || core.options.Weights.Completion <= 0 || !core.hasCompetingCallers(job.service) {
		return
	}
	estimate, known := core.eventTokens[job.service]
	if !known {
		estimate = &choose.EventTokens{}
		core.eventTokens[job.service] = estimate
	}
	estimate.Observe(job.headers.MaxOutputTokens, job.events)
}

// writeEventTokens writes the estimated tokens of an event. The mutex must be held.
func (core *core) writeEventTokens(out io.Writer) {
	for service, estimate := range core.eventTokens {
		_, _ = fmt.Fprintf(out, "teaselmoor_event_tokens{service=%q} %g\n", service, estimate.PerEvent())
	}
}

// cutMargin is how long before its deadline a stream that ends early still counts as cut off by it:
// callers disconnect when they give up, which may reach the daemon before its own timer expires.
const cutMargin = 100 * clock.Millisecond

// isCut reports whether a stream that has begun has ended because of its deadline.
func (job *job) isCut(now clock.Millis, reason ending.Reason) bool {
	return job.headSent && job.route.Kind == catalog.Streaming && reason != ending.Complete && now >= job.deadline-cutMargin
}
