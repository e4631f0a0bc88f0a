package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/retry"
)

// budget returns the retry budget of a service. The mutex must be held.
func (core *core) budget(service string) *retry.Budget {
	budget, ok := core.budgets[service]
	if !ok {
		budget = retry.New(core.settings.Retry)
		core.budgets[service] = budget
	}
	return budget
}

// reserveRetry reserves one retry of the service's budget for a request, and reports whether one was
// left.
func (gateway *Gateway) reserveRetry(job *job) bool {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	job.retry.Release()
	now := core.now()
	reserved, ok := core.budget(job.service).Reserve(now, core.retryAllowance.Share(now))
	job.retry = reserved
	return ok
}

// recordRetrySent records that a request is being sent to a server, in case it is a retry.
func (core *core) recordRetrySent(now clock.Millis, job *job) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	job.retry.Sent(now)
}

// recordRetryNotSent records that no byte of a request has reached its server, in case it is a retry.
func (core *core) recordRetryNotSent(job *job) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	job.retry.NotSent(core.now())
}

// releaseRetry returns a request's reserved retry to the budget if it was not sent.
func (core *core) releaseRetry(job *job) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	job.retry.Release()
}
