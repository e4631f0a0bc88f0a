// Package retry limits how often requests are retried: over all daemons of a site, a service gets no more retries in any window
// than a ratio of its requests in that window and a fixed allowance.
//
// Daemons start, end and lose contact with each other within a window, and callers move between them. So no daemon relies on
// what another one has sent. Each keeps its part of the bound in every span of a window, and not only in windows that end now: in
// no span does it send more retries than the ratio of its own requests in that span and its share of the fixed allowance. Spans
// of several daemons, or of several processes of one, then add up to a window within the bound. A share acts as the depth of a
// token bucket: retries that requests have earned are saved up to it. A process that has just started begins with an empty one.
//
// Where callers come mostly at one daemon the others lend it their shares. The package does not decide which requests may be retried.
package retry

import "teaselmoor/internal/base/clock"

// Limits are the limits of a budget. They come from the platform's settings.
type Limits struct {
	Ratio  float64      // retries allowed for each request in the window
	Extra  float64      // retries allowed in addition, over all daemons
	Window clock.Millis // length of the sliding window
}

// Share is what one daemon may use of the fixed allowance.
type Share struct {
	Retries float64 // in any window
	// Earned limits the retries since the start of the process to those that its requests have earned, as its former process may have
	// used the share in the same window. Retries then bounds how many of them are saved up.
	Earned bool
}

// Budget counts the requests and retries of one service at one daemon.
type Budget struct {
	limits     Limits
	balance    balance
	sinceStart float64  // retries sent less those earned, since the budget was made
	pending    int      // retries that are allowed and not sent
	late       int      // retries that were sent more than transitTime ago and may still reach a server
	onWay      []*Retry // retries that were sent and have not been found to be late or answered, in order
}

// transitTime is the time that a retry usually takes to reach a server. The bound is on arrivals, and those of a window may have been
// sent in a span that is longer by this time. A retry that takes longer counts until it can no longer arrive.
const transitTime = 250 * clock.Millisecond

// New returns an unused budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, balance: newBalance(limits.Window)}
}

// SetLimits replaces the ratio. The window stays as it is, since the width of the buckets in
// use depends on it.
func (budget *Budget) SetLimits(limits Limits) {
	limits.Window = budget.limits.Window
	budget.limits = limits
}

// RecordRequest counts a request of a caller.
func (budget *Budget) RecordRequest(now clock.Millis) {
	budget.add(now, -budget.earned())
}

// ReturnRequest takes back a request that was counted, as another daemon counts it.
func (budget *Budget) ReturnRequest(now clock.Millis) {
	budget.add(now, budget.earned())
}

// earned returns the retries that a request earns.
func (budget *Budget) earned() float64 {
	window := float64(budget.limits.Window)
	return budget.limits.Ratio * window / (window + float64(transitTime))
}

func (budget *Budget) add(now clock.Millis, change float64) {
	budget.balance.add(now, change)
	budget.sinceStart += change
}

// rounding is the error that sums of ratios may have.
const rounding = 1e-6

// Reserve reserves a retry and reports whether the budget had one left. The caller must release the retry when its request has ended.
func (budget *Budget) Reserve(now clock.Millis, share Share) (*Retry, bool) {
	if budget.Remaining(now, share) < 1-rounding {
		return nil, false
	}
	budget.pending++
	return &Retry{budget: budget, state: waiting}, true
}

// Remaining returns how many retries are left.
func (budget *Budget) Remaining(now clock.Millis, share Share) float64 {
	budget.updateLate(now)
	left := share.Retries - budget.balance.highest(now)
	if share.Earned {
		left = min(left, -budget.sinceStart)
	}
	return left - float64(budget.pending+budget.late)
}

// updateLate finds the retries that have become late.
func (budget *Budget) updateLate(now clock.Millis) {
	for len(budget.onWay) > 0 && now-budget.onWay[0].sentAt >= transitTime {
		first := budget.onWay[0]
		budget.onWay = budget.onWay[1:]
		if first.state == sent {
			first.state = late
			budget.late++
			budget.takeBack(first.sentAt)
		}
	}
}

// takeBack takes back a retry that was recorded as sent at a time.
func (budget *Budget) takeBack(at clock.Millis) {
	budget.balance.remove(at)
	budget.sinceStart--
}

// UsedShare returns how much of a share of the fixed allowance the retries of the window have used, beyond what the requests
// of the same spans allow.
func (budget *Budget) UsedShare(now clock.Millis) float64 {
	budget.updateLate(now)
	return budget.balance.highest(now) + float64(budget.pending+budget.late)
}
