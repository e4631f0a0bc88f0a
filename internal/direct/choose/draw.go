package choose

// draw holds two of the servers that can run a request at once, as its id draws them.
// Where many daemons place requests by sums that are some hundred milliseconds old,
// all of them would choose the server that was best then, a new copy above all.
type draw struct {
	choices [2]Choice
	ranks   [2]uint64
}

func (draw *draw) add(choice Choice, rank uint64) {
	for i := range draw.choices {
		if draw.choices[i].Member == nil || rank > draw.ranks[i] {
			choice, draw.choices[i] = draw.choices[i], choice
			rank, draw.ranks[i] = draw.ranks[i], rank
		}
		if choice.Member == nil {
			return
		}
	}
}

// cheaper returns the cheaper of the drawn servers, or the best of all where both
// cost far more: they may be failing.
func (draw *draw) cheaper(best Choice, most float64) Choice {
	chosen := draw.choices[0]
	if second := draw.choices[1]; second.Member != nil && second.Cost < chosen.Cost {
		chosen = second
	}
	if chosen.Cost > best.Cost+most {
		return best
	}
	return chosen
}
