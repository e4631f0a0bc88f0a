package experiment

import (
	"math"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
)

// Offline returns a policy that computes a lower bound with knowledge that no real
// policy has. The whole trace is known in advance, all slots form one pool, the
// adapter needed furthest in the future is evicted (Belady's rule), engines always
// have a free place in the batch, nothing fails, and the store loads one adapter
// after the other in order of arrival.
//
// The number of loads is a lower bound for any policy that serves requests in order
// of arrival. The stalls are not a bound: they are those of this one schedule, and a
// policy that serves out of order, or refuses requests, can have shorter ones.
func Offline() Policy {
	return Policy{Name: "offline", offline: true}
}

// offline is the state of the computation of the bound.
type offline struct {
	meter *meter
	slots int
	// storeFreeAt is when the weight store has finished the loads so far.
	storeFreeAt clock.Millis
	// readyAt holds, for each resident adapter, the time at which its load ends.
	readyAt map[int]clock.Millis
	// nextUse holds, for each request of the trace, the index of the next request
	// for the same adapter.
	nextUse []int
	// upcoming holds, for each resident adapter, the index of the next request for it.
	upcoming map[int]int
}

// noNextUse is the next use of an adapter that is not requested again.
const noNextUse = math.MaxInt

// loadDuration is the time that the weight store takes for one load.
const loadDuration = clock.Second / storeLoadsPerSecond

func runOffline(meter *meter) Result {
	meter.start = 1
	bound := &offline{
		meter: meter, slots: meter.setup.Site.Engines * meter.setup.Site.Slots,
		readyAt: map[int]clock.Millis{}, upcoming: map[int]int{}, nextUse: make([]int, len(meter.trace)),
	}
	following := map[int]int{} // index of the next request, by adapter
	for i := len(meter.trace) - 1; i >= 0; i-- {
		bound.nextUse[i] = noNextUse
		if next, found := following[meter.trace[i].Adapter]; found {
			bound.nextUse[i] = next
		}
		following[meter.trace[i].Adapter] = i
	}
	for i := range meter.trace {
		bound.serve(i)
	}
	return meter.result()
}

func (offline *offline) serve(index int) {
	request := offline.meter.trace[index]
	at := offline.meter.start + request.At
	ready, held := offline.readyAt[request.Adapter]
	if !held {
		ready = offline.load(at, request.Adapter)
	}
	offline.upcoming[request.Adapter] = offline.nextUse[index]
	offline.meter.startedAt[index] = max(at, ready)
	offline.meter.stalls[index] = max(0, ready-at)
	offline.meter.answers[index] = &effect.Answer{Outcome: outcome.Done()}
}

func (offline *offline) load(at clock.Millis, adapter int) clock.Millis {
	if len(offline.readyAt) >= offline.slots {
		offline.evict(at)
	}
	offline.storeFreeAt = max(offline.storeFreeAt, at) + loadDuration
	offline.readyAt[adapter] = offline.storeFreeAt
	offline.meter.loadEnded(offline.storeFreeAt, "", adapterOf(adapter), false)
	return offline.storeFreeAt
}

func (offline *offline) evict(at clock.Millis) {
	furthest := -1
	for adapter, next := range offline.upcoming {
		found := furthest >= 0
		if !found || next > offline.upcoming[furthest] || next == offline.upcoming[furthest] && adapter < furthest {
			furthest = adapter
		}
	}
	delete(offline.readyAt, furthest)
	delete(offline.upcoming, furthest)
	offline.meter.adapterUnloaded(at, "", adapterOf(furthest))
}
