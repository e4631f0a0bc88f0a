package gateway

import (
	"net/http"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
)

// beginStopping records that the daemon stops, and until when requests in progress may end.
func (core *core) beginStopping() {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.leaving = true
	core.endsAt = core.now() + core.settings.Grace - core.options.ExitMargin
	core.claims.Release()
	core.members.Leave()
}

// ends returns when requests in progress are cut off; 0: the daemon does not stop.
func (core *core) ends() clock.Millis {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.endsAt
}

// endsTooSoon reports whether the daemon stops and the answer to a request that is sent now would probably not be complete before requests are
// cut off: by what answers on its route take, and otherwise by the time that the request has left.
func (gateway *Gateway) endsTooSoon(now clock.Millis, job *job) bool {
	endsAt := gateway.core.ends()
	if endsAt == 0 {
		return false
	}
	needed := job.deadline - now
	if whole, known := gateway.answerTimes.expectedWhole(job.route); known {
		needed = min(needed, whole)
	}
	return now+needed > endsAt
}

// refuseStopping returns the result of a try that is not made, as the answer would be cut off. A request whose answer has begun goes on all the
// same: it may end in time, and is cut off otherwise too.
func (gateway *Gateway) refuseStopping(now clock.Millis, job *job) *tryResult {
	if job.headSent || !gateway.endsTooSoon(now, job) {
		return nil
	}
	job.retryAfter = elsewhereRetryAfter
	return &tryResult{status: http.StatusServiceUnavailable, reason: ending.Stopping}
}

// bodyDeadline returns until when the body of a request is waited for.
func (gateway *Gateway) bodyDeadline(job *job) time.Time {
	latest := job.deadline
	if endsAt := gateway.core.ends(); endsAt > 0 {
		latest = min(latest, endsAt)
	}
	return time.Now().Add((latest - gateway.core.now()).Duration())
}
