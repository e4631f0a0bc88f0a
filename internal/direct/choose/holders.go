package choose

import (
	"math"

	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
)

// holder is a server that can run the request at once.
type holder struct {
	Choice
	idleCost float64 // cost by speed alone, as if the server had no other work
	usable   bool    // the server has a free slot and could be reached
	rank     uint64  // random rank for this request
}

// holder returns a server that can run the request at once. The cost of late streams counts
// only in the comparison of such servers: counted against loads and copies as well, it doubled
// the requests whose first event was late, as it added half to the loads.
func (weights Weights) holder(query Query, servers *fleet.Fleet, work *inflight.Tracker, member *fleet.Member) holder {
	load, speed := work.Load(member.ID), speedOf(query.Speed, member)
	cost, reading := weights.baseCost(query, servers, member, load, speed)
	cost += tieBreaker(query, member)
	holder := holder{Choice: Choice{Member: member, Ready: true, Cost: cost, base: cost}, rank: rank(query.Attempt, member)}
	if query.Speed == nil && !weights.countsLateness(query) {
		return holder
	}
	holder.idleCost = weights.readingTime(query.Prompt, speed)
	holder.usable = load.Runs < max(1, member.Slots) && !member.Suspect(query.Now)
	if weights.countsLateness(query) {
		interval := query.interval(member)
		holder.Cost += weights.lateness(query, interval+reading, load.Runs)
		holder.idleCost += weights.lateness(query, interval+holder.idleCost, 0)
	}
	return holder
}

// draw picks a server from the holders for a request of one of many daemons.
type draw struct {
	bySpeed bool // slow servers are not drawn
	drawn   twoChoices
	holders []holder // to draw from when all are known
}

// add adds a holder.
func (draw *draw) add(found *holder) {
	if !draw.bySpeed {
		draw.drawn.add(found.Choice, found.rank)
		return
	}
	if draw.holders == nil {
		draw.holders = make([]holder, 0, 16)
	}
	draw.holders = append(draw.holders, *found)
}

// pick returns the cheaper of two holders that are drawn at random, or best, the cheapest of
// all, if that costs much less.
//
// The draw guards against counts of work that are out of date. Speeds change too slowly to need
// it, so slow servers are not drawn: a third of the requests for an adapter with holders of
// all speeds would be sent to servers known to be slow. A server whose slots are all taken
// does not exclude slower ones, so that these are used when the fast ones are full.
func (draw *draw) pick(best Choice, weights Weights) Choice {
	limit := math.Inf(1)
	for _, holder := range draw.holders {
		if holder.usable {
			limit = min(limit, holder.idleCost+weights.Relief)
		}
	}
	if draw.within(limit) < 2 {
		limit = math.Inf(1) // a single fast server would get the requests of all daemons
	}
	for _, holder := range draw.holders {
		if holder.idleCost <= limit {
			draw.drawn.add(holder.Choice, holder.rank)
		}
	}
	return draw.drawn.pick(best, weights.Load)
}

// within returns the number of holders whose cost by speed alone is within a limit.
func (draw *draw) within(limit float64) int {
	count := 0
	for _, holder := range draw.holders {
		if holder.idleCost <= limit {
			count++
		}
	}
	return count
}
