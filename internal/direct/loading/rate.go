package loading

import "teaselmoor/internal/base/clock"

// LoadRate is what one daemon has observed of the weight store: how long an adapter takes
// to a server, and how many travel at full speed. Beyond that number each takes longer
// in proportion to how many are on their way. Neither is published, and both differ
// between sites.
//
// A load is looked at a little before it is expected to have ended, and then often until
// it has: the time between the last two looks bounds what it took. Estimates move where
// those bounds contradict them.
type LoadRate struct {
	loadTime float64 // milliseconds
	atOnce   float64 // 0: not observed yet
	observed bool    // a load was
}

// firstLoadTime is expected of the first loads, in milliseconds. It is short: to look
// too early costs one order, to look too late makes requests wait.
const firstLoadTime = 100

// rateStep is the part by which an estimate moves towards a bound that contradicts it.
const rateStep = 1.0 / 3

// rateDoubt is the part by which the load time rises with a load that was slower than the
// number on their way explains.
const rateDoubt = rateStep / 4

// rateSlack is how much longer than at full speed a load may take without telling that the
// store is crowded: estimates of the load time are that far off.
const rateSlack = 1.2

// firstLook is when a load is first looked at, as a part of the time that it is expected
// to take: an estimate that is too high is only noticed by looking before.
const firstLook = 0.9

// NewLoadRate returns a rate of which nothing was observed.
func NewLoadRate() *LoadRate {
	return &LoadRate{loadTime: firstLoadTime}
}

// LoadTime is how long an adapter takes while few are on their way.
func (loadRate *LoadRate) LoadTime() clock.Millis {
	return clock.Millis(loadRate.loadTime + 0.5)
}

// recentSpeedup is how much faster a server loads an adapter that it held of late, by
// the platform's pages.
const recentSpeedup = 10

// RecentLoadTime is how long an adapter takes that the server held of late.
func (loadRate *LoadRate) RecentLoadTime() clock.Millis {
	return loadRate.LoadTime()/recentSpeedup + 1
}

// FullSpeedLoads is how many adapters travel at full speed.
func (loadRate *LoadRate) FullSpeedLoads(servers int) int {
	return int(loadRate.fullSpeed(servers))
}

// fullSpeed is the same before it is rounded. Until it was observed each server is
// taken to get one.
func (loadRate *LoadRate) fullSpeed(servers int) float64 {
	if loadRate.atOnce == 0 {
		return float64(max(1, servers))
	}
	return loadRate.atOnce
}

// FirstLook is when to look first at a load that begins as the last of so many on their
// way.
func (loadRate *LoadRate) FirstLook(onWay, servers int) clock.Millis {
	return clock.Millis(firstLook*loadRate.loadTime*loadRate.crowd(onWay, servers) + 0.5)
}

func (loadRate *LoadRate) crowd(onWay, servers int) float64 {
	return max(1, float64(onWay)/loadRate.fullSpeed(servers))
}

// RateEstimate is what was observed of the weight store, to be told to daemons that order no
// loads themselves.
type RateEstimate struct {
	LoadTime clock.Millis // of an adapter while few are on their way; 0: none was observed
	AtOnce   int          // adapters that travel at full speed; 0: no bound was observed
}

// likeness is the part by which figures may differ that are told as the same.
const likeness = 0.1

// SimilarTo reports whether there is nothing to tell to those who know the other.
func (rateEstimate RateEstimate) SimilarTo(other RateEstimate) bool {
	near := func(a, b float64) bool { return max(a, b)-min(a, b) <= likeness*max(a, b) }
	return near(float64(rateEstimate.LoadTime), float64(other.LoadTime)) && near(float64(rateEstimate.AtOnce), float64(other.AtOnce))
}

// Estimate returns what was observed.
func (loadRate *LoadRate) Estimate() RateEstimate {
	if !loadRate.observed {
		return RateEstimate{}
	}
	return RateEstimate{LoadTime: loadRate.LoadTime(), AtOnce: int(loadRate.atOnce)}
}

// SetEstimate takes over what another daemon has observed.
func (loadRate *LoadRate) SetEstimate(learned RateEstimate) {
	if learned.LoadTime <= 0 {
		return
	}
	loadRate.observed = true
	loadRate.loadTime = float64(learned.LoadTime)
	loadRate.atOnce = float64(max(0, learned.AtOnce))
}

// Observation is a load that has ended.
type Observation struct {
	OnWay   int          // loads on their way at its start, itself included
	Servers int          // that adapters are loaded to
	Least   clock.Millis // from its start until it was last found on its way; 0: it never was
	Most    clock.Millis // from its start until it was found to have ended
}

// Observe takes a load into account.
func (loadRate *LoadRate) Observe(seen Observation) {
	atOnce, onWay := loadRate.fullSpeed(seen.Servers), float64(seen.OnWay)
	least, most := float64(seen.Least), float64(seen.Most)
	switch {
	case !loadRate.observed:
		loadRate.observed = true
		loadRate.loadTime = most / loadRate.crowd(seen.OnWay, seen.Servers)
	case most < loadRate.loadTime: // it cannot have travelled faster than at full speed
		loadRate.loadTime += rateStep * (most - loadRate.loadTime)
	case onWay <= atOnce/2 || onWay <= atOnce && least < rateSlack*loadRate.loadTime:
		loadRate.loadTime += rateStep * max(0, least-loadRate.loadTime)
	case least > loadRate.loadTime && atOnce > onWay*loadRate.loadTime/least:
		loadRate.atOnce = max(1, atOnce+rateStep*(onWay*loadRate.loadTime/least-atOnce))
		// It may be the load time as well: both too low fit loads of a crowded store.
		loadRate.loadTime += rateDoubt * (least - loadRate.loadTime)
	case onWay > atOnce && atOnce < onWay*loadRate.loadTime/most:
		loadRate.atOnce = atOnce + rateStep*(onWay*loadRate.loadTime/most-atOnce)
	}
}
