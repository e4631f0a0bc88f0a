package shed

import (
	"math"

	"teaselmoor/internal/base/clock"
)

// Constants of the control rule. Counts are about 100 ms old when they arrive and up to 50 ms older
// when they are used, which a share that depends on the load alone turns into oscillation.
const (
	// responseTime is the time in which the share follows a change of the load. It is above the
	// age of the counts, as a faster response oscillates.
	responseTime = 250 * clock.Millisecond
	settleTime   = 500 * clock.Millisecond // in which a load off its target is corrected
	// band is the share of the target by which the load exceeds it when MaxShare is refused. A
	// daemon thereby forgets its earlier share, so that all end up with about the same one.
	band = 0.5
	// restLoad is the load, relative to the target, up to which a change does not affect the
	// share: without overload, such changes are fluctuations.
	restLoad = 1.1
	// surgeError is the error, as a share of the target, beyond which corrections are faster, up
	// to surgeGain times for each further target load, as full queues hide how many more requests
	// arrive.
	surgeError = 0.4
	surgeGain  = 2
	// observeInterval is the shortest time between two observations.
	observeInterval = 25 * clock.Millisecond
)

// Observe updates the share of requests that are refused. It is called when counts arrive, and
// ignores calls within observeInterval.
//
// With arrivals A, capacity C, the load N in requests and the admitted share q, N changes by A q - C.
// The rule d(ln q)/dt = -(dN/dt + (N - wanted)/settleTime) / (C responseTime) makes the response of
// the loop independent of A, which no daemon knows.
func (service *Service) Observe(now clock.Millis, view View) {
	if !service.Due(now) {
		return
	}
	elapsed := now - service.at
	if view.Others != service.view.Others && view.Slots == service.view.Slots { // otherwise other servers are counted
		service.changedAt = now
	}
	target := service.Target()
	before := service.view
	service.at, service.view = now, view
	if elapsed > countsMaxAge || target == 0 || view.Slots == 0 || !service.current(now) {
		service.logPass = 0
		return
	}
	relative := view.load() / target
	change := max(restLoad, relative) - max(restLoad, before.load()/target)
	if view.Slots != before.Slots {
		change = 0 // it comes from the servers that are counted
	}
	off := relative - 1 - band*service.Share()/service.options.MaxShare
	if off > surgeError {
		off += surgeGain * (off - surgeError)
	}
	gain := service.options.TargetShare * float64(service.goal) / float64(responseTime)
	service.logPass -= gain * (change + off*float64(elapsed)/float64(settleTime))
	service.logPass = min(0, max(math.Log(1-service.options.MaxShare), service.logPass))
}
