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

// maxReportDelay is the maximum time from the dispatch of a run until the engine's
// reports list it.
const maxReportDelay = clock.Second

// noSlot is the slot index of a run whose adapter is in no known slot.
const noSlot = -1

// takeover is the state needed to take over from a former owner and to hand over to
// the next one.
type takeover struct {
	// quietUntil is the end of the quiet period: nothing is evicted before a report
	// that was created at this time or later.
	quietUntil clock.Millis
	// fenceUnconfirmed is set while the engine may still accept orders with an older
	// fencing number.
	fenceUnconfirmed bool
	// foreign holds unfinished runs that former owners dispatched, by run id.
	foreign map[string]*foreignRun
	// suspended is set while no run, load or unload may be started.
	suspended bool
	// retired is set once the ownership has ended. Only the results of unfinished
	// runs are still handled.
	retired bool
	// unloadedAt is when the last unload order ended.
	unloadedAt clock.Millis
	// residencyVersion increases with every change of the loaded or wanted adapters.
	residencyVersion uint64
	// lastResident and lastWanted are the adapters at the current residencyVersion.
	lastResident, lastWanted []ident.Adapter
}

// foreignRun is a run of a former owner. Its adapter stays pinned until a report no
// longer lists the run.
type foreignRun struct {
	adapter ident.Adapter
	slot    int
	// reported is set once a report has listed the run.
	reported bool
}

// TakeOver starts a quiet period, in which nothing is evicted. It ends with a report
// created at the given time or later, which shows what the former owner left. The
// adapters of the runs that the former owner handed over are pinned at once.
func (owner *Owner) TakeOver(quietUntil clock.Millis, runs []message.UnfinishedRun) {
	owner.takeover.quietUntil = max(owner.takeover.quietUntil, quietUntil)
	for _, handed := range runs {
		if _, known := owner.runs[handed.Stream]; !known {
			owner.pinForeign(handed.Stream.String(), handed.Adapter)
		}
	}
}

// AwaitFence prevents evictions until the engine has received this owner's fencing
// number. Until then, the engine accepts orders of a former owner that does not know
// about this one.
func (owner *Owner) AwaitFence() {
	owner.takeover.fenceUnconfirmed = true
}

// FenceConfirmed records that the engine now refuses older fencing numbers. Reports
// created at the given time or later show everything that former owners started.
func (owner *Owner) FenceConfirmed(quietUntil clock.Millis) {
	if owner.takeover.fenceUnconfirmed {
		owner.takeover.fenceUnconfirmed = false
		owner.takeover.quietUntil = max(owner.takeover.quietUntil, quietUntil)
	}
}

// FenceUnconfirmed reports whether the engine may not have received the fencing number
// yet.
func (owner *Owner) FenceUnconfirmed() bool {
	return owner.takeover.fenceUnconfirmed
}

// Suspend forbids or allows dispatches, loads and unloads. Reports, cancels, resumed
// runs and the ends of runs are handled in either case.
func (owner *Owner) Suspend(suspended bool) {
	owner.takeover.suspended = suspended
}

// UnloadInProgress reports whether an unload order is in progress. An engine that ignores
// fencing numbers would carry it out even after a handover.
func (owner *Owner) UnloadInProgress() bool {
	return slices.ContainsFunc(owner.slots, func(slot slot) bool {
		return slot.state == slotUnloading && !slot.unloadFailed
	})
}

// UnfinishedRuns returns the unfinished runs, for the next owner.
func (owner *Owner) UnfinishedRuns() []message.UnfinishedRun {
	var unfinished []message.UnfinishedRun
	for _, run := range owner.sortedRuns() {
		if run.state != runWaiting {
			unfinished = append(unfinished, message.UnfinishedRun{
				Stream: run.submit.Stream, Entry: run.entry, Adapter: run.submit.Request.Adapter,
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(owner.takeover.foreign)) {
		if stream, err := ident.ParseStreamID(id); err == nil {
			unfinished = append(unfinished, message.UnfinishedRun{
				Stream: stream, Entry: stream.Daemon, Adapter: owner.takeover.foreign[id].adapter,
			})
		}
	}
	return unfinished
}

// Retire ends the ownership. Waiting requests are refused as not run. Runs at the
// engine continue until they end. Runs whose cancel is unconfirmed end here with an
// unknown outcome; the next owner keeps their adapters pinned while the engine reports
// them.
func (owner *Owner) Retire() []effect.Effect {
	owner.takeover.retired = true
	owner.takeover.suspended = true
	owner.refuseWaiting(outcome.NotOwner)
	for _, run := range owner.sortedRuns() {
		if run.state == runCancelling {
			owner.finish(run, RunResult{Stream: run.submit.Stream, Result: ResultLost})
		}
	}
	return owner.takeEffects()
}

// RemoveWaiting removes the requests that were not dispatched and returns them in
// order of their streams, for the next owner.
func (owner *Owner) RemoveWaiting(now clock.Millis) []message.Submit {
	var submits []message.Submit
	for _, run := range owner.sortedRuns() {
		if run.state != runWaiting {
			continue
		}
		owner.dequeue(run)
		submit := run.submit
		submit.Budget, submit.Entry = run.deadline-now, run.entry
		submits = append(submits, submit)
		runTable.MustApply(&run.state, endRun)
		delete(owner.runs, submit.Stream)
	}
	return submits
}

// SetDraining sets whether the engine is leaving. While it is, waiting and new requests
// are refused.
func (owner *Owner) SetDraining(draining bool) []effect.Effect {
	if draining && !owner.draining {
		owner.refuseWaiting(outcome.NoEngine)
	}
	owner.draining = draining
	return owner.takeEffects()
}

// refuseWaiting refuses all requests that were not dispatched.
func (owner *Owner) refuseWaiting(reason outcome.Reason) {
	for _, run := range owner.sortedRuns() {
		if run.state == runWaiting {
			owner.dequeue(run)
			owner.refuse(run, outcome.Refused(reason, 0))
		}
	}
}

// mayEvict reports whether adapters may be evicted: the engine has this owner's fencing
// number, if it checks them, and the quiet period after the takeover has ended.
func (owner *Owner) mayEvict() bool {
	return !owner.takeover.fenceUnconfirmed && owner.reportedAt >= owner.takeover.quietUntil
}

// pinForeign records a run of a former owner and pins its adapter.
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

// pinSlot pins the slot that holds the adapter and returns its index, or noSlot.
func (owner *Owner) pinSlot(adapter ident.Adapter) int {
	at, held := owner.resident[adapter]
	if !held {
		return noSlot
	}
	owner.slots[at].pins++
	return at
}

// clearPins removes the pins of a slot whose load failed. Runs of a former owner and
// resumed runs may have pinned the adapter while it was being loaded. They are
// pinned again when a report shows where their adapter is.
func (owner *Owner) clearPins(at int) {
	if owner.slots[at].pins == 0 {
		return
	}
	for _, run := range owner.runs {
		if run.state != runWaiting && run.slot == at {
			run.slot = noSlot
		}
	}
	for _, foreign := range owner.takeover.foreign {
		if foreign.slot == at {
			foreign.slot = noSlot
		}
	}
	owner.slots[at].pins = 0
}

// releasePin releases a run's pin and its place in the batch.
func (owner *Owner) releasePin(at int) {
	invariant.Check(owner.running > 0, "every run leaves the batch once", "slot %d", at)
	owner.running--
	if at == noSlot {
		return
	}
	slot := &owner.slots[at]
	invariant.Check(slot.pins > 0, "every pin is released once", "slot %d has %d pins", at, slot.pins)
	slot.pins--
}

// trackForeign pins the adapters of reported runs that are not this owner's, and
// releases the pins of runs that a later report no longer lists.
func (owner *Owner) trackForeign(takenAt clock.Millis, report Report) {
	reported := make(map[string]bool, len(report.Runs))
	for _, running := range report.Runs {
		reported[running.Run] = true
		stream, err := ident.ParseStreamID(running.Run)
		if _, own := owner.runs[stream]; err == nil && own {
			continue
		}
		foreign := owner.pinForeign(running.Run, running.Adapter)
		foreign.reported = true
	}
	for _, id := range slices.Sorted(maps.Keys(owner.takeover.foreign)) {
		foreign := owner.takeover.foreign[id]
		if foreign.slot == noSlot {
			foreign.slot = owner.pinSlot(foreign.adapter)
		}
		if !reported[id] && (foreign.reported || takenAt >= owner.takeover.quietUntil) {
			owner.releasePin(foreign.slot)
			delete(owner.takeover.foreign, id)
		}
	}
}

// dropLostForeign removes the runs of former owners that a restart of the engine has
// ended. A run that was handed over but not reported yet may still appear in the
// next reports, so it stays until the quiet period ends.
func (owner *Owner) dropLostForeign(takenAt clock.Millis) {
	for id, foreign := range owner.takeover.foreign {
		if foreign.reported || takenAt >= owner.takeover.quietUntil {
			delete(owner.takeover.foreign, id)
			continue
		}
		foreign.slot = noSlot
		owner.running++
	}
}

// resume takes over an attempt that a former owner may have dispatched. It is not
// queued: the engine is asked at once for the existing run and starts no new one.
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
	runTable.MustApply(&resumed.state, dispatchRun)
	resumed.slot = slot
	resumed.resumed = true
	resumed.dispatchedAt = now
	owner.emitStartRun(resumed, true, resumed.submit.Received)
}

// handleUnknownRun handles a resumed run that the engine does not know. An engine
// that checks fencing numbers no longer accepts the run from a former owner, so if it
// has not restarted since that owner dispatched the run, the run never started. The
// next report shows whether the boot id is unchanged.
func (owner *Owner) handleUnknownRun(now clock.Millis, run *run, result RunResult) {
	submit := run.submit
	provable := owner.Engine.ChecksFencing && submit.PriorBoot != "" && submit.PriorFence < owner.Fence && submit.Received == 0
	if !provable || run.state != runDispatched {
		owner.finish(run, result)
		return
	}
	run.unknownAt = now
}

// resolveUnknownRuns ends the runs that the engine did not know, once a newer report
// shows whether the engine has restarted.
func (owner *Owner) resolveUnknownRuns(takenAt clock.Millis) {
	for _, run := range owner.sortedRuns() {
		if run.unknownAt == 0 || takenAt <= run.unknownAt {
			continue
		}
		result := RunResult{Stream: run.submit.Stream, Result: ResultUnknownRun}
		if run.submit.PriorBoot == owner.boot {
			result.Result = resultNeverRan
		}
		owner.finish(run, result)
	}
}

// cancelForeign asks the engine to end a former owner's run. The pin stays until a
// report no longer lists the run.
func (owner *Owner) cancelForeign(stream ident.StreamID) {
	if _, known := owner.takeover.foreign[stream.String()]; known && !owner.takeover.retired {
		owner.emit(effect.CancelRun{Stream: stream, Engine: owner.Engine.Name, Fence: owner.Fence})
	}
}

// ResidencyVersion returns a version that increases with every change of the loaded or
// wanted adapters.
func (owner *Owner) ResidencyVersion(resident, wanted []ident.Adapter) uint64 {
	takeover := &owner.takeover
	if takeover.residencyVersion == 0 || !slices.Equal(resident, takeover.lastResident) || !slices.Equal(wanted, takeover.lastWanted) {
		takeover.residencyVersion++
		takeover.lastResident, takeover.lastWanted = resident, wanted
	}
	return owner.takeover.residencyVersion
}
