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

// place hands the request to a service, or to the owner of the best engine.
func (node *Node) place(placed *request) {
	if placed.service != nil {
		node.callService(placed)
		return
	}
	query := placement.Query{Adapter: placed.adapter, Pool: placed.rule.Pool, Tried: placed.tried}
	engine, candidates := node.policy.Choose(node.now, query, node.views)
	placed.record.Candidates = slices.Clone(candidates)
	if engine == nil {
		node.answer(placed, outcome.Refused(outcome.NoEngine, transientRetry))
		return
	}
	view := node.views.View(engine.Name)
	view.Sent++
	node.submitTo(placed, engine.Name, view.State.Owner)
}

// submitTo hands a request on as a new attempt.
func (node *Node) submitTo(placed *request, engine ident.EngineID, owner ident.DaemonID) {
	placed.engine, placed.owner = engine, owner
	placed.priorFence, placed.priorBoot = 0, ""
	if view := node.views.View(engine); view != nil {
		placed.priorFence, placed.priorBoot = view.State.Fence, view.State.Boot
	}
	requestTable.Must(&placed.state, submitRequest)
	node.submit(placed)
}

func (node *Node) submit(placed *request) {
	placed.open = true
	placed.probeAt = max(node.now, placed.deadline) + probeInterval
	node.note(placed)
	node.send(placed.owner, message.Submit{
		Stream: placed.stream,
		Engine: placed.engine,
		Request: message.Request{
			ID: placed.arrived.RequestID, Caller: placed.caller.Name, Adapter: placed.adapter,
			Class: placed.rule.Class, Repeatable: placed.rule.Repeatable,
			Path: placed.arrived.Path, Streaming: placed.arrived.Streaming, Body: placed.arrived.Body,
		},
		Budget:     placed.deadline - node.now,
		Resume:     placed.resumed,
		PriorFence: placed.priorFence,
		PriorBoot:  placed.priorBoot,
	})
}

func (node *Node) callService(placed *request) {
	requestTable.Must(&placed.state, dispatchRequest)
	address, _ := ownership.First(placed.stream.String(), addresses(placed.service))
	placed.open = true
	node.note(placed)
	node.emit(effect.CallService{Stream: placed.stream, Service: placed.service.Name, Address: string(address)})
}

func addresses(service *config.Service) []ident.DaemonID {
	list := make([]ident.DaemonID, 0, len(service.Addresses))
	for _, address := range service.Addresses {
		list = append(list, ident.DaemonID(address))
	}
	return list
}

// note adds the present attempt to the decision record.
func (node *Node) note(placed *request) {
	placed.record.Attempts = append(placed.record.Attempts, outcome.Attempt{
		Stream: placed.stream.String(), Engine: placed.engine, Owner: placed.owner, At: node.now,
		Dispatched: placed.state == requestDispatched,
	})
}

func (node *Node) dispatched(message message.Dispatched) {
	found, known := node.requests[message.Stream]
	if !known || found.state != requestSubmitted {
		return
	}
	requestTable.Must(&found.state, dispatchRequest)
	found.lastAttempt().Dispatched = true
}

// answerStarted lets an answer through to the caller; from then on no other
// attempt may take its place.
func (node *Node) answerStarted(event AnswerStarted) {
	found, known := node.requests[event.Stream]
	if !known || !found.handedOn() {
		return
	}
	found.delivering = true
	found.mayHaveRun = true
	node.emit(effect.ForwardAnswer{
		Stream: event.Stream, From: event.From, Lane: message.LaneOf(found.rule.Class),
		Status: event.Status, ContentType: event.ContentType,
	})
}

// answerReceived keeps what has arrived of an answer until its outcome is known.
func (node *Node) answerReceived(event AnswerReceived) {
	if found, known := node.requests[event.Stream]; known {
		found.content = event.Stored
		found.chunks = event.Chunks
		found.counted = true
	}
}

// attemptEnded takes in an owner's word on an attempt.
func (node *Node) attemptEnded(from ident.DaemonID, ended message.Ended) {
	found, known := node.requests[ended.Stream]
	if !known || !found.handedOn() || found.service != nil {
		return
	}
	if ended.Outcome.Kind == outcome.Answered && found.counted && found.chunks != ended.Chunks {
		ended.Outcome = outcome.Lost(outcome.Truncated)
	}
	attempt := found.lastAttempt()
	attempt.Outcome = ended.Outcome
	attempt.Dispatched = attempt.Dispatched || ended.Dispatched
	switch {
	case ended.Outcome.Kind == outcome.Answered:
		found.open = false
		node.answer(found, ended.Outcome)
	case found.resumed && unproven(ended.Outcome):
		if from == found.owner {
			node.seekOwner(found, ended.Owner)
		}
	default:
		node.attemptFailed(found, ended)
	}
}

// unproven reports whether what an owner says of a resumed attempt leaves open
// whether it ran: only the engine's own word that it did not counts.
func unproven(ended outcome.Outcome) bool {
	return ended.Kind == outcome.NotRun && ended.Reason != outcome.EngineRefused || ended.Reason == outcome.OwnerLost
}

func (node *Node) attemptFailed(failed *request, ended message.Ended) {
	failed.open = false
	failed.mayHaveRun = failed.mayHaveRun || ended.Outcome.Kind == outcome.Unknown
	if ended.Outcome.Reason == outcome.NotOwner && failed.redirects < maxRedirects && failed.deadline > node.now {
		failed.redirects++
		node.redirect(failed, ended.Owner)
		return
	}
	if !node.mayRetry(failed, ended.Outcome) {
		node.answer(failed, ended.Outcome)
		return
	}
	failed.tried = append(failed.tried, failed.engine)
	node.retry(failed)
}

// maxRedirects is the number of times that a request follows an engine from
// owner to owner before that counts as a failed attempt. No engine has had any
// work from it, so it costs nothing of the retry budget.
const maxRedirects = 3

// redirect submits to the engine's present owner, as far as it is known.
func (node *Node) redirect(failed *request, owner ident.DaemonID) {
	if owner == "" || owner == failed.owner {
		failed.tried = append(failed.tried, failed.engine)
		node.retry(failed)
		return
	}
	engine := failed.engine
	node.renew(failed)
	node.submitTo(failed, engine, owner)
}

func (node *Node) serviceEnded(event ServiceEnded) {
	found, known := node.requests[event.Stream]
	if !known {
		return
	}
	found.open = false
	found.mayHaveRun = event.Outcome.Kind != outcome.NotRun
	found.content = event.Stored
	found.replay = event.Stored
	found.lastAttempt().Outcome = event.Outcome
	node.answer(found, event.Outcome)
}

// probeInterval is the span after the deadline, and from then on, at which an
// owner that has not ended an attempt is asked for it again.
const probeInterval = 15 * clock.Second
