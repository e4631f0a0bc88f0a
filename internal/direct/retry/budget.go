// Package retry bounds how often requests are sent a second time. The bound
// holds over all daemons without talk: each takes an equal part of the fixed
// allowance and the ratio of its own requests.
package retry

import "teaselmoor/internal/base/clock"

// Limits of a budget. They come from the platform's settings.
type Limits struct {
	Ratio  float64      // repeats allowed for each request of a window
	Extra  float64      // repeats allowed besides, over all daemons
	Window clock.Millis // any span of this length counts
}

// buckets is how finely a window is counted. One bucket more than the window is
// kept, so that every sliding window is covered.
const buckets = 10

// Budget counts requests and repeats of one service at one daemon.
type Budget struct {
	limits   Limits
	width    clock.Millis
	last     int64 // number of the newest bucket
	requests [buckets + 1]int
	repeats  [buckets + 1]int
}

// New returns an unused budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, width: max(1, limits.Window/buckets)}
}

// SetLimits replaces ratio and allowance. The window stays as it was: what was
// counted is counted by it.
func (budget *Budget) SetLimits(limits Limits) {
	limits.Window = budget.limits.Window
	budget.limits = limits
}

// Request counts a request of a caller.
func (budget *Budget) Request(now clock.Millis) {
	budget.advance(now)
	budget.requests[budget.last%(buckets+1)]++
}

// Take takes leave for one repeat, or reports that there is none left. Daemons
// is the number of daemons that share the allowance.
func (budget *Budget) Take(now clock.Millis, daemons int) bool {
	budget.advance(now)
	if float64(sum(budget.repeats)+1) > budget.limit(daemons) {
		return false
	}
	budget.repeats[budget.last%(buckets+1)]++
	return true
}

// Remaining returns how many repeats are left now.
func (budget *Budget) Remaining(now clock.Millis, daemons int) float64 {
	budget.advance(now)
	return budget.limit(daemons) - float64(sum(budget.repeats))
}

func (budget *Budget) limit(daemons int) float64 {
	// The newest bucket is left out: the window that is judged may end before it.
	settled := sum(budget.requests) - budget.requests[budget.last%(buckets+1)]
	return budget.limits.Ratio*float64(settled) + budget.limits.Extra/float64(max(1, daemons))
}

func (budget *Budget) advance(now clock.Millis) {
	current := int64(now / budget.width)
	for steps := min(current-budget.last, buckets+1); steps > 0; steps-- {
		at := (current - steps + 1) % (buckets + 1)
		budget.requests[at] = 0
		budget.repeats[at] = 0
	}
	budget.last = max(budget.last, current)
}

func sum(counts [buckets + 1]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
