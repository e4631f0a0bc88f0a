package choose

import "teaselmoor/internal/direct/fleet"

// An answer that has not ended at its caller's deadline is cut off: the caller cannot use what
// it was sent, and the work of the engine is lost. The stated maximum of output tokens bounds the
// length of an answer, so a server that is too slow for a long answer is known before it begins.
const (
	// The probability of being cut off rises from 0 to 1 between these times to the end, as
	// shares of the time left. The estimate is uncertain to both sides: answers may be shorter
	// than stated, and engines slow down for less time than the estimates of their speeds show.
	safeEnd, lostEnd = 0.7, 1.2
	// pauseFactor is how much longer than the time between two events while an engine reads no
	// prompt the mean time is, as decoding steps in which it reads prompts as well take longer.
	pauseFactor = 1.3
	// Beyond lostEnd the cost rises further by excessSlope for each multiple of the time left, and by
	// maxExcess in all, so that the fastest engine is chosen if all are too slow: the answer may be
	// shorter than stated. With maxExcess it still costs less than a server that cannot be reached.
	excessSlope, maxExcess = 1.0, 2.0
)

// ExpectedEnd returns the expected time in milliseconds until a server has read this many prompt
// tokens, the request's own included, and sent the longest answer that the caller has stated. It
// is 0 if the length of the answer or the speed of the server is unknown.
func (weights Weights) ExpectedEnd(query Query, member *fleet.Member, tokens int) float64 {
	return query.expectedEnd(member, weights.readingTime(tokens, speedOf(query.Speed, member)))
}

// expectedEnd is ExpectedEnd for a server that reads for this many milliseconds. It is called for
// each server of a placement; a copy of the query would take longer than the calculation.
func (query *Query) expectedEnd(member *fleet.Member, reading float64) float64 {
	if query.Output <= 0 || !(query.EventTokens > 0) || query.Interval == nil {
		return 0
	}
	interval := query.Interval(member.ID)
	if !(interval > 0) {
		return 0
	}
	return reading + float64(query.Output)/query.EventTokens*interval*pauseFactor
}

// completionCost returns the cost of an answer that may be cut off by its deadline at a server that
// reads for this many milliseconds before it begins. It is part of all costs that are compared,
// those of loads included: the answer is lost, whichever server would have been cheaper.
func (weights *Weights) completionCost(query *Query, member *fleet.Member, reading float64) float64 {
	if weights.Completion <= 0 || query.Left <= 0 || query.Output <= 0 {
		return 0
	}
	share := query.expectedEnd(member, reading) / float64(query.Left)
	if share <= safeEnd {
		return 0
	}
	probability := min((share-safeEnd)/(lostEnd-safeEnd), 1)
	excess := min(max(share-lostEnd, 0)*excessSlope, maxExcess)
	return weights.Completion * weights.Late * (probability + excess)
}
