package node

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/base/lifecycle"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/ownership"
	"teaselmoor/internal/decide/placement"
)

type requestState string

const (
	requestNew requestState = "New"
	// requestAtHome: the home of its key has been asked for leave.
	requestAtHome requestState = "AtHome"
	// requestSubmitted: handed on; the engine is not known to have it.
	requestSubmitted requestState = "Submitted"
	// requestDispatched: the engine or service may have it.
	requestDispatched requestState = "Dispatched"
	requestAnswered   requestState = "Answered"
)

type requestEvent string

const (
	askHome         requestEvent = "AskHome"
	submitRequest   requestEvent = "Submit"
	dispatchRequest requestEvent = "Dispatch"
	retryRequest    requestEvent = "Retry"
	answerRequest   requestEvent = "Answer"
)

var requestTable = lifecycle.New("request", []lifecycle.Transition[requestState, requestEvent]{
	{Event: askHome, From: []requestState{requestNew}, To: requestAtHome},
	{Event: submitRequest, From: []requestState{requestNew, requestAtHome}, To: requestSubmitted},
	{Event: dispatchRequest, From: []requestState{requestNew, requestAtHome, requestSubmitted, requestDispatched}, To: requestDispatched},
	{Event: retryRequest, From: []requestState{requestSubmitted, requestDispatched}, To: requestNew},
	{
		Event: answerRequest,
		From:  []requestState{requestNew, requestAtHome, requestSubmitted, requestDispatched},
		To:    requestAnswered,
	},
})

// request is one caller's request at its entry.
type request struct {
	state    requestState
	arrived  Arrived
	stream   ident.StreamID // of the present attempt
	adapter  ident.Adapter
	rule     config.Decision
	caller   string
	service  *config.Service
	deadline clock.Millis
	engine   ident.EngineID
	owner    ident.DaemonID
	tried    []ident.EngineID
	home     ident.DaemonID // that granted or was asked
	// delivering says that the caller has had a part of the answer.
	delivering bool
	record     outcome.Record
	// content is what the home keeps of the answer.
	content *message.StoredAnswer
	// replay is what the caller is sent in place of a relayed answer.
	replay *message.StoredAnswer
	// chunks is the number of chunks that arrived, once counted is set.
	chunks  uint64
	counted bool
}

func (node *Node) arrived(event Arrived) {
	arrived := &request{state: requestNew, arrived: event, stream: event.Stream}
	arrived.record = outcome.Record{Request: event.RequestID, Daemon: node.options.Self, At: node.now, Target: event.Model + event.Service}
	node.requests[event.Stream] = arrived
	if reason := node.admit(arrived); reason != "" {
		node.answer(arrived, outcome.Refused(reason, 0))
		return
	}
	arrived.deadline = node.now + arrived.rule.Deadline
	arrived.record.Rule = arrived.rule.Rule
	arrived.record.Class = arrived.rule.Class.String()
	arrived.record.Repeatable = arrived.rule.Repeatable
	arrived.record.Deadline = arrived.deadline
	node.retries.first()
	if arrived.rule.Repeatable {
		node.place(arrived)
		return
	}
	node.askHome(arrived)
}

// admit resolves caller, target and rule; it returns the reason of a refusal.
func (node *Node) admit(arrived *request) outcome.Reason {
	if node.draining {
		return outcome.ShuttingDown
	}
	if node.config == nil {
		return outcome.NoConfiguration
	}
	arrived.record.ConfigVersion = node.config.Version()
	caller, known := node.config.CallerByKey(arrived.arrived.APIKey)
	if !known {
		return outcome.Unauthorized
	}
	arrived.caller = caller.Name
	arrived.record.Caller = caller.Name
	reason := node.matchRule(arrived, caller)
	if reason != "" {
		return reason
	}
	arrived.rule.Repeatable = arrived.rule.Repeatable && !arrived.arrived.NotRepeatable
	if !arrived.rule.Repeatable && arrived.arrived.Key == "" {
		return outcome.KeyMissing
	}
	return ""
}

func (node *Node) matchRule(arrived *request, caller *config.Caller) outcome.Reason {
	var matched bool
	if arrived.arrived.Service != "" {
		service, known := node.config.Service(arrived.arrived.Service)
		if !known {
			return outcome.UnknownService
		}
		arrived.service = service
		arrived.rule, matched = node.config.DecideService(caller, service)
	} else {
		address, err := ident.ParseAdapter(arrived.arrived.Model)
		adapter, known := node.config.Adapter(address)
		if err != nil || !known {
			return outcome.UnknownModel
		}
		arrived.adapter = address
		arrived.rule, matched = node.config.DecideModel(caller, adapter)
	}
	if !matched {
		return outcome.NoRule
	}
	return ""
}

// askHome asks the home of the request's key for leave to run it.
func (node *Node) askHome(asking *request) {
	home, found := node.homeOf(asking.arrived.Key)
	if !found {
		node.answer(asking, outcome.Refused(outcome.HomeUnreachable, clock.Second))
		return
	}
	requestTable.Must(&asking.state, askHome)
	asking.home = home
	node.send(home, message.HomeBegin{
		Key: asking.arrived.Key, Caller: asking.caller, BodyHash: asking.arrived.BodyHash,
		Stream: asking.stream, IssuedAt: asking.arrived.KeyIssuedAt, RequestID: asking.arrived.RequestID,
		EntryClass: asking.rule.Class,
	})
}

func (node *Node) homeVerdict(verdict message.HomeVerdict) {
	asked, known := node.requests[verdict.Stream]
	if !known || asked.state != requestAtHome {
		if verdict.Granted {
			node.releaseKey(verdict)
		}
		return
	}
	if verdict.Granted {
		node.place(asked)
		return
	}
	asked.replay = verdict.Stored
	asked.home = ""
	node.answer(asked, verdict.Outcome)
}

// releaseKey frees a key that was granted after its request had been given up.
func (node *Node) releaseKey(verdict message.HomeVerdict) {
	home, found := node.homeOf(verdict.Key)
	if found {
		node.send(home, message.HomeFinish{
			Key: verdict.Key, Stream: verdict.Stream, Outcome: outcome.Refused(outcome.CallerGone, 0),
		})
	}
}

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
		node.answer(placed, outcome.Refused(outcome.NoEngine, clock.Second))
		return
	}
	view := node.views.View(engine.Name)
	view.Sent++
	placed.engine, placed.owner = engine.Name, view.State.Owner
	requestTable.Must(&placed.state, submitRequest)
	node.note(placed)
	node.submit(placed, false, 0)
}

func (node *Node) submit(placed *request, resume bool, received uint64) {
	node.send(placed.owner, message.Submit{
		Stream: placed.stream,
		Engine: placed.engine,
		Request: message.Request{
			ID: placed.arrived.RequestID, Caller: placed.caller, Adapter: placed.adapter,
			Class: placed.rule.Class, Repeatable: placed.rule.Repeatable,
			Path: placed.arrived.Path, Streaming: placed.arrived.Streaming, Body: placed.arrived.Body,
		},
		Budget:   placed.deadline - node.now,
		Resume:   resume,
		Received: received,
	})
}

func (node *Node) callService(placed *request) {
	requestTable.Must(&placed.state, dispatchRequest)
	address, _ := ownership.First(placed.stream.String(), addresses(placed.service))
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

func (request *request) lastAttempt() *outcome.Attempt {
	return &request.record.Attempts[len(request.record.Attempts)-1]
}

// headArrived lets an answer through to the caller; from then on no other
// attempt may take its place.
func (node *Node) headArrived(event HeadArrived) {
	found, known := node.requests[event.Stream]
	if !known || found.state != requestSubmitted && found.state != requestDispatched {
		return
	}
	found.delivering = true
	node.emit(effect.Open{
		Stream: event.Stream, From: event.From, Lane: message.LaneOf(found.rule.Class),
		Status: event.Status, ContentType: event.ContentType,
	})
}

// attemptEnded takes in an owner's word on an attempt.
func (node *Node) attemptEnded(ended message.Ended) {
	found, known := node.requests[ended.Stream]
	if !known || found.state != requestSubmitted && found.state != requestDispatched {
		return
	}
	if ended.Outcome.Kind == outcome.Answered && found.counted && found.chunks != ended.Chunks {
		ended.Outcome = outcome.Lost(outcome.Truncated)
	}
	attempt := found.lastAttempt()
	attempt.Outcome = ended.Outcome
	attempt.Dispatched = attempt.Dispatched || ended.Dispatched
	if ended.Outcome.Kind != outcome.Answered && node.mayRetry(found, ended.Outcome) {
		node.retry(found)
		return
	}
	node.answer(found, ended.Outcome)
}

// mayRetry reports whether another attempt is allowed: after a true not-run
// always, after a dispatch only for repeatable requests; never once the caller
// has had a part of the answer, nor past the deadline or the budget.
func (node *Node) mayRetry(failed *request, ended outcome.Outcome) bool {
	if failed.delivering || failed.deadline <= node.now || failed.service != nil {
		return false
	}
	if ended.Kind == outcome.Unknown && !failed.rule.Repeatable {
		return false
	}
	switch ended.Reason {
	case outcome.DeadlinePassed, outcome.CallerGone, outcome.DeadlineUnreachable:
		return false
	}
	return node.retries.take()
}

func (node *Node) retry(failed *request) {
	failed.tried = append(failed.tried, failed.engine)
	requestTable.Must(&failed.state, retryRequest)
	next := node.NewStream()
	delete(node.requests, failed.stream)
	node.emit(effect.Rebind{From: failed.stream, To: next})
	failed.stream = next
	node.requests[next] = failed
	node.place(failed)
}

func (node *Node) serviceEnded(event ServiceEnded) {
	found, known := node.requests[event.Stream]
	if !known {
		return
	}
	found.content = event.Stored
	found.replay = event.Stored
	found.lastAttempt().Outcome = event.Outcome
	node.answer(found, event.Outcome)
}

// answerReceived keeps what has arrived of an answer until its outcome is known.
func (node *Node) answerReceived(event AnswerReceived) {
	if found, known := node.requests[event.Stream]; known {
		found.content = event.Stored
		found.chunks = event.Chunks
		found.counted = true
	}
}

func (node *Node) callerGone(stream ident.StreamID) {
	found, known := node.requests[stream]
	if !known {
		return
	}
	gone := outcome.Refused(outcome.CallerGone, 0)
	if found.state == requestSubmitted || found.state == requestDispatched {
		gone = outcome.Lost(outcome.CallerGone)
	}
	node.cancelAttempt(found)
	node.answer(found, gone)
}

func (node *Node) cancelAttempt(found *request) {
	if found.owner == "" {
		return
	}
	node.send(found.owner, message.Cancel{Stream: found.stream, Engine: found.engine, Class: found.rule.Class})
}

// answer ends a request: the caller hears at once, the home records it.
func (node *Node) answer(ended *request, final outcome.Outcome) {
	if ended.state == requestDispatched {
		invariant.Check(final.Kind != outcome.NotRun || !ended.lastAttempt().Dispatched || ended.lastAttempt().Outcome.Kind == outcome.NotRun,
			"not run is said only when nothing received the request",
			"request %s: %s after dispatch", ended.arrived.RequestID, final.Reason)
	}
	requestTable.Must(&ended.state, answerRequest)
	delete(node.requests, ended.stream)
	ended.record.Outcome = final
	if ended.home != "" {
		node.send(ended.home, message.HomeFinish{
			Key: ended.arrived.Key, Stream: ended.arrived.Stream, Outcome: final, Stored: ended.content,
		})
	}
	node.emit(effect.Answer{Stream: ended.stream, Outcome: final, Record: ended.record, Stored: ended.replay})
}

// tickRequests gives up requests whose home did not answer by the deadline.
func (node *Node) tickRequests() {
	for _, waiting := range node.requestsInOrder() {
		if waiting.state == requestAtHome && waiting.deadline <= node.now {
			node.answer(waiting, outcome.Refused(outcome.HomeUnreachable, clock.Second))
		}
	}
}

// peerLost ends or repeats the attempts that were with a lost daemon.
func (node *Node) peerLost(event PeerLost) {
	for _, affected := range node.requestsInOrder() {
		if affected.owner != event.Peer || message.LaneOf(affected.rule.Class) != event.Lane {
			continue
		}
		if affected.state != requestSubmitted && affected.state != requestDispatched {
			continue
		}
		lost := outcome.Lost(outcome.OwnerLost)
		affected.lastAttempt().Outcome = lost
		if node.mayRetry(affected, lost) {
			node.retry(affected)
			continue
		}
		node.answer(affected, lost)
	}
}
