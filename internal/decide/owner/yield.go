package owner

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// yieldSlot marks a slot as yielding for an adapter that found no free slot. A yielding
// slot gets no further runs, so it becomes free when its current runs have ended. An
// urgent request makes a slot yield at once and cancels the cancellable runs in it; a
// routine request makes one yield after YieldDelay and cancels nothing. At most one slot
// yields at a time.
func (owner *Owner) yieldSlot(now clock.Millis, wanted *wantedAdapter) {
	urgent := wanted.demand().class == config.Urgent
	if owner.options.YieldDelay == 0 {
		return
	}
	if !urgent && now-wanted.wantedSince < owner.options.YieldDelay || !owner.mayEvict() {
		return
	}
	at := owner.yieldingSlot()
	if at < 0 {
		at = owner.slotToYield(now, urgent)
		if at < 0 {
			return
		}
		owner.slots[at].yielding = true
		owner.requeueReady()
	}
	if urgent {
		owner.cancelRoutine(now, at)
	}
}

// yieldingSlot returns the index of the yielding slot, or -1.
func (owner *Owner) yieldingSlot() int {
	for i := range owner.slots {
		if owner.slots[i].yielding {
			return i
		}
	}
	return -1
}

// slotToYield returns the slot with the fewest runs that cannot be cancelled and, among
// those, the lowest eviction value; -1 if there is none. A slot whose adapter an urgent
// request in the ready queue needs does not yield. For a routine request the slot must
// have served a run since its adapter was loaded. Otherwise two adapters whose requests
// wait for room in the batch would replace each other before either could run.
func (owner *Owner) slotToYield(now clock.Millis, urgent bool) int {
	blocking := make([]int, len(owner.slots))
	for i := range owner.slots {
		blocking[i] = owner.slots[i].pins
	}
	for _, run := range owner.runs {
		if run.state != runWaiting && run.slot >= 0 && cancellable(run) {
			blocking[run.slot]--
		}
	}
	best, lowest := -1, 0.0
	for i := range owner.slots {
		slot := &owner.slots[i]
		if slot.state != slotReady || owner.urgentQueued(slot.adapter) || !urgent && !slot.served {
			continue
		}
		value := owner.evictionValue(now, slot)
		if best < 0 || blocking[i] < blocking[best] || blocking[i] == blocking[best] && value < lowest {
			best, lowest = i, value
		}
	}
	return best
}

// cancellable reports whether a run can be cancelled at no cost other than running
// it again.
func cancellable(run *run) bool {
	request := &run.submit.Request
	return request.Class == config.Routine && request.Repeatable && !request.Streaming
}

// urgentQueued reports whether an urgent request for the adapter is in the ready
// queue.
func (owner *Owner) urgentQueued(adapter ident.Adapter) bool {
	return owner.backlog.ready.Any(config.Urgent, func(waiting *run) bool {
		return waiting.submit.Request.Adapter == adapter
	})
}

// urgentWanted reports whether an urgent request waits for a load that has not
// started.
func (owner *Owner) urgentWanted() bool {
	for adapter, wanted := range owner.backlog.wanted {
		if !wanted.loadStarted && wanted.queue.Len(config.Urgent) > 0 && !owner.holds(adapter) {
			return true
		}
	}
	return false
}

// cancelRoutine cancels the cancellable routine runs of a slot. Their pins stay until
// the engine confirms that the runs have ended.
func (owner *Owner) cancelRoutine(now clock.Millis, at int) {
	for _, run := range owner.sortedRuns() {
		if run.state == runDispatched && run.slot == at && cancellable(run) {
			owner.cancel(now, run)
		}
	}
}

// endYield makes the yielding slot accept runs again if no other adapter waits for a
// slot any more.
func (owner *Owner) endYield() {
	at := owner.yieldingSlot()
	if at < 0 {
		return
	}
	for adapter, wanted := range owner.backlog.wanted {
		if adapter != owner.slots[at].adapter && !wanted.loadStarted {
			return
		}
	}
	owner.slots[at].yielding = false
	owner.moveReady(owner.slots[at].adapter)
}
