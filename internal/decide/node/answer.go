package node

import (
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// answer ends a request: it sends the outcome to the caller and reports it to the
// home of the request's key.
func (node *Node) answer(request *request, final outcome.Outcome) {
	if final.Kind == outcome.NotRun && request.mayHaveRun {
		final = node.unknownOutcome(request)
	}
	invariant.Check(final.Kind != outcome.NotRun || !request.attemptOpen && !request.mayHaveRun,
		"outcome NotRun is given only if nothing received the request",
		"request %s: %s in state %s", request.arrival.RequestID, final.Reason, request.state)
	requestTable.MustApply(&request.state, answerRequest)
	delete(node.requests, request.stream)
	request.record.Outcome = final
	node.reportToHome(request, final)
	node.emit(effect.Answer{Stream: request.stream, Outcome: final, Record: request.record, Stored: request.storedAnswer})
}

// unknownOutcome returns the outcome for a request whose last attempt did not run
// while an earlier one may have run: the outcome of that earlier attempt.
func (node *Node) unknownOutcome(request *request) outcome.Outcome {
	for _, attempt := range request.record.Attempts {
		if attempt.Outcome.Kind == outcome.Unknown {
			return attempt.Outcome
		}
	}
	return outcome.MayHaveRun(outcome.OwnerLost)
}

func (node *Node) callerDisconnected(stream ident.StreamID) {
	request, known := node.requests[stream]
	if !known {
		return
	}
	final := outcome.Refused(outcome.CallerGone, 0)
	switch request.state {
	case requestResuming:
		node.cancelOrphan(request)
		final = outcome.MayHaveRun(outcome.CallerGone)
	case requestSubmitted, requestDispatched:
		node.cancelAttempt(request)
		final = outcome.MayHaveRun(outcome.CallerGone)
	}
	node.answer(request, final)
}

func (node *Node) cancelAttempt(request *request) {
	if request.owner == "" {
		return
	}
	node.send(request.owner, message.Cancel{Stream: request.stream, Engine: request.engine, Class: request.rule.Class})
}

// tickRequests ends requests that can no longer succeed and resends messages that
// may have been lost.
func (node *Node) tickRequests() {
	for _, request := range node.requestsInOrder() {
		switch request.state {
		case requestAwaitingHome:
			node.tickHome(request)
		case requestResuming:
			node.tickResume(request)
		case requestSubmitted, requestDispatched:
			node.tickInFlight(request)
		}
	}
	node.tickFinishes()
	node.tickOrphans()
}
