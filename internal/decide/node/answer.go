package node

import (
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// answer ends a request: the caller hears at once, the home records it.
func (node *Node) answer(ended *request, final outcome.Outcome) {
	if final.Kind == outcome.NotRun && ended.mayHaveRun {
		final = node.unsure(ended)
	}
	invariant.Check(final.Kind != outcome.NotRun || !ended.open && !ended.mayHaveRun,
		"not run is said only when nothing received the request",
		"request %s: %s in state %s", ended.arrived.RequestID, final.Reason, ended.state)
	requestTable.Must(&ended.state, answerRequest)
	delete(node.requests, ended.stream)
	ended.record.Outcome = final
	node.tellHome(ended, final)
	node.emit(effect.Answer{Stream: ended.stream, Outcome: final, Record: ended.record, Stored: ended.replay})
}

// unsure is what a caller is told when the last attempt did not run and an
// earlier one may have: the reason of that one.
func (node *Node) unsure(ended *request) outcome.Outcome {
	for _, attempt := range ended.record.Attempts {
		if attempt.Outcome.Kind == outcome.Unknown {
			return attempt.Outcome
		}
	}
	return outcome.Lost(outcome.OwnerLost)
}

func (node *Node) callerDisconnected(stream ident.StreamID) {
	found, known := node.requests[stream]
	if !known {
		return
	}
	gone := outcome.Refused(outcome.CallerGone, 0)
	switch found.state {
	case requestResuming:
		node.cancelOrphan(found)
		gone = outcome.Lost(outcome.CallerGone)
	case requestSubmitted, requestDispatched:
		node.cancelAttempt(found)
		gone = outcome.Lost(outcome.CallerGone)
	}
	node.answer(found, gone)
}

func (node *Node) cancelAttempt(found *request) {
	if found.owner == "" {
		return
	}
	node.send(found.owner, message.Cancel{Stream: found.stream, Engine: found.engine, Class: found.rule.Class})
}

// tickRequests gives up what can no longer succeed and repeats what may have
// been lost on the way.
func (node *Node) tickRequests() {
	for _, waiting := range node.requestsInOrder() {
		switch waiting.state {
		case requestAtHome:
			node.tickHome(waiting)
		case requestResuming:
			node.tickResume(waiting)
		case requestSubmitted, requestDispatched:
			node.tickHandedOn(waiting)
		}
	}
	node.tickFinishes()
	node.tickOrphans()
}
