package owner

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/base/lifecycle"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

type runState string

const (
	runWaiting    runState = "Waiting"
	runDispatched runState = "Dispatched"
	// runCancelling: the run was cancelled, and the engine has not confirmed its end.
	runCancelling runState = "Cancelling"
	runEnded      runState = "Ended"
)

type runEvent string

const (
	dispatchRun runEvent = "Dispatch"
	cancelRun   runEvent = "Cancel"
	endRun      runEvent = "End"
)

var runTable = lifecycle.New("run", []lifecycle.Transition[runState, runEvent]{
	{Event: dispatchRun, From: []runState{runWaiting}, To: runDispatched},
	{Event: cancelRun, From: []runState{runDispatched, runCancelling}, To: runCancelling},
	{Event: endRun, From: []runState{runWaiting, runDispatched, runCancelling}, To: runEnded},
})

// run is one attempt, from its arrival at the owner until the engine has confirmed
// its end.
type run struct {
	state  runState
	entry  ident.DaemonID
	submit message.Submit
	slot   int // index of the pinned slot once dispatched, or noSlot
	// deadline is the time by which the answer must begin.
	deadline clock.Millis
	// resumeCount is the number of times that this owner has resumed the run.
	resumeCount int
	// resumed is set if a former owner may have dispatched the run.
	resumed bool
	// unknownAt is when the engine answered that it does not know the resumed run;
	// zero if it has not.
	unknownAt    clock.Millis
	dispatchedAt clock.Millis
	// endedSent is set once the Ended message was sent to the entry.
	endedSent bool
	// repeatCancelAt is when an unconfirmed cancel is repeated.
	repeatCancelAt clock.Millis
}

// Result is how a call to the engine ended, as seen by the runtime.
type Result string

// Results of engine calls.
const (
	// ResultComplete: the complete answer was relayed.
	ResultComplete Result = "Complete"
	// ResultNotSent: no byte of the request reached the engine.
	ResultNotSent Result = "NotSent"
	// ResultRefused: the engine answered that it did not run the request.
	ResultRefused Result = "Refused"
	// ResultLost: the connection was lost; the run may continue.
	ResultLost Result = "Lost"
	// ResultTruncated: the answer ended before it was complete.
	ResultTruncated Result = "Truncated"
	// ResultWrongAdapter: the answer named another run, adapter or version.
	ResultWrongAdapter Result = "WrongAdapter"
	// ResultCancelled: the engine confirmed that the run has ended.
	ResultCancelled Result = "Cancelled"
	// ResultUnknownRun: the engine does not know the run to be resumed.
	ResultUnknownRun Result = "UnknownRun"
	// ResultFenced: the engine refused the order because of its old fencing number.
	ResultFenced Result = "Fenced"
	// resultNeverRan: it is proved that a resumed run never started.
	resultNeverRan Result = "NeverRan"
)

// RunResult is the end of a call to the engine or of a cancel.
type RunResult struct {
	Stream ident.StreamID
	Result Result
	// Chunks is the number of chunks relayed for the stream so far.
	Chunks uint64
}

// Submit queues a request or refuses it at once. A run to be resumed is not queued. A
// repeated Submit of a known stream is ignored.
func (owner *Owner) Submit(now clock.Millis, entry ident.DaemonID, submit message.Submit) []effect.Effect {
	if _, known := owner.runs[submit.Stream]; known {
		return nil
	}
	arrived := &run{state: runWaiting, entry: entry, submit: submit, deadline: now + submit.Budget}
	owner.runs[submit.Stream] = arrived
	if submit.Resume {
		owner.resume(now, arrived)
		return owner.takeEffects()
	}
	owner.frequency.add(now, submit.Request.Adapter)
	switch {
	case owner.draining:
		owner.refuse(arrived, outcome.Refused(outcome.ShuttingDown, 0))
	case owner.quarantined:
		owner.refuse(arrived, outcome.Refused(outcome.NoEngine, 0))
	case !owner.backlog.bound.Enter(submit.Request.Class):
		owner.refuse(arrived, outcome.Refused(outcome.QueueFull, clock.Second))
	default:
		owner.enqueue(arrived)
	}
	owner.advanceAdapter(now, submit.Request.Adapter)
	return owner.takeEffects()
}

// Cancel cancels an attempt. A waiting one ends at once; a dispatched one keeps its
// adapter pinned until the engine confirms its end.
func (owner *Owner) Cancel(now clock.Millis, stream ident.StreamID) []effect.Effect {
	run, known := owner.runs[stream]
	if !known {
		owner.cancelForeign(stream)
		return owner.takeEffects()
	}
	if run.state == runWaiting {
		owner.dequeue(run)
		owner.refuse(run, outcome.Refused(outcome.CallerGone, 0))
	} else {
		owner.cancel(now, run)
	}
	owner.advanceAdapter(now, run.submit.Request.Adapter)
	return owner.takeEffects()
}

// sortedRuns returns the runs in a fixed order, so that replays are deterministic.
func (owner *Owner) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(owner.runs), func(a, b *run) int {
		return a.submit.Stream.Compare(b.submit.Stream)
	})
}

// cancel asks the engine to end a run. The order is repeated until the engine
// confirms it.
func (owner *Owner) cancel(now clock.Millis, run *run) {
	runTable.MustApply(&run.state, cancelRun)
	run.repeatCancelAt = now + owner.options.CancelInterval
	owner.emit(effect.CancelRun{Stream: run.submit.Stream, Engine: owner.Engine.Name, Fence: owner.Fence})
}

// dispatch marks the run as dispatched and informs the entry before it orders the
// engine to start the run, because from then on the engine may have received it.
func (owner *Owner) dispatch(now clock.Millis, waiting *run, at int) {
	slot := &owner.slots[at]
	invariant.Check(slot.state == slotReady && slot.adapter == waiting.submit.Request.Adapter,
		"a run is dispatched only to its own ready adapter",
		"run %s, slot %d is %s with %s", waiting.submit.Stream, at, slot.state, slot.adapter)
	runTable.MustApply(&waiting.state, dispatchRun)
	waiting.slot = at
	waiting.dispatchedAt = now
	slot.pins++
	slot.served = true
	slot.markUsed(now)
	owner.running++
	owner.emit(effect.Send{To: waiting.entry, Message: message.Dispatched{
		Stream: waiting.submit.Stream,
		Class:  waiting.submit.Request.Class,
		Fence:  owner.Fence,
	}})
	owner.emitStartRun(waiting, waiting.submit.Resume, waiting.submit.Received)
}

// emitStartRun orders the engine to start a run, or to resume it after the chunks
// already received.
func (owner *Owner) emitStartRun(started *run, resume bool, received uint64) {
	owner.emit(effect.StartRun{
		Stream:   started.submit.Stream,
		Engine:   owner.Engine.Name,
		Entry:    started.entry,
		Fence:    owner.Fence,
		Request:  started.submit.Request,
		Resume:   resume,
		Received: received,
	})
}

// RunEnded handles the end of a call to the engine or of a cancel.
func (owner *Owner) RunEnded(now clock.Millis, result RunResult) []effect.Effect {
	run, known := owner.runs[result.Stream]
	if !known || run.state == runWaiting {
		return nil // late result, for example of an order from before a restart of the engine
	}
	switch result.Result {
	case ResultLost, ResultTruncated:
		owner.handleConnectionLost(now, run, result)
	case ResultWrongAdapter:
		owner.quarantine(now, "an answer named another run, adapter or version")
		owner.sendEnded(run, outcome.MayHaveRun(outcome.WrongAdapter), result.Chunks)
		if owner.takeover.retired {
			owner.finish(run, result)
		} else {
			owner.cancel(now, run)
		}
	case ResultUnknownRun:
		owner.handleUnknownRun(now, run, result)
	case ResultNotSent, ResultRefused, ResultFenced:
		owner.handleNotStarted(now, run, result)
	default:
		owner.finish(run, result)
	}
	owner.advanceAdapter(now, run.submit.Request.Adapter)
	return owner.takeEffects()
}

// handleNotStarted handles an order to start a run that had no effect. This proves that
// the request did not run only if it was the first order for the run.
func (owner *Owner) handleNotStarted(now clock.Millis, run *run, result RunResult) {
	repeated := run.resumed || run.resumeCount > 0
	switch {
	case !repeated:
		owner.finish(run, result)
	case result.Result == ResultFenced:
		owner.finish(run, RunResult{Stream: result.Stream, Result: ResultLost, Chunks: result.Chunks})
	default:
		owner.handleConnectionLost(now, run, result)
	}
}

// handleConnectionLost resumes a run whose connection was lost. After ResumeTries
// attempts it cancels the run, whose adapter stays pinned until the engine confirms its
// end.
func (owner *Owner) handleConnectionLost(now clock.Millis, run *run, result RunResult) {
	if owner.takeover.retired {
		owner.finish(run, result)
		return
	}
	if run.state == runDispatched && run.resumeCount < owner.options.ResumeTries {
		run.resumeCount++
		owner.emitStartRun(run, true, result.Chunks)
		return
	}
	reason := outcome.EngineLost
	if result.Result == ResultTruncated {
		reason = outcome.Truncated
	}
	owner.sendEnded(run, outcome.MayHaveRun(reason), result.Chunks)
	if run.state == runDispatched {
		owner.cancel(now, run)
	}
}

// repeatCancels repeats cancels that the engine has not confirmed in time.
func (owner *Owner) repeatCancels(now clock.Millis) {
	for _, run := range owner.sortedRuns() {
		if run.state == runCancelling && run.repeatCancelAt <= now {
			owner.cancel(now, run)
		}
	}
}

// finish ends a run with the given result and releases its pin.
func (owner *Owner) finish(run *run, result RunResult) {
	owner.sendEnded(run, outcomeOf(result.Result), result.Chunks)
	if run.state != runWaiting {
		owner.unpin(run)
	}
	runTable.MustApply(&run.state, endRun)
	delete(owner.runs, run.submit.Stream)
}

func (owner *Owner) unpin(run *run) {
	owner.releasePin(run.slot)
}

func outcomeOf(result Result) outcome.Outcome {
	switch result {
	case ResultComplete:
		return outcome.Done()
	case ResultNotSent, ResultRefused, resultNeverRan:
		return outcome.Refused(outcome.EngineRefused, clock.Second)
	case ResultFenced:
		return outcome.Refused(outcome.NotOwner, 0)
	case ResultTruncated:
		return outcome.MayHaveRun(outcome.Truncated)
	case ResultCancelled:
		return outcome.MayHaveRun(outcome.Cancelled)
	default:
		return outcome.MayHaveRun(outcome.EngineLost)
	}
}

// refuse ends a run that was not sent to the engine.
func (owner *Owner) refuse(waiting *run, refusal outcome.Outcome) {
	invariant.Check(waiting.state == runWaiting, "only a run that was not dispatched is refused as not run",
		"run %s is %s", waiting.submit.Stream, waiting.state)
	owner.sendEnded(waiting, refusal, 0)
	runTable.MustApply(&waiting.state, endRun)
	delete(owner.runs, waiting.submit.Stream)
}

// sendEnded sends the entry the Ended message of an attempt, once.
func (owner *Owner) sendEnded(run *run, ended outcome.Outcome, chunks uint64) {
	if run.endedSent {
		return
	}
	run.endedSent = true
	owner.emit(effect.Send{To: run.entry, Message: message.Ended{
		Stream:     run.submit.Stream,
		Class:      run.submit.Request.Class,
		Outcome:    ended,
		Dispatched: ended.Kind != outcome.NotRun,
		Chunks:     chunks,
	}})
}
