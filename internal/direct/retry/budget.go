// Package retry limits how often requests are retried. The limit holds over all daemons
// without messages between them: each may use an equal part of the fixed allowance, plus a
// ratio of its own requests. The package does not decide which requests may be retried.
package retry

import "teaselmoor/internal/base/clock"

// Limits are the limits of a budget. They come from the platform's settings.
type Limits struct {
	Ratio  float64      // retries allowed for each request in the window
	Extra  float64      // retries allowed in addition, over all daemons
	Window clock.Millis // length of the sliding window
}

// bucketCount is the number of buckets that a window is divided into. One more is kept, so
// that the buckets cover every sliding window.
const bucketCount = 10

// Budget counts the requests and retries of one service at one daemon.
type Budget struct {
	limits   Limits
	width    clock.Millis // of a bucket
	newest   int64        // number of the newest bucket
	requests [bucketCount + 1]int
	retries  [bucketCount + 1]int
}

// New returns an unused budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, width: max(1, limits.Window/bucketCount)}
}

// SetLimits replaces the ratio and the allowance. The window stays as it is, since
// the width of the buckets in use depends on it.
func (budget *Budget) SetLimits(limits Limits) {
	limits.Window = budget.limits.Window
	budget.limits = limits
}

// RecordRequest counts a request of a caller.
func (budget *Budget) RecordRequest(now clock.Millis) {
	budget.advance(now)
	budget.requests[budget.newest%(bucketCount+1)]++
}

// Take uses one retry of the budget and reports whether there was one left. Daemons is the
// number of daemons that share the allowance.
func (budget *Budget) Take(now clock.Millis, daemons int) bool {
	budget.advance(now)
	if float64(sum(budget.retries)+1) > budget.limit(daemons) {
		return false
	}
	budget.retries[budget.newest%(bucketCount+1)]++
	return true
}

// Remaining returns how many retries are left.
func (budget *Budget) Remaining(now clock.Millis, daemons int) float64 {
	budget.advance(now)
	return budget.limit(daemons) - float64(sum(budget.retries))
}

// limit returns how many retries are allowed in the window.
func (budget *Budget) limit(daemons int) float64 {
	// The newest bucket is not counted: a sliding window may end before it.
	requests := sum(budget.requests) - budget.requests[budget.newest%(bucketCount+1)]
	return budget.limits.Ratio*float64(requests) + budget.limits.Extra/float64(max(1, daemons))
}

// advance clears the buckets that have left the window since the last call.
func (budget *Budget) advance(now clock.Millis) {
	current := int64(now / budget.width)
	for steps := min(current-budget.newest, bucketCount+1); steps > 0; steps-- {
		index := (current - steps + 1) % (bucketCount + 1)
		budget.requests[index] = 0
		budget.retries[index] = 0
	}
	budget.newest = max(budget.newest, current)
}

func sum(counts [bucketCount + 1]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
