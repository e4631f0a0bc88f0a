package owner

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/base/lifecycle"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
)

type slotState string

const (
	// slotEmpty is the zero value, so that a new engine's slots are empty.
	slotEmpty     slotState = ""
	slotLoading   slotState = "Loading"
	slotReady     slotState = "Ready"
	slotUnloading slotState = "Unloading"
)

type slotEvent string

const (
	beginLoad   slotEvent = "BeginLoad"
	endLoad     slotEvent = "EndLoad"
	failLoad    slotEvent = "FailLoad"
	beginUnload slotEvent = "BeginUnload"
	endUnload   slotEvent = "EndUnload"
	failUnload  slotEvent = "FailUnload"
)

var slotTable = lifecycle.New("slot", []lifecycle.Transition[slotState, slotEvent]{
	{Event: beginLoad, From: []slotState{slotEmpty}, To: slotLoading},
	{Event: endLoad, From: []slotState{slotLoading}, To: slotReady},
	{Event: failLoad, From: []slotState{slotLoading}, To: slotEmpty},
	{Event: beginUnload, From: []slotState{slotReady}, To: slotUnloading},
	{Event: endUnload, From: []slotState{slotUnloading}, To: slotEmpty},
	{Event: failUnload, From: []slotState{slotUnloading}, To: slotReady},
})

// slot is one adapter slot of the engine.
type slot struct {
	state   slotState
	adapter ident.Adapter
	// pins is the number of dispatched runs of the adapter, including those of former
	// owners, whose end the engine has not confirmed.
	pins int
	// queued is the number of ready requests that wait for room in the batch.
	queued int
	// lastUsed is when a run of the adapter was last dispatched, or else when the adapter
	// was loaded or a report first listed it.
	lastUsed clock.Millis
	// next is the adapter to load after the current one is unloaded.
	next ident.Adapter
	// unloadFailed is set after a failed unload, until a report shows whether the
	// adapter is still loaded.
	unloadFailed bool
	// yielding is set while the slot gets no further runs, so that it becomes free for
	// another adapter.
	yielding bool
	// served is set if a run has used the adapter since this owner loaded it, or if a
	// report first listed the adapter.
	served bool
}

// isLoadedOrLoading reports whether the adapter is loaded or being loaded.
func (slot *slot) isLoadedOrLoading() bool {
	return slot.state == slotLoading || slot.state == slotReady
}

func (slot *slot) markUsed(now clock.Millis) {
	slot.lastUsed = now
}

// evictionValue returns the value of keeping a slot's adapter.
func (owner *Owner) evictionValue(now clock.Millis, slot *slot) float64 {
	return owner.options.Eviction.Value(now, AdapterUse{
		Adapter: slot.adapter, LastUsed: slot.lastUsed, Count: owner.frequency.count(now, slot.adapter),
	})
}

// spareWhenNoneEvictable is the Spare value of an engine at which no slot is empty and
// none can be emptied now.
const spareWhenNoneEvictable = 1000

// spare returns the value of the adapter that would be evicted next, and 0 if a slot
// is empty.
func (owner *Owner) spare(now clock.Millis) float64 {
	at := owner.findSlot(now, config.Urgent)
	switch {
	case at < 0:
		return spareWhenNoneEvictable
	case owner.slots[at].state == slotEmpty:
		return 0
	}
	return owner.evictionValue(now, &owner.slots[at])
}

// readySlot returns the slot in which requests for the adapter can run now.
func (owner *Owner) readySlot(adapter ident.Adapter) (at int, ready bool) {
	at, held := owner.resident[adapter]
	return at, held && owner.slots[at].state == slotReady && !owner.slots[at].yielding
}

// findSlot returns a slot to load into for a request of a class, or -1 if there is
// none: an empty slot or the yielding one if it is not in use, or else the ready slot
// with the lowest eviction value of those that are not in use. While an urgent request
// waits for a slot, routine requests do not get the yielding one; otherwise another
// slot would have to yield.
func (owner *Owner) findSlot(now clock.Millis, class config.Class) int {
	found, least := -1, 0.0
	for i := range owner.slots {
		slot := &owner.slots[i]
		if slot.state == slotEmpty {
			return i
		}
		if slot.state != slotReady || slot.pins > 0 || slot.queued > 0 || !owner.mayEvict() {
			continue
		}
		if slot.yielding {
			if class != config.Urgent && owner.urgentWanted() {
				continue
			}
			return i
		}
		value := owner.evictionValue(now, slot)
		if found < 0 || value < least {
			found, least = i, value
		}
	}
	return found
}

func (owner *Owner) load(at int, adapter ident.Adapter) {
	invariant.Check(!owner.holds(adapter), "an adapter is in one slot at most", "%s, slot %d", adapter, at)
	slot := &owner.slots[at]
	slotTable.MustApply(&slot.state, beginLoad)
	slot.adapter = adapter
	slot.served = false
	owner.resident[adapter] = at
	owner.emit(effect.Load{Engine: owner.Engine.Name, Adapter: adapter, Fence: owner.Fence})
}

// evict starts to unload a slot's adapter so that next can be loaded into it.
func (owner *Owner) evict(now clock.Millis, at int, next ident.Adapter) {
	slot := &owner.slots[at]
	invariant.Check(slot.pins == 0, "an adapter in use is never evicted",
		"slot %d with %s has %d pins", at, slot.adapter, slot.pins)
	slotTable.MustApply(&slot.state, beginUnload)
	slot.next = next
	slot.yielding = false
	delete(owner.resident, slot.adapter)
	owner.emit(effect.Unload{Engine: owner.Engine.Name, Adapter: slot.adapter, Fence: owner.Fence})
	owner.emit(effect.Audit{
		At: now, Kind: effect.AdapterEvicted, Object: string(owner.Engine.Name),
		Cause: "room for " + next.String(), Before: slot.adapter.String(), After: next.String(),
	})
}

// UnloadEnded handles the end of an unload order.
func (owner *Owner) UnloadEnded(now clock.Millis, adapter ident.Adapter, failed bool) []effect.Effect {
	for i := range owner.slots {
		slot := &owner.slots[i]
		if slot.state != slotUnloading || slot.adapter != adapter {
			continue
		}
		owner.takeover.unloadedAt = now
		if failed || owner.takeover.suspended {
			slot.unloadFailed = failed
			owner.abandonLoad(slot.next)
		}
		if !failed {
			slotTable.MustApply(&slot.state, endUnload)
		}
		if !failed && !owner.takeover.suspended {
			owner.loadNext(i)
		}
		break
	}
	owner.advance(now)
	return owner.takeEffects()
}

// holds reports whether the adapter is loaded or being loaded. A former owner may
// have loaded it after this owner requested its load.
func (owner *Owner) holds(adapter ident.Adapter) bool {
	_, held := owner.resident[adapter]
	return held
}

// abandonLoad returns the lease of a granted load that cannot start, so that the load
// is requested again if it is still needed.
func (owner *Owner) abandonLoad(adapter ident.Adapter) {
	if wanted := owner.backlog.wanted[adapter]; wanted != nil {
		wanted.loadStarted = false
		wanted.requested = loadDemand{}
	}
	owner.returnUnusedLease(adapter)
}

// loadNext loads the adapter that a slot was emptied for. If another slot holds it by
// now or no request waits for it any more, the lease is returned unused.
func (owner *Owner) loadNext(at int) {
	adapter := owner.slots[at].next
	wanted := owner.backlog.wanted[adapter]
	if owner.holds(adapter) {
		owner.abandonLoad(adapter)
		return
	}
	if wanted != nil && wanted.queue.Total() > 0 {
		owner.load(at, adapter)
		return
	}
	delete(owner.backlog.wanted, adapter)
	owner.returnUnusedLease(adapter)
}
