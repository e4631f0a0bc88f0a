package node

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/lifecycle"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
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
	// requestResuming: its owner was lost; the run is sought at the engine's
	// next owner.
	requestResuming requestState = "Resuming"
	requestAnswered requestState = "Answered"
)

type requestEvent string

const (
	askHome         requestEvent = "AskHome"
	submitRequest   requestEvent = "Submit"
	dispatchRequest requestEvent = "Dispatch"
	loseOwner       requestEvent = "LoseOwner"
	resumeRequest   requestEvent = "Resume"
	retryRequest    requestEvent = "Retry"
	answerRequest   requestEvent = "Answer"
)

var requestTable = lifecycle.New("request", []lifecycle.Transition[requestState, requestEvent]{
	{Event: askHome, From: []requestState{requestNew}, To: requestAtHome},
	{Event: submitRequest, From: []requestState{requestNew, requestAtHome}, To: requestSubmitted},
	{Event: dispatchRequest, From: []requestState{requestNew, requestAtHome, requestSubmitted, requestDispatched}, To: requestDispatched},
	{Event: loseOwner, From: []requestState{requestSubmitted, requestDispatched}, To: requestResuming},
	{Event: resumeRequest, From: []requestState{requestResuming}, To: requestDispatched},
	{Event: retryRequest, From: []requestState{requestSubmitted, requestDispatched}, To: requestNew},
	{
		Event: answerRequest,
		From:  []requestState{requestNew, requestAtHome, requestSubmitted, requestDispatched, requestResuming},
		To:    requestAnswered,
	},
})

// request is one caller's request at its entry.
type request struct {
	state    requestState
	arrived  RequestArrived
	stream   ident.StreamID // of the present attempt
	adapter  ident.Adapter
	rule     config.Decision
	caller   *config.Caller
	service  *config.Service
	deadline clock.Millis
	record   outcome.Record

	home     ident.DaemonID // that granted or was asked last
	askAgain clock.Millis   // when the home is asked again
	askUntil clock.Millis   // when the home is given up

	engine ident.EngineID
	owner  ident.DaemonID
	// priorFence and priorBoot are the owner's number and the engine's boot id
	// when the present attempt was first handed on.
	priorFence ident.Fence
	priorBoot  ident.BootID
	tried      []ident.EngineID
	// redirects counts the owners that said they were not in charge.
	redirects int
	// open says that the present attempt was handed on and has not ended.
	open bool
	// resumed says that the present attempt was lost once: only its engine's
	// word can show that it did not run.
	resumed bool
	// mayHaveRun says that an earlier attempt may have run.
	mayHaveRun bool
	// lostAt is when its owner was lost, resumeUntil when the search for the
	// next one ends, probeAt when the owner is asked again.
	lostAt      clock.Millis
	resumeUntil clock.Millis
	probeAt     clock.Millis

	// delivering says that the caller has had a part of the answer.
	delivering bool
	// content is what the home keeps of the answer.
	content *message.StoredAnswer
	// replay is what the caller is sent in place of a relayed answer.
	replay *message.StoredAnswer
	// chunks is the number of chunks that arrived, once counted is set.
	chunks  uint64
	counted bool
}

// handedOn reports whether an owner or service was given the present attempt.
func (request *request) handedOn() bool {
	return request.state == requestSubmitted || request.state == requestDispatched
}

func (request *request) lastAttempt() *outcome.Attempt {
	return &request.record.Attempts[len(request.record.Attempts)-1]
}

// requestsInOrder returns the open requests in a fixed order, so that a replay
// repeats itself.
func (node *Node) requestsInOrder() []*request {
	return slices.SortedFunc(maps.Values(node.requests), func(a, b *request) int {
		return a.stream.Compare(b.stream)
	})
}
