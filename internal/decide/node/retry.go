package node

import (
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
)

// retryBudget limits repeated attempts to a share of first attempts, so that a
// fault does not multiply the load.
type retryBudget struct {
	share  float64
	tokens float64
}

// maxRetryTokens is the number of repeated attempts allowed in a burst.
const maxRetryTokens = 20

func (budget *retryBudget) addFirstAttempt() {
	budget.tokens = min(maxRetryTokens, budget.tokens+budget.share)
}

func (budget *retryBudget) takeRetry() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// mayRetry reports whether another attempt is allowed, and if so takes a token of the
// retry budget. An attempt is allowed after one that did not run, and for repeatable
// requests also after one that may have run, but not once the answer has begun, after
// the deadline, beyond the retry budget or for a call to a service.
func (node *Node) mayRetry(request *request, ended outcome.Outcome) bool {
	if request.answerStarted || request.deadline <= node.now || request.service != nil {
		return false
	}
	if ended.Kind == outcome.Unknown && !request.rule.Repeatable {
		return false
	}
	switch ended.Reason {
	case outcome.DeadlinePassed, outcome.CallerGone, outcome.DeadlineUnreachable:
		return false
	}
	return node.retries.takeRetry()
}

// retry places a request again as a new attempt.
func (node *Node) retry(request *request) {
	node.startNewAttempt(request)
	node.place(request)
}

// startNewAttempt gives a request a new stream id, which no engine has seen.
func (node *Node) startNewAttempt(request *request) {
	requestTable.MustApply(&request.state, retryRequest)
	next := node.NewStream()
	delete(node.requests, request.stream)
	node.emit(effect.Rebind{From: request.stream, To: next})
	request.stream = next
	request.resumed = false
	node.requests[next] = request
}
