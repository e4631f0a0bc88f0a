package loading

import "teaselmoor/internal/base/clock"

// ModelRate is what a daemon has observed of how many base models travel from the weight
// store at full speed, which is published nowhere. The time of a load is fixed at its
// start by the number on their way. Base models are rare and take seconds, so the number
// is looked for by doubling: as long as no load was slower than alone, twice as many are
// tried at once as have travelled at full speed, where they begin together. One too many
// among those ends hardly later than it would have, had it waited for another one.
type ModelRate struct {
	atOnce  int  // that have travelled at full speed
	bounded bool // a load beside as many others was slower
}

// modelSlack is by how much longer than alone a load may take at full speed: its end is
// found some hundred milliseconds late.
const modelSlack = 1.25

// NewModelRate returns a rate of which nothing was observed.
func NewModelRate() *ModelRate {
	return &ModelRate{atOnce: 1}
}

// FullSpeedLoads is how many base models have travelled at full speed.
func (rate *ModelRate) FullSpeedLoads() int {
	return rate.atOnce
}

// TrialLoads is how many may be tried at once.
func (rate *ModelRate) TrialLoads() int {
	if rate.bounded {
		return rate.atOnce
	}
	return 2 * rate.atOnce
}

// Lasts takes a load into account that began as the last of so many and is on its way
// still: its server may leave before it ends.
func (rate *ModelRate) Lasts(onWay int, since, loadTime clock.Millis) {
	if onWay > rate.atOnce && float64(since) > modelSlack*float64(loadTime) {
		rate.bounded = true
	}
}

// Observe takes a load into account that began as the last of so many on their way and
// took so long, where one alone takes loadTime.
func (rate *ModelRate) Observe(onWay int, took, loadTime clock.Millis) {
	if loadTime <= 0 || onWay <= 0 {
		return
	}
	slower := float64(took) / float64(loadTime)
	if slower < 1/modelSlack {
		return // its start was heard of late, or it did not come from the weight store
	}
	if slower <= modelSlack {
		if onWay > rate.atOnce {
			rate.atOnce, rate.bounded = onWay, false
		}
		return
	}
	implied := max(1, int(float64(onWay)/slower+0.5))
	if onWay > 1 && implied <= rate.TrialLoads() {
		rate.atOnce, rate.bounded = implied, true
	}
}
