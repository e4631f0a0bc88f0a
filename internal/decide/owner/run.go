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
	// runCancelling: the entry no longer wants it; the engine has not confirmed.
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

// run is one attempt, from its arrival at the owner to the engine's word that
// it is over.
type run struct {
	state  runState
	entry  ident.DaemonID
	submit message.Submit
	slot   int // index of the pinned slot, once dispatched
	// deadline is the point in time by which the answer has to begin.
	deadline clock.Millis
	resumes  int
	// resumed says that an earlier owner may have dispatched it.
	resumed bool
	// unknownAt is when the engine said that it does not know the resumed run.
	unknownAt    clock.Millis
	dispatchedAt clock.Millis
	// told says that the entry has had its Ended message.
	told bool
	// cancelAgain is when an unconfirmed cancel is sent again.
	cancelAgain clock.Millis
}

// Result is how an engine call ended, as the runtime saw it.
type Result string

// Results of engine calls.
const (
	// ResultComplete: the whole answer was relayed.
	ResultComplete Result = "Complete"
	// ResultNotSent: no byte of the request reached the engine.
	ResultNotSent Result = "NotSent"
	// ResultRefused: the engine answered that it did not run the request.
	ResultRefused Result = "Refused"
	// ResultLost: the connection was lost; the run may go on.
	ResultLost Result = "Lost"
	// ResultTruncated: the engine ended the answer before its proper end.
	ResultTruncated Result = "Truncated"
	// ResultWrongAdapter: the answer named another run, adapter or version.
	ResultWrongAdapter Result = "WrongAdapter"
	// ResultCancelled: the engine confirmed that the run is over.
	ResultCancelled Result = "Cancelled"
	// ResultUnknownRun: the engine does not know the run that was to be resumed.
	ResultUnknownRun Result = "UnknownRun"
	// ResultFenced: the engine refused the order for its old fencing number.
	ResultFenced Result = "Fenced"
	// resultNeverRan: a resumed run is proved never to have begun.
	resultNeverRan Result = "NeverRan"
)

// RunResult reports the end of an engine call or of a cancel.
type RunResult struct {
	Stream ident.StreamID
	Result Result
	// Chunks is the number of chunks relayed for the stream so far.
	Chunks uint64
}

// Submit takes a request in, or refuses it at once. A second Submit of a stream
// that is already here changes nothing.
func (owner *Owner) Submit(now clock.Millis, entry ident.DaemonID, submit message.Submit) []effect.Effect {
	if _, known := owner.runs[submit.Stream]; known {
		return nil
	}
	arrived := &run{state: runWaiting, entry: entry, submit: submit, deadline: now + submit.Budget}
	owner.runs[submit.Stream] = arrived
	if submit.Resume {
		owner.resume(now, arrived)
		return owner.take()
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
	owner.advanceOne(now, submit.Request.Adapter)
	return owner.take()
}

// Cancel gives up an attempt. A waiting one ends at once; a dispatched one
// keeps its pin until the engine confirms.
func (owner *Owner) Cancel(now clock.Millis, stream ident.StreamID) []effect.Effect {
	found, known := owner.runs[stream]
	if !known {
		owner.cancelForeign(stream)
		return owner.take()
	}
	if found.state == runWaiting {
		owner.dequeue(found)
		owner.refuse(found, outcome.Refused(outcome.CallerGone, 0))
	} else {
		owner.cancel(now, found)
	}
	owner.advanceOne(now, found.submit.Request.Adapter)
	return owner.take()
}

// sortedRuns returns the runs in a fixed order, so that a replay repeats itself.
func (owner *Owner) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(owner.runs), func(a, b *run) int {
		return a.submit.Stream.Compare(b.submit.Stream)
	})
}

// cancel asks the engine to end a run. It is repeated until the engine confirms.
func (owner *Owner) cancel(now clock.Millis, found *run) {
	runTable.Must(&found.state, cancelRun)
	found.cancelAgain = now + owner.options.CancelInterval
	owner.emit(effect.CancelRun{Stream: found.submit.Stream, Engine: owner.Engine.Name, Fence: owner.Fence})
}

// dispatch marks the run as received by the engine before the order is given.
func (owner *Owner) dispatch(now clock.Millis, waiting *run, at int) {
	slot := &owner.slots[at]
	invariant.Check(slot.state == slotReady && slot.adapter == waiting.submit.Request.Adapter,
		"a run is dispatched only to its own ready adapter",
		"run %s, slot %d is %s with %s", waiting.submit.Stream, at, slot.state, slot.adapter)
	runTable.Must(&waiting.state, dispatchRun)
	waiting.slot = at
	waiting.dispatchedAt = now
	slot.pins++
	slot.served = true
	slot.use(now)
	owner.running++
	owner.emit(effect.Send{To: waiting.entry, Message: message.Dispatched{
		Stream: waiting.submit.Stream,
		Class:  waiting.submit.Request.Class,
		Fence:  owner.Fence,
	}})
	owner.start(waiting, waiting.submit.Resume, waiting.submit.Received)
}

func (owner *Owner) start(started *run, resume bool, received uint64) {
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

// RunEnded takes in how an engine call or a cancel ended.
func (owner *Owner) RunEnded(now clock.Millis, result RunResult) []effect.Effect {
	found, known := owner.runs[result.Stream]
	if !known || found.state == runWaiting {
		return nil // a late word on an order that was given before a restart
	}
	switch result.Result {
	case ResultLost, ResultTruncated:
		owner.lost(now, found, result)
	case ResultWrongAdapter:
		owner.quarantine(now, "an answer named another run, adapter or version")
		owner.tell(found, outcome.Lost(outcome.WrongAdapter), result.Chunks)
		if owner.takeover.retired {
			owner.finish(found, result)
		} else {
			owner.cancel(now, found)
		}
	case ResultUnknownRun:
		owner.unknownRun(now, found, result)
	case ResultNotSent, ResultRefused, ResultFenced:
		owner.notBegun(now, found, result)
	default:
		owner.finish(found, result)
	}
	owner.advanceOne(now, found.submit.Request.Adapter)
	return owner.take()
}

// notBegun takes in that an order to run had no effect. Only of the first order
// does that mean that the request did not run.
func (owner *Owner) notBegun(now clock.Millis, found *run, result RunResult) {
	again := found.resumed || found.resumes > 0
	switch {
	case !again:
		owner.finish(found, result)
	case result.Result == ResultFenced:
		owner.finish(found, RunResult{Stream: result.Stream, Result: ResultLost, Chunks: result.Chunks})
	default:
		owner.lost(now, found, result)
	}
}

// lost resumes a run whose connection broke, or gives it up: the pin stays
// until the engine confirms the end.
func (owner *Owner) lost(now clock.Millis, found *run, result RunResult) {
	if owner.takeover.retired {
		owner.finish(found, result)
		return
	}
	if found.state == runDispatched && found.resumes < owner.options.ResumeTries {
		found.resumes++
		owner.start(found, true, result.Chunks)
		return
	}
	reason := outcome.EngineLost
	if result.Result == ResultTruncated {
		reason = outcome.Truncated
	}
	owner.tell(found, outcome.Lost(reason), result.Chunks)
	if found.state == runDispatched {
		owner.cancel(now, found)
	}
}

// repeatCancels sends the cancels again that the engine has not confirmed.
func (owner *Owner) repeatCancels(now clock.Millis) {
	for _, found := range owner.sortedRuns() {
		if found.state == runCancelling && found.cancelAgain <= now {
			owner.cancel(now, found)
		}
	}
}

// finish ends a run on the engine's word and releases its pin.
func (owner *Owner) finish(found *run, result RunResult) {
	owner.tell(found, outcomeOf(result.Result), result.Chunks)
	if found.state != runWaiting {
		owner.unpin(found)
	}
	runTable.Must(&found.state, endRun)
	delete(owner.runs, found.submit.Stream)
}

func (owner *Owner) unpin(found *run) {
	owner.release(found.slot)
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
		return outcome.Lost(outcome.Truncated)
	case ResultCancelled:
		return outcome.Lost(outcome.Cancelled)
	default:
		return outcome.Lost(outcome.EngineLost)
	}
}

// refuse ends a run that no engine received.
func (owner *Owner) refuse(waiting *run, refusal outcome.Outcome) {
	invariant.Check(waiting.state == runWaiting, "not run is said only of a run that was not dispatched",
		"run %s is %s", waiting.submit.Stream, waiting.state)
	owner.tell(waiting, refusal, 0)
	runTable.Must(&waiting.state, endRun)
	delete(owner.runs, waiting.submit.Stream)
}

// tell sends the entry the end of an attempt, once.
func (owner *Owner) tell(found *run, ended outcome.Outcome, chunks uint64) {
	if found.told {
		return
	}
	found.told = true
	owner.emit(effect.Send{To: found.entry, Message: message.Ended{
		Stream:     found.submit.Stream,
		Class:      found.submit.Request.Class,
		Outcome:    ended,
		Dispatched: ended.Kind != outcome.NotRun,
		Chunks:     chunks,
	}})
}
