package owner

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// transitSpan is the span after its dispatch within which a run shows up in the
// engine's reports.
const transitSpan = clock.Second

// noSlot marks a run whose adapter is in no known slot.
const noSlot = -1

// takeover is what an owner keeps because another may have come before it.
type takeover struct {
	// quietUntil is when a report must have been taken before anything is evicted.
	quietUntil clock.Millis
	// unseen says that the engine may still take orders under an older number.
	unseen bool
	// foreign holds unfinished runs that another owner dispatched, by run id.
	foreign map[string]*foreignRun
	// suspended says that no run may be dispatched and no other order given.
	suspended bool
	// retired says that the engine has another owner; only runs end here.
	retired bool
	// unloadedAt is the end of the last unload order.
	unloadedAt clock.Millis
	// residency rises with every change of what is loaded.
	residency uint64
	// shown is what the last residency number stands for.
	shown, shownWanted []ident.Adapter
}

// foreignRun is a run of a former owner; it pins its adapter until a report no
// longer shows it.
type foreignRun struct {
	adapter ident.Adapter
	slot    int
	// seen says that a report has shown it.
	seen bool
}

// TakeOver begins a quiet period: nothing is evicted until a report taken at
// the given time or later shows what a former owner left. Runs that it handed
// over are pinned at once.
func (owner *Owner) TakeOver(quietUntil clock.Millis, runs []message.UnfinishedRun) {
	owner.takeover.quietUntil = max(owner.takeover.quietUntil, quietUntil)
	for _, handed := range runs {
		if _, known := owner.runs[handed.Stream]; !known {
			owner.pinForeign(handed.Stream.String(), handed.Adapter)
		}
	}
}

// AwaitNumber holds evictions back until the engine has seen this owner's number:
// before, it takes orders of a former owner that does not know of this one.
func (owner *Owner) AwaitNumber() {
	owner.takeover.unseen = true
}

// NumberSeen says that the engine refuses older numbers from now on. Reports from
// the given time on show all that former owners began.
func (owner *Owner) NumberSeen(quietUntil clock.Millis) {
	if owner.takeover.unseen {
		owner.takeover.unseen = false
		owner.takeover.quietUntil = max(owner.takeover.quietUntil, quietUntil)
	}
}

// NumberUnseen reports whether the engine is not known to have seen the number.
func (owner *Owner) NumberUnseen() bool {
	return owner.takeover.unseen
}

// Suspend allows or forbids dispatches and orders. Reports, cancels and the
// ends of runs are taken in either way.
func (owner *Owner) Suspend(suspended bool) {
	owner.takeover.suspended = suspended
}

// Ordering reports whether an unload order has not ended. An engine that ignores
// fencing numbers would still carry it out after a handover.
func (owner *Owner) Ordering() bool {
	return slices.ContainsFunc(owner.slots, func(slot slot) bool {
		return slot.state == slotUnloading && !slot.unloadFailed
	})
}

// HandedRuns lists the unfinished runs, for the next owner.
func (owner *Owner) HandedRuns() []message.UnfinishedRun {
	var handed []message.UnfinishedRun
	for _, found := range owner.sortedRuns() {
		if found.state != runWaiting {
			handed = append(handed, message.UnfinishedRun{
				Stream: found.submit.Stream, Entry: found.entry, Adapter: found.submit.Request.Adapter,
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(owner.takeover.foreign)) {
		if stream, err := ident.ParseStreamID(id); err == nil {
			handed = append(handed, message.UnfinishedRun{
				Stream: stream, Entry: stream.Daemon, Adapter: owner.takeover.foreign[id].adapter,
			})
		}
	}
	return handed
}

// Retire ends the ownership. What waits is refused, truly as not run; runs at
// the engine go on to their end, and a cancel under way is the next owner's.
func (owner *Owner) Retire() []effect.Effect {
	owner.takeover.retired = true
	owner.takeover.suspended = true
	owner.refuseWaiting(outcome.NotOwner)
	for _, found := range owner.sortedRuns() {
		if found.state == runCancelling {
			owner.finish(found, RunResult{Stream: found.submit.Stream, Result: ResultLost})
		}
	}
	return owner.take()
}

// TakeWaiting removes the requests that have not been dispatched and returns
// them in order of their streams, for the next owner.
func (owner *Owner) TakeWaiting(now clock.Millis) []message.Submit {
	var submits []message.Submit
	for _, found := range owner.sortedRuns() {
		if found.state != runWaiting {
			continue
		}
		owner.dequeue(found)
		submit := found.submit
		submit.Budget, submit.Entry = found.deadline-now, found.entry
		submits = append(submits, submit)
		runTable.Must(&found.state, endRun)
		delete(owner.runs, submit.Stream)
	}
	return submits
}

// SetDraining stops new work while the engine is leaving, or allows it again.
func (owner *Owner) SetDraining(draining bool) []effect.Effect {
	if draining && !owner.draining {
		owner.refuseWaiting(outcome.NoEngine)
	}
	owner.draining = draining
	return owner.take()
}

// refuseWaiting refuses every request that has not been dispatched.
func (owner *Owner) refuseWaiting(reason outcome.Reason) {
	for _, found := range owner.sortedRuns() {
		if found.state == runWaiting {
			owner.dequeue(found)
			owner.refuse(found, outcome.Refused(reason, 0))
		}
	}
}

// mayEvict reports whether the quiet period after a takeover is over.
func (owner *Owner) mayEvict() bool {
	return !owner.takeover.unseen && owner.reportedAt >= owner.takeover.quietUntil
}

func (owner *Owner) pinForeign(id string, adapter ident.Adapter) *foreignRun {
	if known, found := owner.takeover.foreign[id]; found {
		return known
	}
	if owner.takeover.foreign == nil {
		owner.takeover.foreign = map[string]*foreignRun{}
	}
	pinned := &foreignRun{adapter: adapter, slot: owner.pinSlot(adapter)}
	owner.takeover.foreign[id] = pinned
	owner.running++
	return pinned
}

// pinSlot pins the slot that serves the adapter, if there is one.
func (owner *Owner) pinSlot(adapter ident.Adapter) int {
	at, held := owner.resident[adapter]
	if !held {
		return noSlot
	}
	owner.slots[at].pins++
	return at
}

// unplace takes the pins off a slot that turned out to be empty. Runs of a former
// owner, or resumed ones, may have been pinned to an adapter while it was being
// loaded; they are pinned anew when a report shows where their adapter is.
func (owner *Owner) unplace(at int) {
	if owner.slots[at].pins == 0 {
		return
	}
	for _, found := range owner.runs {
		if found.state != runWaiting && found.slot == at {
			found.slot = noSlot
		}
	}
	for _, foreign := range owner.takeover.foreign {
		if foreign.slot == at {
			foreign.slot = noSlot
		}
	}
	owner.slots[at].pins = 0
}

// release gives a pin and the run's place in the batch back.
func (owner *Owner) release(at int) {
	invariant.Check(owner.running > 0, "every run leaves the batch once", "slot %d", at)
	owner.running--
	if at == noSlot {
		return
	}
	slot := &owner.slots[at]
	invariant.Check(slot.pins > 0, "every pin is released once", "slot %d has %d pins", at, slot.pins)
	slot.pins--
}

// trackForeign pins every reported run that is not this owner's, and releases
// those that a later report no longer shows.
func (owner *Owner) trackForeign(takenAt clock.Millis, report Report) {
	reported := make(map[string]bool, len(report.Runs))
	for _, running := range report.Runs {
		reported[running.Run] = true
		stream, err := ident.ParseStreamID(running.Run)
		if _, own := owner.runs[stream]; err == nil && own {
			continue
		}
		foreign := owner.pinForeign(running.Run, running.Adapter)
		foreign.seen = true
	}
	for _, id := range slices.Sorted(maps.Keys(owner.takeover.foreign)) {
		foreign := owner.takeover.foreign[id]
		if foreign.slot == noSlot {
			foreign.slot = owner.pinSlot(foreign.adapter)
		}
		if !reported[id] && (foreign.seen || takenAt >= owner.takeover.quietUntil) {
			owner.release(foreign.slot)
			delete(owner.takeover.foreign, id)
		}
	}
}

// voidForeign forgets the runs of former owners that were lost in a restart of
// the engine. One that was handed over and never seen may still turn up.
func (owner *Owner) voidForeign(takenAt clock.Millis) {
	for id, foreign := range owner.takeover.foreign {
		if foreign.seen || takenAt >= owner.takeover.quietUntil {
			delete(owner.takeover.foreign, id)
			continue
		}
		foreign.slot = noSlot
		owner.running++
	}
}

// resume takes over an attempt that an earlier owner may have dispatched. It
// does not queue: the engine is asked for the run at once, and begins none.
func (owner *Owner) resume(now clock.Millis, resumed *run) {
	id := resumed.submit.Stream.String()
	slot := noSlot
	if foreign, known := owner.takeover.foreign[id]; known {
		slot = foreign.slot
		delete(owner.takeover.foreign, id)
	} else {
		slot = owner.pinSlot(resumed.submit.Request.Adapter)
		owner.running++
	}
	runTable.Must(&resumed.state, dispatchRun)
	resumed.slot = slot
	resumed.resumed = true
	resumed.dispatchedAt = now
	owner.start(resumed, true, resumed.submit.Received)
}

// unknownRun judges a resumed run that the engine does not know. An engine that
// checks fencing numbers will take it from no earlier owner any more, so within
// one boot it never ran; the next report shows whether the boot is still that.
func (owner *Owner) unknownRun(now clock.Millis, found *run, result RunResult) {
	submit := found.submit
	provable := owner.Engine.ChecksFencing && submit.PriorBoot != "" && submit.PriorFence < owner.Fence && submit.Received == 0
	if !provable || found.state != runDispatched {
		owner.finish(found, result)
		return
	}
	found.unknownAt = now
}

// settleUnknown ends the runs that wait for a report to be judged by.
func (owner *Owner) settleUnknown(takenAt clock.Millis) {
	for _, found := range owner.sortedRuns() {
		if found.unknownAt == 0 || takenAt <= found.unknownAt {
			continue
		}
		result := RunResult{Stream: found.submit.Stream, Result: ResultUnknownRun}
		if found.submit.PriorBoot == owner.boot {
			result.Result = resultNeverRan
		}
		owner.finish(found, result)
	}
}

// reconcile brings the slots in line with a report: what a former owner loaded
// late, and what the engine no longer holds.
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
		owner.settleUnload(at, present[slot.adapter])
	}
}

// settleUnload ends a failed unload by what the report shows.
func (owner *Owner) settleUnload(at int, present bool) {
	slot := &owner.slots[at]
	slot.unloadFailed = false
	if !present {
		slotTable.Must(&slot.state, endUnload)
		return
	}
	slotTable.Must(&slot.state, failUnload)
	owner.resident[slot.adapter] = at
}

func (owner *Owner) unloading(adapter ident.Adapter) bool {
	return slices.ContainsFunc(owner.slots, func(slot slot) bool {
		return slot.state == slotUnloading && slot.adapter == adapter
	})
}

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

// cancelForeign asks the engine to end a former owner's run; the pin stays until
// a report no longer shows it.
func (owner *Owner) cancelForeign(stream ident.StreamID) {
	if _, known := owner.takeover.foreign[stream.String()]; known && !owner.takeover.retired {
		owner.emit(effect.CancelRun{Stream: stream, Engine: owner.Engine.Name, Fence: owner.Fence})
	}
}

// Residency returns a number that rises with every change of what is loaded or
// wanted.
func (owner *Owner) Residency(resident, wanted []ident.Adapter) uint64 {
	takeover := &owner.takeover
	if takeover.residency == 0 || !slices.Equal(resident, takeover.shown) || !slices.Equal(wanted, takeover.shownWanted) {
		takeover.residency++
		takeover.shown, takeover.shownWanted = resident, wanted
	}
	return owner.takeover.residency
}
