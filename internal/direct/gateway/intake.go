package gateway

import (
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/intake"
	"teaselmoor/internal/direct/retryafter"
)

// takeIn waits until this daemon has a processor for a request. If it cannot be sent in time, takeIn returns the status and reason to
// answer with; otherwise the status is 0.
func (gateway *Gateway) takeIn(job *job) (int, ending.Reason) {
	endReading(job.incoming)
	place, err := gateway.intake.Enter(job.incoming.Context(), gateway.intakeRequest(job))
	now := gateway.core.now()
	var crowded *intake.CrowdedError
	switch {
	case errors.As(err, &crowded):
		job.retryAfter = gateway.core.crowdedRetryAfter(now, job, crowded)
		return http.StatusServiceUnavailable, ending.Crowded
	case err != nil:
		gateway.abandon(job)
	}
	job.place, job.progress.takenIn = place, now
	return 0, ""
}

// intakeRequest returns a request as it is taken in.
func (gateway *Gateway) intakeRequest(job *job) intake.Request {
	return intake.Request{Rank: job.rank, Latest: job.deadline - gateway.answerTimes.expected(job.route), Waited: job.progress.unread >= notableUnread}
}

// crowdKey is the key of the promises to callers that a crowded daemon refuses.
const crowdKey = "crowd"

// crowdedRetryAfter returns how long a caller that a crowded daemon refuses should wait: until the requests that wait, and those that have
// been promised a time before, have been sent.
func (core *core) crowdedRetryAfter(now clock.Millis, job *job, crowded *intake.CrowdedError) clock.Millis {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	wait, _ := core.crowdPromises.Promise(now, crowdKey, retryafter.Refusal{
		Rank: job.rank, Units: 1, Lacking: float64(max(1, crowded.Waiting)), Rate: crowded.Rate, Share: 1,
		Spread: xxhash.Sum64String(job.headers.Attempt), Longest: max(retryafter.MinWait, clock.Millis(callerWaitShare*float64(job.deadline-now))),
	})
	return wait
}

// newCrowdPromises returns an empty schedule of promises to callers that a crowded daemon refuses.
func newCrowdPromises() *retryafter.Schedule {
	return retryafter.New(retryafter.Options{Keys: 1, Promises: shedPromisesByService, PromisesByKey: shedPromisesByService})
}

// writeIntake writes the metrics of the requests that are taken in.
func (gateway *Gateway) writeIntake(out io.Writer) {
	state := gateway.intake.State()
	for _, each := range []gauge{
		{"teaselmoor_intake_taken", float64(state.Taken)},
		{"teaselmoor_intake_waiting", float64(state.Waiting)},
		{"teaselmoor_intake_rate", state.Rate},
		{"teaselmoor_intake_crowded_total", float64(state.Crowded)},
	} {
		writeGauge(out, each)
	}
}
