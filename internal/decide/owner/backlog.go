package owner

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/admission"
	"teaselmoor/internal/decide/outcome"
)

// backlog holds the waiting requests, grouped by what they wait for, so that an
// event processes only the requests that it may affect.
type backlog struct {
	// bound limits the number of waiting requests.
	bound *admission.Bound
	// ready holds the requests whose adapter is loaded. They wait for room in the
	// engine's batch.
	ready admission.Queue[*run]
	// wanted holds the requests that wait for their adapter to be loaded.
	wanted map[ident.Adapter]*wantedAdapter
}

func newBacklog(limits [config.ClassCount]int) backlog {
	return backlog{bound: admission.NewBound(limits), wanted: map[ident.Adapter]*wantedAdapter{}}
}

// wantedAdapter is an adapter that requests wait for, because it is in no slot that
// accepts runs.
type wantedAdapter struct {
	queue admission.Queue[*run]
	// requested is the demand in the last load request to the broker; zero if there
	// is no open request.
	requested loadDemand
	// requestedAt is when that request was sent.
	requestedAt clock.Millis
	// unansweredSince is when the first load request that the broker has not
	// answered was sent; zero if it has answered.
	unansweredSince clock.Millis
	// wantedSince is when the owner first tried to request a load.
	wantedSince clock.Millis
	// loadStarted is set while the adapter is being loaded, or a slot is being
	// emptied for it.
	loadStarted bool
}

// loadDemand describes the requests that a load of an adapter would serve.
type loadDemand struct {
	class    config.Class
	deadline clock.Millis
	waiters  int
}

// demand returns the most urgent class of the waiting requests, the earliest
// deadline in that class, and the number of all waiting requests.
func (wantedAdapter *wantedAdapter) demand() loadDemand {
	for class := range config.ClassCount {
		if _, deadline, found := wantedAdapter.queue.First(class); found {
			return loadDemand{class: class, deadline: deadline, waiters: wantedAdapter.queue.Total()}
		}
	}
	return loadDemand{}
}

// wantedInOrder returns the wanted adapters in a fixed order, so that replays are
// deterministic.
func (backlog *backlog) wantedInOrder() []ident.Adapter {
	return slices.SortedFunc(maps.Keys(backlog.wanted), ident.Adapter.Compare)
}

// enqueue adds a request to the ready queue if it can run in a slot now, or else to
// the queue of its adapter.
func (owner *Owner) enqueue(waiting *run) {
	adapter := waiting.submit.Request.Adapter
	if at, ready := owner.readySlot(adapter); ready {
		owner.slots[at].queued++
		owner.backlog.ready.Push(waiting.submit.Request.Class, waiting.deadline, waiting)
		return
	}
	wanted := owner.backlog.wanted[adapter]
	if wanted == nil {
		wanted = &wantedAdapter{}
		if at, held := owner.resident[adapter]; held {
			wanted.loadStarted = owner.slots[at].state == slotLoading
		}
		owner.backlog.wanted[adapter] = wanted
	}
	wanted.queue.Push(waiting.submit.Request.Class, waiting.deadline, waiting)
}

// dequeue removes a waiting request from its queue.
func (owner *Owner) dequeue(waiting *run) {
	class, adapter := waiting.submit.Request.Class, waiting.submit.Request.Adapter
	if owner.backlog.ready.Remove(class, waiting.deadline, waiting) {
		owner.uncountReady(waiting)
		return
	}
	if wanted := owner.backlog.wanted[adapter]; wanted != nil {
		wanted.queue.Remove(class, waiting.deadline, waiting)
	}
	owner.backlog.bound.Leave(class)
}

// uncountReady updates the counts after a request was removed from the ready
// queue.
func (owner *Owner) uncountReady(waiting *run) {
	owner.backlog.bound.Leave(waiting.submit.Request.Class)
	if at, held := owner.resident[waiting.submit.Request.Adapter]; held {
		owner.slots[at].queued--
	}
}

// refuseExpired refuses waiting requests whose deadline has passed.
func (owner *Owner) refuseExpired(now clock.Millis) {
	refusal := outcome.Refused(outcome.DeadlinePassed, 0)
	owner.backlog.ready.Expire(now, func(waiting *run) {
		owner.uncountReady(waiting)
		owner.refuse(waiting, refusal)
	})
	for _, adapter := range owner.backlog.wantedInOrder() {
		owner.backlog.wanted[adapter].queue.Expire(now, func(waiting *run) {
			owner.backlog.bound.Leave(waiting.submit.Request.Class)
			owner.refuse(waiting, refusal)
		})
	}
}

// moveAllReady moves all requests whose adapter has become ready to the ready
// queue.
func (owner *Owner) moveAllReady() {
	for _, adapter := range owner.backlog.wantedInOrder() {
		owner.moveReady(adapter)
	}
}

// moveReady moves the requests for an adapter to the ready queue if the adapter
// has become ready.
func (owner *Owner) moveReady(adapter ident.Adapter) {
	wanted := owner.backlog.wanted[adapter]
	if _, ready := owner.readySlot(adapter); !ready || wanted == nil {
		return
	}
	owner.withdrawLoadRequest(adapter, wanted)
	delete(owner.backlog.wanted, adapter)
	wanted.queue.Drain(owner.enqueue)
}

// requeueReady queues the ready requests again after a slot was lost or started to
// yield. Requests whose adapter is no longer ready wait for its load.
func (owner *Owner) requeueReady() {
	for i := range owner.slots {
		owner.slots[i].queued = 0
	}
	owner.backlog.ready.Drain(owner.enqueue)
}

// resetLoads discards the state of all loads that were requested or started, so that
// they are requested again.
func (owner *Owner) resetLoads() {
	for _, wanted := range owner.backlog.wanted {
		wanted.loadStarted = false
		wanted.requested = loadDemand{}
	}
}

// dispatchReady dispatches ready requests while the engine's batch has room. The
// most urgent class goes first, and within a class the earliest deadline.
func (owner *Owner) dispatchReady(now clock.Millis) {
	for {
		class, found := owner.nextClass()
		if !found {
			return
		}
		waiting, _ := owner.backlog.ready.Pop(class)
		owner.uncountReady(waiting)
		at, ready := owner.readySlot(waiting.submit.Request.Adapter)
		invariant.Check(ready, "a request in the ready queue has its adapter in a slot",
			"run %s waits for %s", waiting.submit.Stream, waiting.submit.Request.Adapter)
		if waiting.deadline <= now {
			owner.refuse(waiting, outcome.Refused(outcome.DeadlinePassed, 0))
			continue
		}
		owner.countUrgent(class)
		owner.dispatch(now, waiting, at)
	}
}

// nextClass returns the class of the next dispatch. After the permitted number of
// urgent dispatches in a row a routine request goes next and may also use the urgent
// reserve, so that steady urgent load cannot starve routine requests.
func (owner *Owner) nextClass() (class config.Class, found bool) {
	urgent, routine := owner.backlog.ready.Len(config.Urgent), owner.backlog.ready.Len(config.Routine)
	switch {
	case routine > 0 && owner.urgentInRow >= owner.options.MaxUrgentInRow && owner.batchHasRoom(config.Urgent):
		return config.Routine, true
	case urgent > 0 && owner.batchHasRoom(config.Urgent):
		return config.Urgent, true
	case routine > 0 && owner.batchHasRoom(config.Routine):
		return config.Routine, true
	}
	return 0, false
}

// countUrgent counts urgent dispatches in a row while routine requests are ready.
func (owner *Owner) countUrgent(class config.Class) {
	if class == config.Routine || owner.backlog.ready.Len(config.Routine) == 0 {
		owner.urgentInRow = 0
		return
	}
	owner.urgentInRow++
}
