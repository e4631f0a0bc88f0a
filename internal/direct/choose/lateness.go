package choose

import (
	"math"

	"teaselmoor/internal/direct/fleet"
)

// A stream is late if a pause between two of its events exceeds the gap goal. An engine reads
// prompts between the decoding steps of its streams, so the pause that a prompt causes follows
// from the prompt tokens that the engine has to read and from its speed.
const (
	// The probability of being late rises from 0 to 1 between these pauses, as shares of the
	// gap goal. Under even load 0.03, 0.12 and 0.46 of the streams were late at expected pauses
	// of 0.24, 0.38 and 0.63, as prompts of other daemons arrive meanwhile.
	safePause, latePause = 0.3, 1.2
	// maxOthers is the largest number of running streams that count as delayed by a prompt.
	maxOthers = 4
	// minSpeed and maxSpeed bound the speed factors of servers. chooseHolder relies on the
	// upper bound.
	minSpeed, maxSpeed = 0.2, 4.0
)

// speedOf returns the speed factor of a server. It is 1 if the speed is unknown or invalid.
func speedOf(speed func(server string) float64, member *fleet.Member) float64 {
	if speed == nil {
		return 1
	}
	factor := speed(member.ID)
	if factor >= minSpeed && factor <= maxSpeed {
		return factor
	}
	if math.IsNaN(factor) || factor <= 0 {
		return 1
	}
	return min(max(factor, minSpeed), maxSpeed)
}

// maxSpeed returns the highest speed factor that a server may have.
func (query Query) maxSpeed() float64 {
	switch {
	case query.Speed == nil:
		return 1
	case query.FastestSpeed > 0:
		return min(max(query.FastestSpeed, 1), maxSpeed) // servers without a valid speed count as 1
	default:
		return maxSpeed
	}
}

// interval returns the time between two events of a server's streams while it reads no prompt,
// or 0 if it is unknown.
func (query Query) interval(member *fleet.Member) float64 {
	if query.Interval == nil {
		return 0
	}
	if interval := query.Interval(member.ID); interval > 0 {
		return interval
	}
	return 0
}

// countsLateness reports whether late streams are part of the cost.
func (weights Weights) countsLateness(query Query) bool {
	return weights.Late > 0 && query.GapGoal > 0
}

// lateness returns the cost of a pause of this many milliseconds for a request, and for
// streams that run at the same server.
func (weights Weights) lateness(query Query, pause float64, streams int) float64 {
	share := pause / float64(query.GapGoal)
	probability := min(max((share-safePause)/(latePause-safePause), 0), 1)
	return weights.Late * probability * (1 + weights.LateOthers*float64(min(streams, maxOthers)))
}

// readingTime is the time in milliseconds in which a server of the given speed reads a prompt.
func (weights Weights) readingTime(tokens int, speed float64) float64 {
	return float64(tokens) / (weights.ReadTokensPerMS * speed)
}

// isCheapest reports whether no server that would have to load the adapter can be preferred to
// lowest, the cheapest holder, nor be CopyTo if the request is sent to chosen.
func (weights Weights) isCheapest(query Query, lowest, chosen Choice) bool {
	least := weights.readingTime(query.Prompt, query.maxSpeed())
	if lowest.base > least+min(weights.AtHand, weights.Coming, weights.Load) {
		return false
	}
	return !query.Frequent || chosen.base <= least+weights.Relief
}

// canRun reports whether a server may be sent the request and can run it at once.
func (query Query) canRun(member *fleet.Member) bool {
	return member.Service == query.Service && !member.Draining && ready(member, query) && !query.Excludes(member)
}
