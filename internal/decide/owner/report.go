package owner

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
)

// Report is an engine's report on its own state.
type Report struct {
	// Boot identifies the engine's process; it changes with each restart.
	Boot ident.BootID
	// Resident lists the adapters in the engine's slots.
	Resident []ident.Adapter
	// Runs lists the unfinished runs with their adapters.
	Runs []ReportedRun
	// Age is the age of the report when it was read.
	Age clock.Millis
	// Steps is used only for monitoring, not for decisions.
	Steps Steps
}

// Steps counts the engine's batch steps since its start. The batch efficiency is
// the share of capacity that was used: Runs / (Count * Capacity).
type Steps struct {
	Count    uint64
	Runs     uint64 // sum over all steps
	Capacity int    // maximum runs in one step
}

// ReportedRun is one unfinished run in a report.
type ReportedRun struct {
	Run     string
	Adapter ident.Adapter
}

// Reported handles a report whose creation time follows from its age. The first
// report fills the slots; one with a new boot id replaces their content.
func (owner *Owner) Reported(now clock.Millis, report Report) []effect.Effect {
	return owner.ReportedAt(now, now-report.Age, report)
}

// ReportedAt handles a report that the engine created at takenAt or later. A report
// older than the last one is ignored.
func (owner *Owner) ReportedAt(now, takenAt clock.Millis, report Report) []effect.Effect {
	if takenAt < owner.reportedAt {
		return nil
	}
	switch {
	case owner.boot == "":
		owner.fillSlots(now, report)
	case owner.boot != report.Boot:
		owner.handleRestart(now, takenAt, report)
	}
	owner.reportedAt = takenAt
	owner.reconcile(now, takenAt, report)
	owner.pinRunsWithoutSlot()
	owner.trackForeign(takenAt, report)
	owner.resolveUnknownRuns(takenAt)
	owner.advance(now)
	return owner.takeEffects()
}

// fillSlots sets the boot id and the slots from a report.
func (owner *Owner) fillSlots(now clock.Millis, report Report) {
	owner.boot = report.Boot
	for i, adapter := range report.Resident {
		if i >= len(owner.slots) {
			break
		}
		owner.slots[i] = slot{state: slotReady, adapter: adapter, lastUsed: now, served: true}
		owner.resident[adapter] = i
	}
}

// pinRunsWithoutSlot pins the adapters of dispatched runs that have no pin yet, because
// the slot of their adapter was not known or was lost.
func (owner *Owner) pinRunsWithoutSlot() {
	for _, run := range owner.sortedRuns() {
		if run.state != runWaiting && run.slot == noSlot {
			run.slot = owner.pinSlot(run.submit.Request.Adapter)
		}
	}
}

// handleRestart discards the state from before a restart of the engine and ends its
// runs. A run stays and its adapter is pinned again if the report lists the run, or if
// the run was dispatched too recently to be listed: it may have started after the
// restart.
func (owner *Owner) handleRestart(now, takenAt clock.Millis, report Report) {
	owner.emit(effect.Audit{
		At: now, Kind: effect.EngineRestarted, Object: string(owner.Engine.Name),
		Cause: "the report carries a new boot id", Before: string(owner.boot), After: string(report.Boot),
	})
	owner.running = 0
	for _, run := range owner.sortedRuns() {
		switch {
		case run.state == runWaiting:
		case run.dispatchedAt+maxReportDelay > takenAt || report.lists(run.submit.Stream):
			run.slot = noSlot
			owner.running++
		default:
			owner.sendEnded(run, outcome.MayHaveRun(outcome.EngineRestarted), 0)
			delete(owner.runs, run.submit.Stream)
		}
	}
	owner.dropLostForeign(takenAt)
	owner.slots = make([]slot, owner.Engine.Slots)
	clear(owner.resident)
	owner.resetLoads()
	owner.requeueReady()
	owner.quarantined = false
	owner.fillSlots(now, report)
}

// lists reports whether the report lists a run as unfinished.
func (report Report) lists(stream ident.StreamID) bool {
	id := stream.String()
	return slices.ContainsFunc(report.Runs, func(running ReportedRun) bool { return running.Run == id })
}

// quarantine makes the owner start no runs and loads and refuse new requests until the
// engine has restarted.
func (owner *Owner) quarantine(now clock.Millis, cause string) {
	if owner.quarantined {
		return
	}
	owner.quarantined = true
	owner.emit(effect.Audit{
		At: now, Kind: effect.EngineQuarantined, Object: string(owner.Engine.Name), Cause: cause,
	})
}
