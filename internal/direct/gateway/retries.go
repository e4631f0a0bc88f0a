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

// recordForRetries counts a request of a caller, which earns retries.
func (core *core) recordForRetries(job *job) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.budget(job.service).RecordRequest(core.now())
}

// reserveRetry reserves one retry of the service's budget for a request, and reports whether one was
// left.
func (gateway *Gateway) reserveRetry(job *job) bool {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	job.retry.Release(now)
	reserved, ok := core.budget(job.service).Reserve(now, core.retryAllowance.Share(now))
	job.retry = reserved
	return ok
}

// sendRetry records that a request is about to be sent to a server, in case it is a retry. It reports whether it may be.
func (core *core) sendRetry(now clock.Millis, job *job) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return job.retry.Send(now, core.retryAllowance.Share(now))
}

// settleRetry records that a request was answered or given up, in case it is a retry.
func (core *core) settleRetry(job *job) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	job.retry.Settle(core.now())
}

// recordRetryNotSent records that no byte of a request has reached its server, in case it is a retry.
func (core *core) recordRetryNotSent(job *job) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	job.retry.NotSent()
}

// releaseRetry ends a request's retry. It is returned to the budget if it was not sent.
func (core *core) releaseRetry(job *job) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	job.retry.Release(core.now())
}
