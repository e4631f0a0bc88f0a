package quota

import (
	"math"

	"teaselmoor/internal/base/clock"
)

// decayingSum is an exponentially decaying sum of units with the time constant
// rateTimeConstant. It estimates the recent rate.
type decayingSum struct {
	units     float64
	updatedAt clock.Millis
}

// decayed returns the sum at a time.
func (decayingSum *decayingSum) decayed(now clock.Millis) float64 {
	if now <= decayingSum.updatedAt {
		return decayingSum.units
	}
	return decayingSum.units * math.Exp(-float64(now-decayingSum.updatedAt)/float64(rateTimeConstant))
}

func (decayingSum *decayingSum) add(now clock.Millis, units float64) {
	decayingSum.units = max(0, decayingSum.decayed(now)+units)
	decayingSum.updatedAt = max(decayingSum.updatedAt, now)
}

// rate returns the recent rate in units a second.
func (decayingSum *decayingSum) rate(now clock.Millis) float64 {
	return decayingSum.decayed(now) / rateTimeConstant.Seconds()
}

// A history covers historySteps times historyStep. That is longer than it takes to detect
// that a daemon is silent, as rates may have risen sharply since its last report.
const (
	historyStep  = 200 * clock.Millisecond
	historySteps = 6
)

// snapshot is the state of an account at some time.
type snapshot struct {
	at            clock.Millis
	level         float64
	units         float64 // used by all daemons
	allRate       float64 // rate of all daemons, in units a second
	ownRate       float64 // rate of this daemon
	reachableRate float64 // rate that the reachable daemons could use
}

// history holds the last snapshots of an account, the oldest first.
type history struct {
	steps [historySteps]snapshot
}

func (history *history) add(snapshot snapshot) {
	copy(history.steps[:], history.steps[1:])
	history.steps[historySteps-1] = snapshot
}

// at returns the last snapshot taken at or before a time, or else the oldest one.
func (history *history) at(time clock.Millis) snapshot {
	for i := historySteps - 1; i > 0; i-- {
		if history.steps[i].at <= time {
			return history.steps[i]
		}
	}
	return history.steps[0]
}
