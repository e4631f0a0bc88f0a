package node

import (
	"maps"
	"slices"
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

// requestsInOrder returns the open requests in a fixed order, so that a replay
// repeats itself.
func (node *Node) requestsInOrder() []*request {
	return slices.SortedFunc(maps.Values(node.requests), func(a, b *request) int {
		return a.stream.Compare(b.stream)
	})
}
