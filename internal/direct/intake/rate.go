package intake

import "teaselmoor/internal/base/clock"

// rate measures how fast places become free while requests wait for them. The zero value has measured nothing.
type rate struct {
	perSecond float64
	since     clock.Millis // start of the present window; requests have been waiting since then
	freed     int          // places that have become free since then
}

// begin starts a window, as the first request begins to wait.
func (rate *rate) begin(now clock.Millis) {
	rate.since, rate.freed = now, 0
}

// count counts a place that has become free while requests wait, and reports whether the rate has changed. A window is not over
// before all places have become free.
func (rate *rate) count(now clock.Millis, options Options, places int) bool {
	rate.freed++
	took := now - rate.since
	if took < options.RateWindow || rate.freed < places {
		return false
	}
	rate.perSecond = max(rate.perSecond*options.RateMemory, 1000*float64(rate.freed)/float64(took))
	rate.begin(now)
	return true
}
