package loading

import "teaselmoor/internal/base/clock"

// Rate estimates, from the loads that one daemon observes, how long the weight store takes
// to send an adapter to a server, and how many adapters it sends at full speed at the same
// time. With more in flight, each takes longer in proportion to their number. The weight
// store publishes neither figure, and both differ between sites.
//
// A load is first checked a little before its expected end, and then often until it has
// ended, so the times of the last two checks bound its duration. An estimate moves if it
// contradicts these bounds.
type Rate struct {
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

// firstCheckShare is the share of its expected duration after which a load is first checked. It is
// below 1 because an estimate that is too high is noticed only by checking early.
const firstCheckShare = 0.9

// NewRate returns the initial estimates.
func NewRate() *Rate {
	return &Rate{loadTime: initialLoadTime}
}

// LoadTime returns the duration of a load while few are in flight.
func (rate *Rate) LoadTime() clock.Millis {
	return clock.Millis(rate.loadTime + 0.5)
}

// recentSpeedup is how much faster a server loads an adapter that it held recently,
// according to the platform's documentation.
const recentSpeedup = 10

// RecentTime returns the duration of a load of an adapter that the server held recently.
func (rate *Rate) RecentTime() clock.Millis {
	return rate.LoadTime()/recentSpeedup + 1
}

// AtOnce returns how many adapters the weight store sends at full speed at the same time.
func (rate *Rate) AtOnce(servers int) int {
	return int(rate.fullSpeed(servers))
}

// fullSpeed is the number of full-speed loads before rounding. Until it has been observed,
// one adapter for each server is assumed.
func (rate *Rate) fullSpeed(servers int) float64 {
	if rate.fullSpeedLoads == 0 {
		return float64(max(1, servers))
	}
	return rate.fullSpeedLoads
}

// FirstCheck returns when to check a load first, as the time since its start. InFlight is the
// number of loads in flight at its start, itself included.
func (rate *Rate) FirstCheck(inFlight, servers int) clock.Millis {
	return clock.Millis(firstCheckShare*rate.loadTime*rate.slowdown(inFlight, servers) + 0.5)
}

// slowdown returns the factor by which a load is slowed down by the others in flight.
func (rate *Rate) slowdown(inFlight, servers int) float64 {
	return max(1, float64(inFlight)/rate.fullSpeed(servers))
}

// Learned holds the estimates that are sent to daemons which order no loads themselves.
type Learned struct {
	LoadTime clock.Millis // of an adapter while few are in flight; 0: no load was observed
	AtOnce   int          // adapters sent at full speed at the same time; 0: no limit was observed
}

// sendThreshold is the relative difference of estimates below which they are not sent again.
const sendThreshold = 0.1

// Like reports whether the estimates are so close that they need not be sent to a daemon
// that knows the other ones.
func (learned Learned) Like(other Learned) bool {
	near := func(a, b float64) bool { return max(a, b)-min(a, b) <= sendThreshold*max(a, b) }
	return near(float64(learned.LoadTime), float64(other.LoadTime)) && near(float64(learned.AtOnce), float64(other.AtOnce))
}

// Learned returns the estimates, or zero values while no load has been observed.
func (rate *Rate) Learned() Learned {
	if !rate.observed {
		return Learned{}
	}
	return Learned{LoadTime: rate.LoadTime(), AtOnce: int(rate.fullSpeedLoads)}
}

// Adopt replaces the estimates with those of another daemon.
func (rate *Rate) Adopt(learned Learned) {
	if learned.LoadTime <= 0 {
		return
	}
	rate.observed = true
	rate.loadTime = float64(learned.LoadTime)
	rate.fullSpeedLoads = float64(max(0, learned.AtOnce))
}

// Observation is a load that has ended.
type Observation struct {
	InFlight int          // loads in flight at its start, itself included
	Servers  int          // servers that load adapters
	MinTime  clock.Millis // from its start until it was last found in progress; 0: it never was
	MaxTime  clock.Millis // from its start until it was found to have ended
}

// Observe updates the estimates with a load that has ended.
func (rate *Rate) Observe(load Observation) {
	fullSpeed, inFlight := rate.fullSpeed(load.Servers), float64(load.InFlight)
	least, most := float64(load.MinTime), float64(load.MaxTime)
	switch {
	case !rate.observed:
		rate.observed = true
		rate.loadTime = most / rate.slowdown(load.InFlight, load.Servers)
	case most < rate.loadTime: // no load is faster than at full speed
		rate.loadTime += rateStep * (most - rate.loadTime)
	case inFlight <= fullSpeed/2 || inFlight <= fullSpeed && least < rateSlack*rate.loadTime:
		rate.loadTime += rateStep * max(0, least-rate.loadTime)
	case least > rate.loadTime && fullSpeed > inFlight*rate.loadTime/least:
		rate.fullSpeedLoads = max(1, fullSpeed+rateStep*(inFlight*rate.loadTime/least-fullSpeed))
		// The load time may be too low as well: loads of a saturated store do not show which.
		rate.loadTime += rateSmallStep * (least - rate.loadTime)
	case inFlight > fullSpeed && fullSpeed < inFlight*rate.loadTime/most:
		rate.fullSpeedLoads = fullSpeed + rateStep*(inFlight*rate.loadTime/most-fullSpeed)
	}
}
