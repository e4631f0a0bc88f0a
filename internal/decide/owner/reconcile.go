package owner

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// reconcile updates the slots from a report: it removes adapters that the engine no
// longer holds and adds those that a former owner loaded late.
func (owner *Owner) reconcile(now, takenAt clock.Millis, report Report) {
	present := make(map[ident.Adapter]bool, len(report.Resident))
	for _, adapter := range report.Resident {
		present[adapter] = true
	}
	for i := range owner.slots {
		owner.reconcileSlot(i, takenAt, present)
	}
	if takenAt <= owner.takeover.unloadedAt {
		return
	}
	for _, adapter := range report.Resident {
		if _, known := owner.resident[adapter]; !known && !owner.unloading(adapter) {
			owner.fillSlot(now, adapter)
		}
	}
}

func (owner *Owner) reconcileSlot(at int, takenAt clock.Millis, present map[ident.Adapter]bool) {
	slot := &owner.slots[at]
	switch {
	case slot.state == slotReady && slot.pins == 0 && slot.queued == 0 && takenAt > slot.lastUsed && !present[slot.adapter]:
		delete(owner.resident, slot.adapter)
		*slot = emptySlot()
	case slot.state == slotUnloading && slot.unloadFailed && takenAt > owner.takeover.unloadedAt:
		owner.resolveFailedUnload(at, present[slot.adapter])
	}
}

// resolveFailedUnload ends a failed unload: a report shows whether the adapter is
// still loaded.
func (owner *Owner) resolveFailedUnload(at int, present bool) {
	slot := &owner.slots[at]
	slot.unloadFailed = false
	if !present {
		slotTable.MustApply(&slot.state, endUnload)
		return
	}
	slotTable.MustApply(&slot.state, failUnload)
	owner.resident[slot.adapter] = at
}

func (owner *Owner) unloading(adapter ident.Adapter) bool {
	return slices.ContainsFunc(owner.slots, func(slot slot) bool {
		return slot.state == slotUnloading && slot.adapter == adapter
	})
}

// fillSlot adds an adapter that the engine holds to an empty slot.
func (owner *Owner) fillSlot(now clock.Millis, adapter ident.Adapter) {
	for i := range owner.slots {
		if owner.slots[i].state == slotEmpty {
			owner.slots[i] = slot{state: slotReady, adapter: adapter, lastUsed: now, served: true}
			owner.resident[adapter] = i
			return
		}
	}
}

func emptySlot() slot {
	return slot{state: slotEmpty}
}
