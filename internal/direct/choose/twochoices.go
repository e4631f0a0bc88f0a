package choose

// twoChoices picks two of the servers that can run a request at once, at random by the hash of
// the request's id; the cheaper one gets the request (power of two choices). Many daemons
// that place requests by load counts some hundred milliseconds old would otherwise all
// choose the server that was best then, usually one that has just loaded the adapter.
type twoChoices struct {
	choices [2]Choice
	ranks   [2]uint64
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
// costs less by more than margin, as both of the two may be failing. Late streams do not count
// in the margin: they depend on counts of work, and all daemons would choose best by them.
func (twoChoices *twoChoices) pick(best Choice, margin float64) Choice {
	if chosen := twoChoices.cheaper(); chosen.base <= best.base+margin {
		return chosen
	}
	return best
}

// cheaper returns the cheaper of the two servers.
func (twoChoices *twoChoices) cheaper() Choice {
	if second := twoChoices.choices[1]; second.Member != nil && second.Cost < twoChoices.choices[0].Cost {
		return second
	}
	return twoChoices.choices[0]
}
