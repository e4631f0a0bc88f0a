package node

import (
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
)

// retryBudget allows repeated attempts as a share of first ones, so that a
// fault does not multiply the load.
type retryBudget struct {
	share  float64
	tokens float64
}

// maxRetryTokens is the number of repeated attempts allowed in a burst.
const maxRetryTokens = 20

func (budget *retryBudget) first() {
	budget.tokens = min(maxRetryTokens, budget.tokens+budget.share)
}

func (budget *retryBudget) take() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
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

// retry places a request anew.
func (node *Node) retry(failed *request) {
	node.renew(failed)
	node.place(failed)
}

// renew begins another attempt: a new stream id, which no engine has seen.
func (node *Node) renew(failed *request) {
	requestTable.Must(&failed.state, retryRequest)
	next := node.NewStream()
	delete(node.requests, failed.stream)
	node.emit(effect.Rebind{From: failed.stream, To: next})
	failed.stream = next
	failed.resumed = false
	node.requests[next] = failed
}
