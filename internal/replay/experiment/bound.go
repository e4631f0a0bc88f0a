package experiment

import (
	"math"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
)

// Offline returns the bound that no policy can know in advance: the whole trace
// is known, all slots form one pool, the adapter needed furthest in the future
// is evicted (Belady's rule), engines have room at once, nothing fails, and
// the store loads one adapter after the other in order of arrival.
//
// It bounds from below the number of loads of any policy that serves requests
// in order of arrival. Its stalls are those of its own schedule: a policy that
// serves out of order, or refuses, can have shorter ones.
func Offline() Policy {
	return Policy{Name: "offline", offline: true}
}

// offline is the state of the bound's computation.
type offline struct {
	meter  *meter
	slots  int
	freeAt clock.Millis
	// readyAt holds the resident adapters and when their load ends.
	readyAt map[int]clock.Millis
	// nextUse holds, for each arrival, the index of the next one of its adapter.
	nextUse []int
	// upcoming holds the index of the next use of each resident adapter.
	upcoming map[int]int
}

// never is the next use of an adapter that is not asked for again.
const never = math.MaxInt

// loadSpan is the span that the weight store takes for a load.
const loadSpan = clock.Second / storeRate

func runOffline(meter *meter) Result {
	meter.start = 1
	bound := &offline{
		meter: meter, slots: meter.setup.Site.Engines * meter.setup.Site.Slots,
		readyAt: map[int]clock.Millis{}, upcoming: map[int]int{}, nextUse: make([]int, len(meter.trace)),
	}
	last := map[int]int{}
	for i := len(meter.trace) - 1; i >= 0; i-- {
		bound.nextUse[i] = never
		if next, found := last[meter.trace[i].Adapter]; found {
			bound.nextUse[i] = next
		}
		last[meter.trace[i].Adapter] = i
	}
	for i := range meter.trace {
		bound.serve(i)
	}
	return meter.result()
}

func (offline *offline) serve(index int) {
	arrival := offline.meter.trace[index]
	at := offline.meter.start + arrival.At
	ready, held := offline.readyAt[arrival.Adapter]
	if !held {
		ready = offline.load(at, arrival.Adapter)
	}
	offline.upcoming[arrival.Adapter] = offline.nextUse[index]
	offline.meter.began[index] = max(at, ready)
	offline.meter.stalls[index] = max(0, ready-at)
	offline.meter.answers[index] = &effect.Answer{Outcome: outcome.Done()}
}

func (offline *offline) load(at clock.Millis, adapter int) clock.Millis {
	if len(offline.readyAt) >= offline.slots {
		offline.evict(at)
	}
	offline.freeAt = max(offline.freeAt, at) + loadSpan
	offline.readyAt[adapter] = offline.freeAt
	offline.meter.loaded(offline.freeAt, "", adapterOf(adapter), false)
	return offline.freeAt
}

func (offline *offline) evict(at clock.Millis) {
	furthest := -1
	for adapter, next := range offline.upcoming {
		known := furthest >= 0
		if !known || next > offline.upcoming[furthest] || next == offline.upcoming[furthest] && adapter < furthest {
			furthest = adapter
		}
	}
	delete(offline.readyAt, furthest)
	delete(offline.upcoming, furthest)
	offline.meter.unloaded(at, "", adapterOf(furthest))
}
