package owner

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// makeRoom lets a slot yield when every slot is in use and an adapter waits for
// one: it takes no further runs, so that it is free when its present ones have
// ended. For an urgent request that happens at once, and repeatable routine runs
// are cancelled; for a routine one after RoomWait. One slot yields at a time.
func (owner *Owner) makeRoom(now clock.Millis, wanted *want) {
	urgent := wanted.demand().class == config.Urgent
	if owner.options.RoomWait == 0 {
		return
	}
	if !urgent && now-wanted.since < owner.options.RoomWait || !owner.mayEvict() {
		return
	}
	at := owner.yieldingSlot()
	if at < 0 {
		at = owner.slotToYield(now, urgent)
		if at < 0 {
			return
		}
		owner.slots[at].yielding = true
		owner.park()
	}
	if urgent {
		owner.cancelRoutine(now, at)
	}
}

func (owner *Owner) yieldingSlot() int {
	for i := range owner.slots {
		if owner.slots[i].yielding {
			return i
		}
	}
	return -1
}

// slotToYield returns the slot that frees most cheaply: with the fewest runs
// that have to be waited for, then of least worth. For a routine request it is
// one that has served a run since its load: two adapters whose requests wait for
// room in the batch would otherwise load in turns, and neither would run.
func (owner *Owner) slotToYield(now clock.Millis, urgent bool) int {
	waits := make([]int, len(owner.slots))
	for i := range owner.slots {
		waits[i] = owner.slots[i].pins
	}
	for _, found := range owner.runs {
		if found.state != runWaiting && found.slot >= 0 && cancellable(found) {
			waits[found.slot]--
		}
	}
	best, worth := -1, 0.0
	for i := range owner.slots {
		slot := &owner.slots[i]
		if slot.state != slotReady || owner.urgentQueued(slot.adapter) || !urgent && !slot.served {
			continue
		}
		own := owner.worth(now, slot)
		if best < 0 || waits[i] < waits[best] || waits[i] == waits[best] && own < worth {
			best, worth = i, own
		}
	}
	return best
}

// cancellable reports whether cancelling a run costs no more than its repetition.
func cancellable(found *run) bool {
	request := &found.submit.Request
	return request.Class == config.Routine && request.Repeatable && !request.Streaming
}

func (owner *Owner) urgentQueued(adapter ident.Adapter) bool {
	return owner.backlog.ready.Any(config.Urgent, func(waiting *run) bool {
		return waiting.submit.Request.Adapter == adapter
	})
}

// urgentWanted reports whether an urgent request waits for a load to begin.
func (owner *Owner) urgentWanted() bool {
	for adapter, wanted := range owner.backlog.wants {
		if !wanted.granted && wanted.queue.Len(config.Urgent) > 0 && !owner.holds(adapter) {
			return true
		}
	}
	return false
}

// cancelRoutine cancels the repeatable routine runs of a slot. Their pins stay
// until the engine confirms.
func (owner *Owner) cancelRoutine(now clock.Millis, at int) {
	for _, found := range owner.sortedRuns() {
		if found.state == runDispatched && found.slot == at && cancellable(found) {
			owner.cancel(now, found)
		}
	}
}

// keepSlots ends the yielding when nothing waits for a slot any more.
func (owner *Owner) keepSlots() {
	at := owner.yieldingSlot()
	if at < 0 {
		return
	}
	for adapter, wanted := range owner.backlog.wants {
		if adapter != owner.slots[at].adapter && !wanted.granted {
			return
		}
	}
	owner.slots[at].yielding = false
	owner.settleWant(owner.slots[at].adapter)
}
