package choose

import "math"

// twoChoices picks two of the servers that can run a request at once, at random by the hash of
// the request's id; the cheaper one gets the request (power of two choices). Many daemons
// that place requests by load counts some hundred milliseconds old would otherwise all
// choose the server that was best then, usually one that has just loaded the adapter.
type twoChoices struct {
	choices [2]Choice
	ranks   [2]uint64
	limit   float64 // servers with a higher speedCost are not drawn
}

// draw adds a choice unless its server is too slow to be drawn.
func (weights Weights) draw(twoChoices *twoChoices, query Query, choice Choice) {
	if math.IsInf(twoChoices.limit, 1) || weights.speedCost(query, choice.Member) <= twoChoices.limit {
		twoChoices.add(choice, rank(query.Attempt, choice.Member))
	}
}

// add keeps a choice if its rank is one of the two highest so far.
func (twoChoices *twoChoices) add(choice Choice, rank uint64) {
	for i := range twoChoices.choices {
		if twoChoices.choices[i].Member == nil || rank > twoChoices.ranks[i] {
			choice, twoChoices.choices[i] = twoChoices.choices[i], choice
			rank, twoChoices.ranks[i] = twoChoices.ranks[i], rank
		}
		if choice.Member == nil {
			return
		}
	}
}

// pick returns the cheaper of the two servers, or best, the cheapest of all, if that
// costs less by more than margin, as both of the two may be failing.
func (twoChoices *twoChoices) pick(best Choice, margin float64) Choice {
	chosen := twoChoices.choices[0]
	if second := twoChoices.choices[1]; second.Member != nil && second.Cost < chosen.Cost {
		chosen = second
	}
	if chosen.Cost > best.Cost+margin {
		return best
	}
	return chosen
}
