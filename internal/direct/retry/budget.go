// Package retry limits how often requests are retried. The limit holds over all daemons
// over all daemons: each may use an equal share of the fixed allowance, plus a
// ratio of its own requests. Where callers come mostly at one daemon the others lend it their shares. The package does not decide which requests may be retried.
package retry

import "teaselmoor/internal/base/clock"

// Limits are the limits of a budget. They come from the platform's settings.
type Limits struct {
	Ratio  float64      // retries allowed for each request in the window
	Extra  float64      // retries allowed in addition, over all daemons
	Window clock.Millis // length of the sliding window
}

// Budget counts the requests and retries of one service at one daemon.
type Budget struct {
	limits   Limits
	requests window
	retries  window // that were sent
	reserved int    // retries that are allowed and not sent yet
}

// New returns an unused budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, requests: newWindow(limits.Window), retries: newWindow(limits.Window)}
}

// SetLimits replaces the ratio. The window stays as it is, since the width of the buckets in
// use depends on it.
func (budget *Budget) SetLimits(limits Limits) {
	limits.Window = budget.limits.Window
	budget.limits = limits
}

// RecordRequest counts a request of a caller.
func (budget *Budget) RecordRequest(now clock.Millis) {
	budget.requests.advance(now)
	*budget.requests.bucket()++
}

// ReturnRequest takes back a request that was counted at a time, as another daemon counts it.
func (budget *Budget) ReturnRequest(now, countedAt clock.Millis) {
	budget.requests.advance(now)
	budget.requests.remove(countedAt)
}

// Reserve reserves a retry and reports whether the budget had one left. Share is this daemon's
// share of the fixed allowance. The caller must release the retry when its request has ended.
func (budget *Budget) Reserve(now clock.Millis, share float64) (*Retry, bool) {
	if budget.Remaining(now, share) < 1 {
		return nil, false
	}
	budget.reserved++
	return &Retry{budget: budget, state: waiting}, true
}

// Remaining returns how many retries are left.
func (budget *Budget) Remaining(now clock.Millis, share float64) float64 {
	budget.requests.advance(now)
	budget.retries.advance(now)
	requests := budget.requests.sum() - *budget.requests.oldest() // the oldest bucket began before the window
	return budget.limits.Ratio*float64(requests) + share - float64(budget.retries.sum()+budget.reserved)
}
