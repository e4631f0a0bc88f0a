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
	// pins counts runs that the engine has not confirmed as over.
	pins int
	// queued counts ready requests that wait for room in the batch.
	queued   int
	lastUsed clock.Millis
	// next is the adapter to load once the present one is unloaded.
	next ident.Adapter
	// unloadFailed waits for a report to show whether the adapter is still there.
	unloadFailed bool
	// yielding takes no further runs, to become free for another adapter.
	yielding bool
	// served says that a run has used the adapter since it was loaded.
	served bool
}

// serves reports whether the slot holds, or will shortly hold, its adapter.
func (slot *slot) serves() bool {
	return slot.state == slotLoading || slot.state == slotReady
}

func (slot *slot) use(now clock.Millis) {
	slot.lastUsed = now
}

// worth is what keeping a slot's adapter is worth.
func (owner *Owner) worth(now clock.Millis, slot *slot) float64 {
	return owner.options.Eviction.Worth(now, Use{
		Adapter: slot.adapter, LastUsed: slot.lastUsed, Count: owner.frequency.count(now, slot.adapter),
	})
}

// noSpare is announced by an engine all of whose slots are in use.
const noSpare = 1000

// spare is what the adapter that would be evicted next is worth.
func (owner *Owner) spare(now clock.Millis) float64 {
	at := owner.findRoom(now, config.Urgent)
	switch {
	case at < 0:
		return noSpare
	case owner.slots[at].state == slotEmpty:
		return 0
	}
	return owner.worth(now, &owner.slots[at])
}

// readySlot finds the slot that an adapter can run from now.
func (owner *Owner) readySlot(adapter ident.Adapter) (at int, ready bool) {
	at, held := owner.resident[adapter]
	return at, held && owner.slots[at].state == slotReady && !owner.slots[at].yielding
}

// findRoom returns a slot to load into for a request of a class: an empty one,
// else the one of least worth that is ready and not in use; -1 when there is
// none. While an urgent request waits for a slot, one that yields is not for
// routine ones: they would take it, and the next slot would have to yield.
func (owner *Owner) findRoom(now clock.Millis, class config.Class) int {
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
		worth := owner.worth(now, slot)
		if found < 0 || worth < least {
			found, least = i, worth
		}
	}
	return found
}

func (owner *Owner) load(at int, adapter ident.Adapter) {
	invariant.Check(!owner.holds(adapter), "an adapter is in one slot at most", "%s, slot %d", adapter, at)
	slot := &owner.slots[at]
	slotTable.Must(&slot.state, beginLoad)
	slot.adapter = adapter
	slot.served = false
	owner.resident[adapter] = at
	owner.emit(effect.Load{Engine: owner.Engine.Name, Adapter: adapter, Fence: owner.Fence})
}

func (owner *Owner) evict(now clock.Millis, at int, next ident.Adapter) {
	slot := &owner.slots[at]
	invariant.Check(slot.pins == 0, "an adapter in use is never evicted",
		"slot %d with %s has %d pins", at, slot.adapter, slot.pins)
	slotTable.Must(&slot.state, beginUnload)
	slot.next = next
	slot.yielding = false
	delete(owner.resident, slot.adapter)
	owner.emit(effect.Unload{Engine: owner.Engine.Name, Adapter: slot.adapter, Fence: owner.Fence})
	owner.emit(effect.Audit{
		At: now, Kind: effect.AdapterEvicted, Object: string(owner.Engine.Name),
		Cause: "room for " + next.String(), Before: slot.adapter.String(), After: next.String(),
	})
}

// Unloaded takes in the end of an unload order.
func (owner *Owner) Unloaded(now clock.Millis, adapter ident.Adapter, failed bool) []effect.Effect {
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
			slotTable.Must(&slot.state, endUnload)
		}
		if !failed && !owner.takeover.suspended {
			owner.loadNext(i)
		}
		break
	}
	owner.advance(now)
	return owner.take()
}

// holds reports whether a slot holds the adapter. It may have been loaded by a
// former owner after this one asked for a load of it.
func (owner *Owner) holds(adapter ident.Adapter) bool {
	_, held := owner.resident[adapter]
	return held
}

// abandonLoad gives up a load whose turn has come but which cannot begin.
func (owner *Owner) abandonLoad(adapter ident.Adapter) {
	if wanted := owner.backlog.wants[adapter]; wanted != nil {
		wanted.granted = false
		wanted.asked = demand{}
	}
	owner.returnUnused(adapter)
}

// loadNext loads what a slot was emptied for, unless nobody waits for it now.
func (owner *Owner) loadNext(at int) {
	adapter := owner.slots[at].next
	wanted := owner.backlog.wants[adapter]
	if owner.holds(adapter) {
		owner.abandonLoad(adapter)
		return
	}
	if wanted != nil && wanted.queue.Total() > 0 {
		owner.load(at, adapter)
		return
	}
	delete(owner.backlog.wants, adapter)
	owner.returnUnused(adapter)
}
