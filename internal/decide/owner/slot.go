package owner

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/base/lifecycle"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
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
)

var slotTable = lifecycle.New("slot", []lifecycle.Transition[slotState, slotEvent]{
	{Event: beginLoad, From: []slotState{slotEmpty}, To: slotLoading},
	{Event: endLoad, From: []slotState{slotLoading}, To: slotReady},
	{Event: failLoad, From: []slotState{slotLoading}, To: slotEmpty},
	{Event: beginUnload, From: []slotState{slotReady}, To: slotUnloading},
	{Event: endUnload, From: []slotState{slotUnloading}, To: slotEmpty},
})

// slot is one adapter slot of the engine.
type slot struct {
	state   slotState
	adapter ident.Adapter
	// pins counts runs that the engine has not confirmed as over.
	pins     int
	lastUsed clock.Millis
	// next is the adapter to load once the present one is unloaded.
	next ident.Adapter
}

// serves reports whether the slot holds, or will shortly hold, its adapter.
func (slot *slot) serves() bool {
	return slot.state == slotLoading || slot.state == slotReady
}

func (slot *slot) use(now clock.Millis) {
	slot.lastUsed = now
}

// want is an adapter that waiting requests need and no slot holds.
type want struct {
	failures  int
	notBefore clock.Millis
	asked     bool
	granted   bool
}

// seekLoad asks the weight store's broker for a load of the adapter, once. It
// reports false when loads of it have failed too often.
func (owner *Owner) seekLoad(now clock.Millis, class config.Class, deadline clock.Millis, adapter ident.Adapter) bool {
	wanted, known := owner.wants[adapter]
	if !known {
		wanted = &want{}
		owner.wants[adapter] = wanted
	}
	if wanted.failures >= owner.options.LoadTries {
		if now < wanted.notBefore {
			return false
		}
		wanted.failures = 0
	}
	if wanted.asked || now < wanted.notBefore || owner.findRoom(now) < 0 {
		return true
	}
	wanted.asked = true
	owner.emit(effect.Send{Message: message.LoadAsk{
		Store:   owner.Engine.Store,
		Engine:  owner.Engine.Name,
		Adapter: adapter,
		Class:   class,
		Budget:  deadline - now,
		Waiters: 1,
	}})
	return true
}

// findRoom returns a slot to load into: an empty one, else the one of least
// worth that is ready and not pinned; -1 when there is none.
func (owner *Owner) findRoom(now clock.Millis) int {
	found, least := -1, 0.0
	for i := range owner.slots {
		slot := &owner.slots[i]
		if slot.state == slotEmpty {
			return i
		}
		if slot.state != slotReady || slot.pins > 0 {
			continue
		}
		worth := owner.options.Eviction.Worth(now, Use{Adapter: slot.adapter, LastUsed: slot.lastUsed})
		if found < 0 || worth < least {
			found, least = i, worth
		}
	}
	return found
}

// Granted takes in the broker's leave to load an adapter now.
func (owner *Owner) Granted(now clock.Millis, adapter ident.Adapter) []effect.Effect {
	wanted, known := owner.wants[adapter]
	at := owner.findRoom(now)
	if !known || at < 0 {
		if known {
			wanted.asked = false
		}
		owner.returnLease(adapter, false)
		return owner.take()
	}
	wanted.granted = true
	if owner.slots[at].state == slotEmpty {
		owner.load(at, adapter)
	} else {
		owner.evict(now, at, adapter)
	}
	owner.advance(now)
	return owner.take()
}

func (owner *Owner) load(at int, adapter ident.Adapter) {
	slot := &owner.slots[at]
	slotTable.Must(&slot.state, beginLoad)
	slot.adapter = adapter
	owner.resident[adapter] = at
	owner.emit(effect.Load{Engine: owner.Engine.Name, Adapter: adapter, Fence: owner.Fence})
}

func (owner *Owner) evict(now clock.Millis, at int, next ident.Adapter) {
	slot := &owner.slots[at]
	invariant.Check(slot.pins == 0, "an adapter in use is never evicted",
		"slot %d with %s has %d pins", at, slot.adapter, slot.pins)
	slotTable.Must(&slot.state, beginUnload)
	slot.next = next
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
		if failed {
			owner.emit(effect.Unload{Engine: owner.Engine.Name, Adapter: adapter, Fence: owner.Fence})
			break
		}
		slotTable.Must(&slot.state, endUnload)
		owner.load(i, slot.next)
		break
	}
	owner.advance(now)
	return owner.take()
}

// Loaded takes in the end of a load order.
func (owner *Owner) Loaded(now clock.Millis, adapter ident.Adapter, failed bool) []effect.Effect {
	at, held := owner.resident[adapter]
	if !held || owner.slots[at].state != slotLoading {
		return nil
	}
	owner.returnLease(adapter, failed)
	if failed {
		owner.loadFailed(now, at, adapter)
	} else {
		slotTable.Must(&owner.slots[at].state, endLoad)
		owner.slots[at].use(now)
		delete(owner.wants, adapter)
		owner.emit(effect.Audit{
			At: now, Kind: effect.AdapterLoaded, Object: string(owner.Engine.Name),
			Cause: "requested", After: adapter.String(),
		})
	}
	owner.advance(now)
	return owner.take()
}

func (owner *Owner) loadFailed(now clock.Millis, at int, adapter ident.Adapter) {
	slotTable.Must(&owner.slots[at].state, failLoad)
	delete(owner.resident, adapter)
	wanted, known := owner.wants[adapter]
	if !known {
		wanted = &want{}
		owner.wants[adapter] = wanted
	}
	wanted.asked = false
	wanted.granted = false
	wanted.notBefore = now + owner.options.LoadBackoff<<wanted.failures
	wanted.failures++
	owner.emit(effect.Audit{
		At: now, Kind: effect.LoadFailed, Object: string(owner.Engine.Name),
		Cause: "the engine reported a failed load", Before: adapter.String(),
	})
}

func (owner *Owner) returnLease(adapter ident.Adapter, failed bool) {
	owner.emit(effect.Send{Message: message.LoadDone{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter, Failed: failed,
	}})
}
