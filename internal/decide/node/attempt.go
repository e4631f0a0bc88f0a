package node

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/ownership"
	"teaselmoor/internal/decide/placement"
)

// place calls the request's service, or submits the request to the owner of the
// best engine.
func (node *Node) place(request *request) {
	if request.service != nil {
		node.callService(request)
		return
	}
	query := placement.Query{Adapter: request.adapter, Pool: request.rule.Pool, Tried: request.triedEngines}
	engine, candidates := node.policy.Choose(node.now, query, node.views)
	request.record.Candidates = slices.Clone(candidates)
	if engine == nil {
		node.answer(request, outcome.Refused(outcome.NoEngine, transientRetryDelay))
		return
	}
	view := node.views.View(engine.Name)
	view.Sent++
	node.submitTo(request, engine.Name, view.State.Owner)
}

// submitTo submits a request to an engine's owner as a new attempt.
func (node *Node) submitTo(request *request, engine ident.EngineID, owner ident.DaemonID) {
	request.engine, request.owner = engine, owner
	request.priorFence, request.priorBoot = 0, ""
	if view := node.views.View(engine); view != nil {
		request.priorFence, request.priorBoot = view.State.Fence, view.State.Boot
	}
	requestTable.MustApply(&request.state, submitRequest)
	node.submit(request)
}

func (node *Node) submit(request *request) {
	request.attemptOpen = true
	request.probeAt = max(node.now, request.deadline) + probeInterval
	node.recordAttempt(request)
	node.send(request.owner, message.Submit{
		Stream: request.stream,
		Engine: request.engine,
		Request: message.Request{
			ID: request.arrival.RequestID, Caller: request.caller.Name, Adapter: request.adapter,
			Class: request.rule.Class, Repeatable: request.rule.Repeatable,
			Path: request.arrival.Path, Streaming: request.arrival.Streaming, Body: request.arrival.Body,
		},
		Budget:     request.deadline - node.now,
		Resume:     request.resumed,
		PriorFence: request.priorFence,
		PriorBoot:  request.priorBoot,
	})
}

func (node *Node) callService(request *request) {
	requestTable.MustApply(&request.state, dispatchRequest)
	address, _ := ownership.First(request.stream.String(), addresses(request.service))
	request.attemptOpen = true
	node.recordAttempt(request)
	node.emit(effect.CallService{Stream: request.stream, Service: request.service.Name, Address: string(address)})
}

func addresses(service *config.Service) []ident.DaemonID {
	list := make([]ident.DaemonID, 0, len(service.Addresses))
	for _, address := range service.Addresses {
		list = append(list, ident.DaemonID(address))
	}
	return list
}

// recordAttempt adds the current attempt to the decision record.
func (node *Node) recordAttempt(request *request) {
	request.record.Attempts = append(request.record.Attempts, outcome.Attempt{
		Stream: request.stream.String(), Engine: request.engine, Owner: request.owner, At: node.now,
		Dispatched: request.state == requestDispatched,
	})
}

func (node *Node) attemptDispatched(dispatched message.Dispatched) {
	request, known := node.requests[dispatched.Stream]
	if !known || request.state != requestSubmitted {
		return
	}
	requestTable.MustApply(&request.state, dispatchRequest)
	request.lastAttempt().Dispatched = true
}

// answerStarted lets the runtime forward the answer of the current attempt to the
// caller. From then on no other attempt may replace this one.
func (node *Node) answerStarted(event AnswerStarted) {
	request, known := node.requests[event.Stream]
	if !known || !request.inFlight() {
		return
	}
	request.answerStarted = true
	request.mayHaveRun = true
	node.emit(effect.ForwardAnswer{
		Stream: event.Stream, From: event.From, Lane: message.LaneOf(request.rule.Class),
		Status: event.Status, ContentType: event.ContentType,
	})
}

// answerReceived stores the received content and its number of chunks until the
// attempt's outcome is known.
func (node *Node) answerReceived(event AnswerReceived) {
	if request, known := node.requests[event.Stream]; known {
		request.contentForHome = event.Stored
		request.chunks = event.Chunks
		request.chunksKnown = true
	}
}

// attemptEnded handles an owner's report that an attempt ended.
func (node *Node) attemptEnded(from ident.DaemonID, ended message.Ended) {
	request, known := node.requests[ended.Stream]
	if !known || !request.inFlight() || request.service != nil {
		return
	}
	if ended.Outcome.Kind == outcome.Answered && request.chunksKnown && request.chunks != ended.Chunks {
		ended.Outcome = outcome.MayHaveRun(outcome.Truncated)
	}
	attempt := request.lastAttempt()
	attempt.Outcome = ended.Outcome
	attempt.Dispatched = attempt.Dispatched || ended.Dispatched
	switch {
	case ended.Outcome.Kind == outcome.Answered:
		request.attemptOpen = false
		node.answer(request, ended.Outcome)
	case request.resumed && leavesRunUncertain(ended.Outcome):
		if from == request.owner {
			node.awaitOwner(request, ended.Owner)
		}
	default:
		node.attemptFailed(request, ended)
	}
}

// leavesRunUncertain reports whether a resumed attempt may have run even though its
// owner reported this outcome. Only the engine's own refusal proves that it did not
// run.
func leavesRunUncertain(ended outcome.Outcome) bool {
	return ended.Kind == outcome.NotRun && ended.Reason != outcome.EngineRefused || ended.Reason == outcome.OwnerLost
}

func (node *Node) attemptFailed(request *request, ended message.Ended) {
	request.attemptOpen = false
	request.mayHaveRun = request.mayHaveRun || ended.Outcome.Kind == outcome.Unknown
	if ended.Outcome.Reason == outcome.NotOwner && request.redirects < maxRedirects && request.deadline > node.now {
		request.redirects++
		node.redirect(request, ended.Owner)
		return
	}
	if !node.mayRetry(request, ended.Outcome) {
		node.answer(request, ended.Outcome)
		return
	}
	request.triedEngines = append(request.triedEngines, request.engine)
	node.retry(request)
}

// maxRedirects is the number of times that a request follows an engine to another
// owner before the redirect counts as a failed attempt. Redirects don't use the
// retry budget, because the engine received nothing.
const maxRedirects = 3

// redirect submits the request to the engine's current owner, if it is known, and
// otherwise retries it elsewhere.
func (node *Node) redirect(request *request, owner ident.DaemonID) {
	if owner == "" || owner == request.owner {
		request.triedEngines = append(request.triedEngines, request.engine)
		node.retry(request)
		return
	}
	engine := request.engine
	node.startNewAttempt(request)
	node.submitTo(request, engine, owner)
}

func (node *Node) serviceEnded(event ServiceEnded) {
	request, known := node.requests[event.Stream]
	if !known {
		return
	}
	request.attemptOpen = false
	request.mayHaveRun = event.Outcome.Kind != outcome.NotRun
	request.contentForHome = event.Stored
	request.storedAnswer = event.Stored
	request.lastAttempt().Outcome = event.Outcome
	node.answer(request, event.Outcome)
}

// probeInterval is the time from the deadline, or from a later submission, until the
// entry asks an owner again for an attempt that has not ended.
const probeInterval = 15 * clock.Second
