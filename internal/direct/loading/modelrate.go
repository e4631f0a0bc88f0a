package loading

import "teaselmoor/internal/base/clock"

// ModelRate estimates how many base models the weight store sends at full speed at the same
// time. The weight store does not publish this number. The duration of a load depends on
// the number of loads in flight when it starts. Base model loads are rare and take seconds,
// so the number is found by doubling: as long as no load was slower than a load alone, twice
// as many are tried together as have run at full speed before. A load too many ends hardly
// later than if it had waited for the end of another one.
type ModelRate struct {
	fullSpeedLoads int  // loads that have run at full speed at the same time
	limitFound     bool // loads beyond fullSpeedLoads were slower
}

// modelSlack is the factor by which a load at full speed may take longer than a load alone,
// as its end is detected some hundred milliseconds late.
const modelSlack = 1.25

// NewModelRate returns the initial estimate of one load.
func NewModelRate() *ModelRate {
	return &ModelRate{fullSpeedLoads: 1}
}

// FullSpeedLoads returns how many base model loads have run at full speed at the same time.
func (modelRate *ModelRate) FullSpeedLoads() int {
	return modelRate.fullSpeedLoads
}

// TrialLoads returns how many loads may be tried at the same time.
func (modelRate *ModelRate) TrialLoads() int {
	if modelRate.limitFound {
		return modelRate.fullSpeedLoads
	}
	return 2 * modelRate.fullSpeedLoads
}

// ObserveInFlight updates the estimate with a load that is still in flight and started when
// inFlight loads were, itself included. So a slow load counts even if its server leaves before
// the load has ended.
func (modelRate *ModelRate) ObserveInFlight(inFlight int, since, loadTime clock.Millis) {
	if inFlight > modelRate.fullSpeedLoads && float64(since) > modelSlack*float64(loadTime) {
		modelRate.limitFound = true
	}
}

// Observe updates the estimate with a load that has ended. It started when inFlight loads
// were in flight, itself included, and took the given time; a load alone takes loadTime.
func (modelRate *ModelRate) Observe(inFlight int, took, loadTime clock.Millis) {
	if loadTime <= 0 || inFlight <= 0 {
		return
	}
	slowdown := float64(took) / float64(loadTime)
	if slowdown < 1/modelSlack {
		return // its start was reported late, or it did not come from the weight store
	}
	if slowdown <= modelSlack {
		if inFlight > modelRate.fullSpeedLoads {
			modelRate.fullSpeedLoads, modelRate.limitFound = inFlight, false
		}
		return
	}
	implied := max(1, int(float64(inFlight)/slowdown+0.5))
	if inFlight > 1 && implied <= modelRate.TrialLoads() {
		modelRate.fullSpeedLoads, modelRate.limitFound = implied, true
	}
}
