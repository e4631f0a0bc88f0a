package owner

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// loadFailures records consecutive failed loads of an adapter.
type loadFailures struct {
	count   int
	retryAt clock.Millis
}

// failureExpiryBackoffs is how long failed loads are remembered after the time of the
// next permitted load, as a multiple of LoadBackoff.
const failureExpiryBackoffs = 8

// requestLoads requests the loads of wanted adapters, withdraws load requests that no
// waiting request needs any more, and discards old load failures.
func (owner *Owner) requestLoads(now clock.Millis) {
	for _, adapter := range owner.backlog.wantedInOrder() {
		owner.requestLoad(now, adapter)
	}
	for adapter, failed := range owner.failures {
		if failed.retryAt+failureExpiryBackoffs*owner.options.LoadBackoff < now {
			delete(owner.failures, adapter)
		}
	}
}

// requestLoad sends the weight store's broker a load request for the adapter if a slot
// is free for it and the demand has changed or the last request is due to be repeated.
// If no slot is free, it makes one yield. After too many failed loads it refuses the
// waiting requests.
func (owner *Owner) requestLoad(now clock.Millis, adapter ident.Adapter) {
	wanted := owner.backlog.wanted[adapter]
	if wanted == nil || wanted.loadStarted {
		return
	}
	if wanted.wantedSince == 0 {
		wanted.wantedSince = now
	}
	if wanted.queue.Total() == 0 {
		owner.withdrawLoadRequest(adapter, wanted)
		delete(owner.backlog.wanted, adapter)
		return
	}
	failed := owner.failures[adapter]
	if now < failed.retryAt {
		if failed.count >= owner.options.LoadTries {
			owner.refuseWaitingFor(wanted, outcome.Refused(outcome.LoadFailed, failed.retryAt-now))
			delete(owner.backlog.wanted, adapter)
		}
		return
	}
	if owner.holds(adapter) {
		return // it is loaded, but its slot yields
	}
	if owner.findSlot(now, wanted.demand().class) < 0 {
		owner.yieldSlot(now, wanted)
		return
	}
	next := wanted.demand()
	if next == wanted.requested && now-wanted.requestedAt < owner.options.LoadRequestInterval {
		return
	}
	wanted.requested, wanted.requestedAt = next, now
	if wanted.unansweredSince == 0 {
		wanted.unansweredSince = now
	}
	owner.emit(effect.Send{Message: message.LoadRequest{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter,
		Class: next.class, Budget: next.deadline - now, Waiters: next.waiters,
	}})
}

// withdrawLoadRequest withdraws the load request that was sent to the broker.
func (owner *Owner) withdrawLoadRequest(adapter ident.Adapter, wanted *wantedAdapter) {
	if wanted.requested == (loadDemand{}) {
		return
	}
	wanted.requested = loadDemand{}
	owner.emit(effect.Send{Message: message.LoadRequest{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter, Withdraw: true,
	}})
}

// refuseWaitingFor refuses all requests that wait for an adapter.
func (owner *Owner) refuseWaitingFor(wanted *wantedAdapter, refusal outcome.Outcome) {
	wanted.queue.Drain(func(waiting *run) {
		owner.backlog.bound.Leave(waiting.submit.Request.Class)
		owner.refuse(waiting, refusal)
	})
}

// LoadGranted handles the broker's permission to load an adapter now. If the load is
// not needed or not possible any more, the lease is returned unused.
func (owner *Owner) LoadGranted(now clock.Millis, adapter ident.Adapter) []effect.Effect {
	owner.version++
	wanted := owner.backlog.wanted[adapter]
	at := -1
	if wanted != nil {
		at = owner.findSlot(now, wanted.demand().class)
	}
	if wanted == nil || wanted.loadStarted || wanted.queue.Total() == 0 || at < 0 ||
		owner.takeover.suspended || owner.holds(adapter) {
		if wanted != nil {
			wanted.requested = loadDemand{}
		}
		owner.returnUnusedLease(adapter)
		return owner.takeEffects()
	}
	wanted.loadStarted = true
	wanted.requested = loadDemand{}
	wanted.unansweredSince = 0
	if owner.slots[at].state == slotEmpty {
		owner.load(at, adapter)
	} else {
		owner.evict(now, at, adapter)
	}
	return owner.takeEffects()
}

// LoadEnded handles the end of a load order.
func (owner *Owner) LoadEnded(now clock.Millis, adapter ident.Adapter, failed bool) []effect.Effect {
	at, held := owner.resident[adapter]
	if !held || owner.slots[at].state != slotLoading {
		return nil
	}
	owner.returnLease(adapter, failed)
	if failed {
		owner.handleLoadFailure(now, at, adapter)
	} else {
		slotTable.MustApply(&owner.slots[at].state, endLoad)
		owner.slots[at].markUsed(now)
		delete(owner.failures, adapter)
		owner.emit(effect.Audit{
			At: now, Kind: effect.AdapterLoaded, Object: string(owner.Engine.Name),
			Cause: "requested", After: adapter.String(),
		})
	}
	owner.advance(now)
	return owner.takeEffects()
}

func (owner *Owner) handleLoadFailure(now clock.Millis, at int, adapter ident.Adapter) {
	slotTable.MustApply(&owner.slots[at].state, failLoad)
	delete(owner.resident, adapter)
	owner.clearPins(at)
	if wanted := owner.backlog.wanted[adapter]; wanted != nil {
		wanted.loadStarted = false
	}
	failed := owner.failures[adapter]
	failed.retryAt = now + owner.options.LoadBackoff<<failed.count
	failed.count = min(failed.count+1, owner.options.LoadTries)
	owner.failures[adapter] = failed
	owner.emit(effect.Audit{
		At: now, Kind: effect.LoadFailed, Object: string(owner.Engine.Name),
		Cause: "the engine reported a failed load", Before: adapter.String(),
	})
}

// LoadDecided handles the broker's answer to a load request. After a refusal, requests
// that cannot be served in time are refused, and the load is requested again for
// those with later deadlines.
func (owner *Owner) LoadDecided(now clock.Millis, decision message.LoadDecision) []effect.Effect {
	wanted := owner.backlog.wanted[decision.Adapter]
	if wanted != nil {
		wanted.unansweredSince = 0
	}
	if wanted == nil || !decision.Refused || wanted.loadStarted || wanted.requested == (loadDemand{}) {
		return owner.takeEffects()
	}
	reachableFrom := max(now+decision.Wait, wanted.requested.deadline)
	wanted.requested = loadDemand{}
	wanted.queue.Expire(reachableFrom, func(waiting *run) {
		owner.backlog.bound.Leave(waiting.submit.Request.Class)
		owner.refuse(waiting, outcome.Refused(outcome.DeadlineUnreachable, decision.Wait))
	})
	owner.requestLoad(now, decision.Adapter)
	return owner.takeEffects()
}

// LongestUnanswered returns the adapter whose load request has waited longest for an
// answer of the broker, if it has waited for at least minWait.
func (owner *Owner) LongestUnanswered(now, minWait clock.Millis) (adapter ident.Adapter, since clock.Millis, found bool) {
	for _, candidate := range owner.backlog.wantedInOrder() {
		wanted := owner.backlog.wanted[candidate]
		overdue := wanted.unansweredSince > 0 && !wanted.loadStarted && now-wanted.unansweredSince >= minWait
		if overdue && (!found || wanted.unansweredSince < since) {
			adapter, since, found = candidate, wanted.unansweredSince, true
		}
	}
	return adapter, since, found
}

// returnUnusedLease returns a lease for which no load was started.
func (owner *Owner) returnUnusedLease(adapter ident.Adapter) {
	owner.emit(effect.Send{Message: message.LoadDone{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter, Unused: true,
	}})
}

func (owner *Owner) returnLease(adapter ident.Adapter, failed bool) {
	owner.emit(effect.Send{Message: message.LoadDone{
		Store: owner.Engine.Store, Engine: owner.Engine.Name, Adapter: adapter, Failed: failed,
	}})
}
