package owner

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// failure remembers failed loads of an adapter in a row.
type failure struct {
	count     int
	notBefore clock.Millis
}

// forgetFailures is the number of back-off spans after which failed loads are
// forgotten.
const forgetFailures = 8

// seekLoads asks for the loads that are wanted, and withdraws what nobody waits
// for any more.
func (owner *Owner) seekLoads(now clock.Millis) {
	for _, adapter := range owner.backlog.wantsInOrder() {
		owner.seekLoad(now, adapter)
	}
	for adapter, failed := range owner.failures {
		if failed.notBefore+forgetFailures*owner.options.LoadBackoff < now {
			delete(owner.failures, adapter)
		}
	}
}

// seekLoad tells the weight store's broker what a load of the adapter would
// serve, when that has changed.
func (owner *Owner) seekLoad(now clock.Millis, adapter ident.Adapter) {
	wanted := owner.backlog.wants[adapter]
	if wanted == nil || wanted.granted {
		return
	}
	if wanted.since == 0 {
		wanted.since = now
	}
	if wanted.queue.Total() == 0 {
		owner.withdraw(adapter, wanted)
		delete(owner.backlog.wants, adapter)
		return
	}
	failed := owner.failures[adapter]
	if now < failed.notBefore {
		if failed.count >= owner.options.LoadTries {
			owner.refuseWant(wanted, outcome.Refused(outcome.LoadFailed, failed.notBefore-now))
			delete(owner.backlog.wants, adapter)
		}
		return
	}
	if owner.holds(adapter) {
		return // its slot is about to yield
	}
	if owner.findRoom(now, wanted.demand().class) < 0 {
		owner.makeRoom(now, wanted)
		return
	}
	next := wanted.demand()
	if next == wanted.asked && now-wanted.askedAt < owner.options.AskInterval {
		return
	}
	wanted.asked, wanted.askedAt = next, now
	if wanted.silentSince == 0 {
		wanted.silentSince = now
	}
	owner.emit(effect.Send{Message: message.LoadRequest{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter,
		Class: next.class, Budget: next.deadline - now, Waiters: next.waiters,
	}})
}

// withdraw takes back what the broker was asked for.
func (owner *Owner) withdraw(adapter ident.Adapter, wanted *want) {
	if wanted.asked == (demand{}) {
		return
	}
	wanted.asked = demand{}
	owner.emit(effect.Send{Message: message.LoadRequest{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter, Withdraw: true,
	}})
}

// refuseWant refuses every request that waits for an adapter.
func (owner *Owner) refuseWant(wanted *want, refusal outcome.Outcome) {
	wanted.queue.Drain(func(waiting *run) {
		owner.backlog.bound.Leave(waiting.submit.Request.Class)
		owner.refuse(waiting, refusal)
	})
}

// Granted takes in the broker's leave to load an adapter now.
func (owner *Owner) Granted(now clock.Millis, adapter ident.Adapter) []effect.Effect {
	owner.version++
	wanted := owner.backlog.wants[adapter]
	at := -1
	if wanted != nil {
		at = owner.findRoom(now, wanted.demand().class)
	}
	if wanted == nil || wanted.granted || wanted.queue.Total() == 0 || at < 0 ||
		owner.takeover.suspended || owner.holds(adapter) {
		if wanted != nil {
			wanted.asked = demand{}
		}
		owner.returnUnused(adapter)
		return owner.take()
	}
	wanted.granted = true
	wanted.asked = demand{}
	wanted.silentSince = 0
	if owner.slots[at].state == slotEmpty {
		owner.load(at, adapter)
	} else {
		owner.evict(now, at, adapter)
	}
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
		delete(owner.failures, adapter)
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
	owner.unplace(at)
	if wanted := owner.backlog.wants[adapter]; wanted != nil {
		wanted.granted = false
	}
	failed := owner.failures[adapter]
	failed.notBefore = now + owner.options.LoadBackoff<<failed.count
	failed.count = min(failed.count+1, owner.options.LoadTries)
	owner.failures[adapter] = failed
	owner.emit(effect.Audit{
		At: now, Kind: effect.LoadFailed, Object: string(owner.Engine.Name),
		Cause: "the engine reported a failed load", Before: adapter.String(),
	})
}

// Judged takes in the broker's answer to an ask. After a refusal, the requests
// that cannot be served in time are refused; the load is asked for again for
// those with a later deadline.
func (owner *Owner) Judged(now clock.Millis, verdict message.LoadDecision) []effect.Effect {
	wanted := owner.backlog.wants[verdict.Adapter]
	if wanted != nil {
		wanted.silentSince = 0
	}
	if wanted == nil || !verdict.Refused || wanted.granted || wanted.asked == (demand{}) {
		return owner.take()
	}
	late := max(now+verdict.Wait, wanted.asked.deadline)
	wanted.asked = demand{}
	wanted.queue.Expire(late, func(waiting *run) {
		owner.backlog.bound.Leave(waiting.submit.Request.Class)
		owner.refuse(waiting, outcome.Refused(outcome.DeadlineUnreachable, verdict.Wait))
	})
	owner.seekLoad(now, verdict.Adapter)
	return owner.take()
}

// Unanswered returns the load that the broker was asked for longest ago without
// any reply, if that is at least the span.
func (owner *Owner) Unanswered(now, span clock.Millis) (adapter ident.Adapter, since clock.Millis, found bool) {
	for _, candidate := range owner.backlog.wantsInOrder() {
		wanted := owner.backlog.wants[candidate]
		silent := wanted.silentSince > 0 && !wanted.granted && now-wanted.silentSince >= span
		if silent && (!found || wanted.silentSince < since) {
			adapter, since, found = candidate, wanted.silentSince, true
		}
	}
	return adapter, since, found
}

func (owner *Owner) returnUnused(adapter ident.Adapter) {
	owner.emit(effect.Send{Message: message.LoadDone{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter, Unused: true,
	}})
}

func (owner *Owner) returnLease(adapter ident.Adapter, failed bool) {
	owner.emit(effect.Send{Message: message.LoadDone{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter, Failed: failed,
	}})
}
