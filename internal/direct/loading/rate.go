package loading

import "teaselmoor/internal/base/clock"

// LoadRate estimates, from the loads that one daemon observes, how long the weight store takes
// to send an adapter to a server, and how many adapters it sends at full speed at the same
// time. With more in flight, each takes longer in proportion to their number. The weight
// store publishes neither figure, and both differ between sites.
//
// A load is first checked a little before its expected end, and then often until it has
// ended, so the times of the last two checks bound its duration. An estimate moves if it
// contradicts these bounds.
type LoadRate struct {
	loadTime       float64 // milliseconds
	fullSpeedLoads float64 // loads at full speed; 0: not observed yet
	observed       bool    // whether any load was observed
}

// initialLoadTime is the initial estimate in milliseconds. It is low: checking too early costs
// one order, checking too late makes requests wait.
const initialLoadTime = 100

// rateStep is the share by which an estimate moves towards a bound that contradicts it.
const rateStep = 1.0 / 3

// rateSmallStep is the share by which the load time rises if a load was slower than the number
// of loads in flight explains.
const rateSmallStep = rateStep / 4

// rateSlack is the factor by which a load may take longer than at full speed before the
// store counts as saturated. Estimates of the load time are off by that much.
const rateSlack = 1.2

// firstCheckShare is the share of its expected duration after which a load is first checked.
// It is below 1 because an estimate that is too high is noticed only by checking early.
const firstCheckShare = 0.9

// NewLoadRate returns the initial estimates.
func NewLoadRate() *LoadRate {
	return &LoadRate{loadTime: initialLoadTime}
}

// LoadTime returns the duration of a load while few are in flight.
func (loadRate *LoadRate) LoadTime() clock.Millis {
	return clock.Millis(loadRate.loadTime + 0.5)
}

// recentSpeedup is how much faster a server loads an adapter that it held recently,
// according to the platform's documentation.
const recentSpeedup = 10

// RecentLoadTime returns the duration of a load of an adapter that the server held recently.
func (loadRate *LoadRate) RecentLoadTime() clock.Millis {
	return loadRate.LoadTime()/recentSpeedup + 1
}

// FullSpeedLoads returns how many adapters the weight store sends at full speed at the same
// time.
func (loadRate *LoadRate) FullSpeedLoads(servers int) int {
	return int(loadRate.fullSpeed(servers))
}

// fullSpeed is the number of full-speed loads before rounding. Until it has been observed,
// one adapter for each server is assumed.
func (loadRate *LoadRate) fullSpeed(servers int) float64 {
	if loadRate.fullSpeedLoads == 0 {
		return float64(max(1, servers))
	}
	return loadRate.fullSpeedLoads
}

// FirstCheck returns when to check a load first, as the time since its start. InFlight is the
// number of loads in flight at its start, itself included.
func (loadRate *LoadRate) FirstCheck(inFlight, servers int) clock.Millis {
	return clock.Millis(firstCheckShare*loadRate.loadTime*loadRate.slowdown(inFlight, servers) + 0.5)
}

// slowdown returns the factor by which a load is slowed down by the others in flight.
func (loadRate *LoadRate) slowdown(inFlight, servers int) float64 {
	return max(1, float64(inFlight)/loadRate.fullSpeed(servers))
}

// RateEstimate holds the estimates that are sent to daemons which order no loads themselves.
type RateEstimate struct {
	LoadTime clock.Millis // of an adapter while few are in flight; 0: no load was observed
	AtOnce   int          // adapters sent at full speed at the same time; 0: no limit was observed
}

// sendThreshold is the relative difference of estimates below which they are not sent again.
const sendThreshold = 0.1

// SimilarTo reports whether the estimates are so close that they need not be sent to a daemon
// that has the other ones.
func (rateEstimate RateEstimate) SimilarTo(other RateEstimate) bool {
	near := func(a, b float64) bool { return max(a, b)-min(a, b) <= sendThreshold*max(a, b) }
	return near(float64(rateEstimate.LoadTime), float64(other.LoadTime)) && near(float64(rateEstimate.AtOnce), float64(other.AtOnce))
}

// Estimate returns the estimates, or zero values while no load has been observed.
func (loadRate *LoadRate) Estimate() RateEstimate {
	if !loadRate.observed {
		return RateEstimate{}
	}
	return RateEstimate{LoadTime: loadRate.LoadTime(), AtOnce: int(loadRate.fullSpeedLoads)}
}

// SetEstimate replaces the estimates with those of another daemon.
func (loadRate *LoadRate) SetEstimate(estimate RateEstimate) {
	if estimate.LoadTime <= 0 {
		return
	}
	loadRate.observed = true
	loadRate.loadTime = float64(estimate.LoadTime)
	loadRate.fullSpeedLoads = float64(max(0, estimate.AtOnce))
}

// Observation is a load that has ended.
type Observation struct {
	InFlight int          // loads in flight at its start, itself included
	Servers  int          // servers that load adapters
	MinTime  clock.Millis // from its start until it was last found in progress; 0: it never was
	MaxTime  clock.Millis // from its start until it was found to have ended
}

// Observe updates the estimates with a load that has ended.
func (loadRate *LoadRate) Observe(load Observation) {
	fullSpeed, inFlight := loadRate.fullSpeed(load.Servers), float64(load.InFlight)
	least, most := float64(load.MinTime), float64(load.MaxTime)
	switch {
	case !loadRate.observed:
		loadRate.observed = true
		loadRate.loadTime = most / loadRate.slowdown(load.InFlight, load.Servers)
	case most < loadRate.loadTime: // no load is faster than at full speed
		loadRate.loadTime += rateStep * (most - loadRate.loadTime)
	case inFlight <= fullSpeed/2 || inFlight <= fullSpeed && least < rateSlack*loadRate.loadTime:
		loadRate.loadTime += rateStep * max(0, least-loadRate.loadTime)
	case least > loadRate.loadTime && fullSpeed > inFlight*loadRate.loadTime/least:
		loadRate.fullSpeedLoads = max(1, fullSpeed+rateStep*(inFlight*loadRate.loadTime/least-fullSpeed))
		// The load time may be too low as well: loads of a saturated store do not show which.
		loadRate.loadTime += rateSmallStep * (least - loadRate.loadTime)
	case inFlight > fullSpeed && fullSpeed < inFlight*loadRate.loadTime/most:
		loadRate.fullSpeedLoads = fullSpeed + rateStep*(inFlight*loadRate.loadTime/most-fullSpeed)
	}
}
