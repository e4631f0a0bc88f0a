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
	// requestAwaitingHome: the home of the request's key was asked for permission.
	requestAwaitingHome requestState = "AtHome"
	// requestSubmitted: submitted to an owner; the engine is not known to have the
	// run.
	requestSubmitted requestState = "Submitted"
	// requestDispatched: the engine or service may have the run.
	requestDispatched requestState = "Dispatched"
	// requestResuming: the owner was lost; the request waits for an owner of the
	// engine that can resume the run.
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
	{Event: askHome, From: []requestState{requestNew}, To: requestAwaitingHome},
	{Event: submitRequest, From: []requestState{requestNew, requestAwaitingHome}, To: requestSubmitted},
	{Event: dispatchRequest, From: []requestState{requestNew, requestAwaitingHome, requestSubmitted, requestDispatched}, To: requestDispatched},
	{Event: loseOwner, From: []requestState{requestSubmitted, requestDispatched}, To: requestResuming},
	{Event: resumeRequest, From: []requestState{requestResuming}, To: requestDispatched},
	{Event: retryRequest, From: []requestState{requestSubmitted, requestDispatched}, To: requestNew},
	{
		Event: answerRequest,
		From:  []requestState{requestNew, requestAwaitingHome, requestSubmitted, requestDispatched, requestResuming},
		To:    requestAnswered,
	},
})

// request is a caller's request at its entry.
type request struct {
	state    requestState
	arrival  RequestArrived
	stream   ident.StreamID // of the current attempt
	adapter  ident.Adapter
	rule     config.Decision
	caller   *config.Caller
	service  *config.Service
	deadline clock.Millis
	record   outcome.Record

	home         ident.DaemonID // asked last, or granted the key
	homeRetryAt  clock.Millis   // when the home is asked again
	homeDeadline clock.Millis   // when waiting for the home ends

	engine ident.EngineID
	owner  ident.DaemonID
	// priorFence and priorBoot are the owner's fencing number and the engine's boot
	// id when the current attempt was first submitted.
	priorFence   ident.Fence
	priorBoot    ident.BootID
	triedEngines []ident.EngineID
	// redirects counts the refusals by daemons that did not own the engine.
	redirects int
	// attemptOpen is set while the current attempt has been submitted and has not
	// ended.
	attemptOpen bool
	// resumed is set once the owner of the current attempt was lost or did not report
	// its end in time. From then on only the engine's own refusal proves that the
	// attempt did not run.
	resumed bool
	// mayHaveRun is set once an attempt has ended that may have run, or an answer has
	// begun.
	mayHaveRun bool
	// lostAt is when the owner was lost, resumeUntil when waiting for the next
	// owner ends, and probeAt when the owner is asked again.
	lostAt      clock.Millis
	resumeUntil clock.Millis
	probeAt     clock.Millis

	// answerStarted is set once the answer is forwarded to the caller.
	answerStarted bool
	// contentForHome is the content of the answer for the home to store.
	contentForHome *message.StoredAnswer
	// storedAnswer is the whole answer if none is relayed: that of a service, or the
	// one that the home has stored for the key.
	storedAnswer *message.StoredAnswer
	// chunks is the number of chunks received, valid if chunksKnown is set.
	chunks      uint64
	chunksKnown bool
}

// inFlight reports whether the current attempt has been submitted to an owner or
// service.
func (request *request) inFlight() bool {
	return request.state == requestSubmitted || request.state == requestDispatched
}

func (request *request) lastAttempt() *outcome.Attempt {
	return &request.record.Attempts[len(request.record.Attempts)-1]
}

// requestsInOrder returns the open requests in a fixed order, so that replays are
// deterministic.
func (node *Node) requestsInOrder() []*request {
	return slices.SortedFunc(maps.Values(node.requests), func(a, b *request) int {
		return a.stream.Compare(b.stream)
	})
}
