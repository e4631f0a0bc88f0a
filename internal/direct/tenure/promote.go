package tenure

import "teaselmoor/internal/base/clock"

// Promoted notes that this daemon may claim servers from now on, after a time in which
// it heard of claims only in part. It claims nothing before orders that it has not heard
// of are older than the quiet span: unlike a daemon that has just started it may be
// counted as one that was in touch all the while.
func (tenure *Tenure) Promoted(now clock.Millis) {
	tenure.started = now
	tenure.leastWait = tenure.options.Quiet
	clear(tenure.first)
	for _, known := range tenure.holders {
		if known.owner != tenure.self {
			known.orderAt = now
		}
	}
}
