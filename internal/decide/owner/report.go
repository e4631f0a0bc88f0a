package owner

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
)

// Report is an engine's own account of itself.
type Report struct {
	Boot ident.BootID
	// Resident lists the adapters in the engine's slots.
	Resident []ident.Adapter
	// Runs lists the unfinished runs and the adapters that they use.
	Runs []ReportedRun
	// Age is how old the report was when it was read.
	Age clock.Millis
	// Steps is for observation only; no decision rests on it.
	Steps Steps
}

// Steps sums up how the engine's steps were shared since its start. The share of
// the capacity that was used, Runs / (Count * Capacity), is the batch efficiency.
type Steps struct {
	Count    uint64
	Runs     uint64 // sum over all steps
	Capacity int    // runs of one step
}

// ReportedRun is one unfinished run in a report.
type ReportedRun struct {
	Run     string
	Adapter ident.Adapter
}

// Reported takes in a report. The first one fills the slots; a new boot id
// voids them.
func (owner *Owner) Reported(now clock.Millis, report Report) []effect.Effect {
	return owner.ReportedAt(now, now-report.Age, report)
}

// ReportedAt takes in a report that the engine took at or after the given time.
// One that is older than the last changes nothing.
func (owner *Owner) ReportedAt(now, takenAt clock.Millis, report Report) []effect.Effect {
	if takenAt < owner.reportedAt {
		return nil
	}
	switch {
	case owner.boot == "":
		owner.adopt(now, report)
	case owner.boot != report.Boot:
		owner.restarted(now, takenAt, report)
	}
	owner.reportedAt = takenAt
	owner.reconcile(now, takenAt, report)
	owner.pinUnplaced()
	owner.trackForeign(takenAt, report)
	owner.settleUnknown(takenAt)
	owner.advance(now)
	return owner.take()
}

func (owner *Owner) adopt(now clock.Millis, report Report) {
	owner.boot = report.Boot
	for i, adapter := range report.Resident {
		if i >= len(owner.slots) {
			break
		}
		owner.slots[i] = slot{state: slotReady, adapter: adapter, lastUsed: now, served: true}
		owner.resident[adapter] = i
	}
}

// pinUnplaced pins the adapters of runs that began when their slot was not known.
func (owner *Owner) pinUnplaced() {
	for _, found := range owner.sortedRuns() {
		if found.state != runWaiting && found.slot == noSlot {
			found.slot = owner.pinSlot(found.submit.Request.Adapter)
		}
	}
}

// restarted voids everything that the engine's former life held. A run that was
// dispatched too late for the report to show it may be in the new life already;
// it stays, and so does its pin.
func (owner *Owner) restarted(now, takenAt clock.Millis, report Report) {
	owner.emit(effect.Audit{
		At: now, Kind: effect.EngineRestarted, Object: string(owner.Engine.Name),
		Cause: "the report carries a new boot id", Before: string(owner.boot), After: string(report.Boot),
	})
	owner.running = 0
	for _, found := range owner.sortedRuns() {
		switch {
		case found.state == runWaiting:
		case found.dispatchedAt+transitSpan > takenAt || report.shows(found.submit.Stream):
			found.slot = noSlot
			owner.running++
		default:
			owner.tell(found, outcome.Lost(outcome.EngineRestarted), 0)
			delete(owner.runs, found.submit.Stream)
		}
	}
	owner.voidForeign(takenAt)
	owner.slots = make([]slot, owner.Engine.Slots)
	clear(owner.resident)
	owner.forgetLoads()
	owner.park()
	owner.quarantined = false
	owner.adopt(now, report)
}

// shows reports whether a run is among the unfinished ones.
func (report Report) shows(stream ident.StreamID) bool {
	id := stream.String()
	return slices.ContainsFunc(report.Runs, func(running ReportedRun) bool { return running.Run == id })
}

func (owner *Owner) quarantine(now clock.Millis, cause string) {
	if owner.quarantined {
		return
	}
	owner.quarantined = true
	owner.emit(effect.Audit{
		At: now, Kind: effect.EngineQuarantined, Object: string(owner.Engine.Name), Cause: cause,
	})
}
