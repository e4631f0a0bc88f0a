package choose

import (
	"math"

	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
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

// speed returns the speed factor of a server. It is 1 if the speed is unknown or invalid.
func (query Query) speed(member *fleet.Member) float64 {
	if query.Speed == nil {
		return 1
	}
	factor := query.Speed(member.ID)
	if math.IsNaN(factor) || factor <= 0 {
		return 1
	}
	return min(max(factor, minSpeed), maxSpeed)
}

// maxSpeed returns the highest speed factor that a server may have.
func (query Query) maxSpeed() float64 {
	if query.Speed == nil {
		return 1
	}
	return maxSpeed
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

// latenessCost is the expected cost of late streams if a server that runs this many requests is
// sent a prompt, with which it takes reading milliseconds to read all its prompts.
func (weights Weights) latenessCost(query Query, member *fleet.Member, reading float64, runs int) float64 {
	if !weights.countsLateness(query) {
		return 0
	}
	return weights.lateness(query, query.interval(member)+reading, runs)
}

// readingTime is the time in milliseconds in which a server of the given speed reads a prompt.
func (weights Weights) readingTime(tokens int, speed float64) float64 {
	return float64(tokens) / (weights.ReadTokensPerMS * speed)
}

// leastCost is a lower bound of the cost of any server that cannot run the request at once, and
// of CopyTo including Relief.
func (weights Weights) leastCost(query Query) float64 {
	cost := weights.readingTime(query.Prompt, query.maxSpeed())
	if weights.countsLateness(query) {
		cost += weights.lateness(query, cost, 0)
	}
	return cost + min(weights.AtHand, weights.Coming, weights.Load, weights.Relief)
}

// speedCost is the cost of a server while it has no other work.
func (weights Weights) speedCost(query Query, member *fleet.Member) float64 {
	reading := weights.readingTime(query.Prompt, query.speed(member))
	return reading + weights.latenessCost(query, member, reading, 0)
}

// drawLimit returns the highest speedCost of the servers that twoChoices may draw. Counts of
// work may be out of date, and the draw guards against this; speeds change too slowly to need
// it. Without the limit a third of the requests for an adapter with holders of all speeds
// would be sent to slow servers that are known to be slow. A server whose slots are all taken
// does not lower the limit, so that slower ones with free slots remain in the draw.
func (weights Weights) drawLimit(query Query, servers *fleet.Fleet, work *inflight.Tracker) float64 {
	if !query.ManyDaemons || query.Speed == nil {
		return math.Inf(1)
	}
	candidates := servers.Holders(query.Adapter)
	if query.Adapter.Name == "" {
		candidates = servers.Usable(query.Service)
	}
	least := math.Inf(1)
	for _, member := range candidates {
		if query.canRun(member) && !member.Suspect(query.Now) && work.Load(member.ID).Runs < max(1, member.Slots) {
			least = min(least, weights.speedCost(query, member))
		}
	}
	return least + weights.Relief
}

// canRun reports whether a server may be sent the request and can run it at once.
func (query Query) canRun(member *fleet.Member) bool {
	return member.Service == query.Service && !member.Draining && ready(member, query) && !query.excludes(member)
}
