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

// backlog holds the waiting requests by what they wait for, so that an event
// touches only those it may concern.
type backlog struct {
	bound *admission.Bound
	// ready requests wait only for room in the engine's batch.
	ready admission.Queue[*run]
	// wants holds the requests that wait for their adapter to be loaded.
	wants map[ident.Adapter]*want
}

func newBacklog(limits [config.ClassCount]int) backlog {
	return backlog{bound: admission.NewBound(limits), wants: map[ident.Adapter]*want{}}
}

// want is an adapter that requests wait for and no slot serves.
type want struct {
	queue admission.Queue[*run]
	// asked is what the broker was last told of this want; zero when nothing.
	asked demand
	// askedAt is when that was.
	askedAt clock.Millis
	// silentSince is when the first ask was sent that the broker has not replied
	// to; zero when it has.
	silentSince clock.Millis
	// since is when a load was first sought.
	since clock.Millis
	// granted says that its load has begun.
	granted bool
}

// demand is what a load of an adapter would serve.
type demand struct {
	class    config.Class
	deadline clock.Millis
	waiters  int
}

// demand describes the waiting requests: their most urgent class, the earliest
// deadline in it, and their number.
func (want *want) demand() demand {
	for class := range config.ClassCount {
		if _, deadline, found := want.queue.First(class); found {
			return demand{class: class, deadline: deadline, waiters: want.queue.Total()}
		}
	}
	return demand{}
}

// wantsInOrder returns the wanted adapters in a fixed order, so that a replay
// repeats itself.
func (backlog *backlog) wantsInOrder() []ident.Adapter {
	return slices.SortedFunc(maps.Keys(backlog.wants), ident.Adapter.Compare)
}

// enqueue lets a request wait for room, or for its adapter.
func (owner *Owner) enqueue(waiting *run) {
	adapter := waiting.submit.Request.Adapter
	if at, ready := owner.readySlot(adapter); ready {
		owner.slots[at].queued++
		owner.backlog.ready.Push(waiting.submit.Request.Class, waiting.deadline, waiting)
		return
	}
	wanted := owner.backlog.wants[adapter]
	if wanted == nil {
		wanted = &want{}
		if at, held := owner.resident[adapter]; held {
			wanted.granted = owner.slots[at].state == slotLoading
		}
		owner.backlog.wants[adapter] = wanted
	}
	wanted.queue.Push(waiting.submit.Request.Class, waiting.deadline, waiting)
}

// dequeue takes a waiting request out of its queue.
func (owner *Owner) dequeue(waiting *run) {
	class, adapter := waiting.submit.Request.Class, waiting.submit.Request.Adapter
	if owner.backlog.ready.Remove(class, waiting.deadline, waiting) {
		owner.leaveReady(waiting)
		return
	}
	if wanted := owner.backlog.wants[adapter]; wanted != nil {
		wanted.queue.Remove(class, waiting.deadline, waiting)
	}
	owner.backlog.bound.Leave(class)
}

// leaveReady counts a request out that was taken from the ready queue.
func (owner *Owner) leaveReady(waiting *run) {
	owner.backlog.bound.Leave(waiting.submit.Request.Class)
	if at, held := owner.resident[waiting.submit.Request.Adapter]; held {
		owner.slots[at].queued--
	}
}

// expire refuses the waiting requests whose deadline has passed.
func (owner *Owner) expire(now clock.Millis) {
	passed := outcome.Refused(outcome.DeadlinePassed, 0)
	owner.backlog.ready.Expire(now, func(waiting *run) {
		owner.leaveReady(waiting)
		owner.refuse(waiting, passed)
	})
	for _, adapter := range owner.backlog.wantsInOrder() {
		owner.backlog.wants[adapter].queue.Expire(now, func(waiting *run) {
			owner.backlog.bound.Leave(waiting.submit.Request.Class)
			owner.refuse(waiting, passed)
		})
	}
}

// settle moves requests whose adapter has become ready to the ready queue.
func (owner *Owner) settle() {
	for _, adapter := range owner.backlog.wantsInOrder() {
		owner.settleWant(adapter)
	}
}

func (owner *Owner) settleWant(adapter ident.Adapter) {
	wanted := owner.backlog.wants[adapter]
	if _, ready := owner.readySlot(adapter); !ready || wanted == nil {
		return
	}
	owner.withdraw(adapter, wanted)
	delete(owner.backlog.wants, adapter)
	wanted.queue.Drain(owner.enqueue)
}

// park sorts the ready requests again after a slot was lost or yields: those
// whose adapter cannot run now wait for its load.
func (owner *Owner) park() {
	for i := range owner.slots {
		owner.slots[i].queued = 0
	}
	owner.backlog.ready.Drain(owner.enqueue)
}

// forgetLoads takes every load that was asked for or begun as void.
func (owner *Owner) forgetLoads() {
	for _, wanted := range owner.backlog.wants {
		wanted.granted = false
		wanted.asked = demand{}
	}
}

// dispatchReady dispatches ready requests while the engine's batch has room for
// them: most urgent class first, earliest deadline within a class.
func (owner *Owner) dispatchReady(now clock.Millis) {
	for {
		class, found := owner.nextClass()
		if !found {
			return
		}
		waiting, _ := owner.backlog.ready.Pop(class)
		owner.leaveReady(waiting)
		at, ready := owner.readySlot(waiting.submit.Request.Adapter)
		invariant.Check(ready, "a request in the ready queue has its adapter in a slot",
			"run %s waits for %s", waiting.submit.Stream, waiting.submit.Request.Adapter)
		if waiting.deadline <= now {
			owner.refuse(waiting, outcome.Refused(outcome.DeadlinePassed, 0))
			continue
		}
		owner.countRun(class)
		owner.dispatch(now, waiting, at)
	}
}

// nextClass returns the class that the next dispatch goes to. After a number of
// urgent dispatches in a row a routine request takes the place of an urgent one,
// the reserve included, so that a steady urgent load cannot starve it.
func (owner *Owner) nextClass() (class config.Class, found bool) {
	urgent, routine := owner.backlog.ready.Len(config.Urgent), owner.backlog.ready.Len(config.Routine)
	switch {
	case routine > 0 && owner.urgentRun >= owner.options.RoutineFloor && owner.room(config.Urgent):
		return config.Routine, true
	case urgent > 0 && owner.room(config.Urgent):
		return config.Urgent, true
	case routine > 0 && owner.room(config.Routine):
		return config.Routine, true
	}
	return 0, false
}

// countRun counts the urgent dispatches in a row while routine requests wait.
func (owner *Owner) countRun(class config.Class) {
	if class == config.Routine || owner.backlog.ready.Len(config.Routine) == 0 {
		owner.urgentRun = 0
		return
	}
	owner.urgentRun++
}
