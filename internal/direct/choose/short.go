package choose

import (
	"math"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
)

// CountsAge is how old the load counts of other daemons typically are at a site with hubs: they
// pass from a daemon to its hub, to another hub and to this daemon.
const CountsAge = 100 * clock.Millisecond

// shortGoalFactor is the multiple of CountsAge up to which a request's goal makes it short.
const shortGoalFactor = 2

// IsShort reports whether requests with this goal end before load counts can show them to other
// daemons, so that counts say little about the work at a server when the request arrives there.
func IsShort(goal clock.Millis) bool {
	return goal > 0 && goal <= shortGoalFactor*CountsAge
}

// LoadAverage holds the average load of servers over the last second or so. A server that is
// slow or overloaded for longer shows in it, and the fluctuations of counts that are out of date
// do not.
type LoadAverage struct {
	loads map[string]averageLoad
}

type averageLoad struct {
	perSlot float64 // requests in progress for each slot
	at      clock.Millis
}

// loadTimeConstant is the time constant of the average, ten times the age of the counts.
const loadTimeConstant = 10 * CountsAge

// NewLoadAverage returns an average without observations.
func NewLoadAverage() *LoadAverage {
	return &LoadAverage{loads: make(map[string]averageLoad)}
}

// Observe adds the present load of a server, in requests for each slot, and returns the average.
func (loadAverage *LoadAverage) Observe(now clock.Millis, server string, perSlot float64) float64 {
	known, ok := loadAverage.loads[server]
	if !ok {
		known = averageLoad{perSlot: perSlot, at: now}
	}
	weight := 1 - math.Exp(-float64(now-known.at)/float64(loadTimeConstant))
	known.perSlot += weight * (perSlot - known.perSlot)
	known.at = now
	loadAverage.loads[server] = known
	return known.perSlot
}

// Range returns the lowest and the highest average load, 0 if there is none.
func (loadAverage *LoadAverage) Range() (lowest, highest float64) {
	first := true
	for _, known := range loadAverage.loads {
		if first {
			lowest, first = known.perSlot, false
		}
		lowest, highest = min(lowest, known.perSlot), max(highest, known.perSlot)
	}
	return lowest, highest
}

// Retain drops the servers that are no longer known.
func (loadAverage *LoadAverage) Retain(known func(server string) bool) {
	for server := range loadAverage.loads {
		if !known(server) {
			delete(loadAverage.loads, server)
		}
	}
}

// failingMargin is how much higher than the lowest failure rate that of a server is which short
// requests avoid. Three failed answers in a row raise it by that much, single ones do not.
const failingMargin = 0.45

// idleLoad is added to loads before they are compared, in requests for each slot, so that
// servers with little work differ little.
const idleLoad = 0.25

// shortCandidate is a server that may be sent a short request.
type shortCandidate struct {
	member  *fleet.Member
	load    float64 // average requests for each slot
	failing float64 // failure rate
	suspect bool
}

// chooseShort draws a server for a short request. All daemons that chose the server with the
// lowest count would choose the same one until the next counts arrive, which by then show the
// opposite: two servers with 80% of their slots in use received bursts of four times the
// variance of random arrivals. Servers are drawn by their average load instead, and of two drawn
// servers the one with fewer requests of this daemon is taken.
func (weights Weights) chooseShort(query Query, servers *fleet.Fleet, work *inflight.Tracker) (Choice, bool) {
	candidates := weights.preferLocalShort(query, healthiest(query.shortCandidates(servers, work)))
	if len(candidates) == 0 {
		return Choice{}, false
	}
	lowest := candidates[0].load
	for _, candidate := range candidates {
		lowest = min(lowest, candidate.load)
	}
	var drawn twoChoices
	for _, candidate := range candidates {
		member := candidate.member
		cost := weights.Full*float64(work.Own().Loads[member.ID].Runs)/float64(max(1, member.Slots)) + tieBreaker(query, member)
		relative := (lowest + idleLoad) / (candidate.load + idleLoad)
		drawn.add(Choice{Member: member, Ready: true, Cost: cost}, weightedRank(rank(query.Attempt, member), relative*relative))
	}
	return drawn.cheaper(), true
}

// weightedRank returns a rank such that servers have the highest one in proportion to their
// weights (weighted rendezvous hashing). Weights are above 0 and at most 1.
func weightedRank(rank uint64, weight float64) uint64 {
	const scale = 1 << 53
	uniform := float64(rank>>11) / scale
	return uint64(math.Pow(uniform, 1/weight) * scale)
}

// shortCandidates returns the servers that may be sent the request.
func (query Query) shortCandidates(servers *fleet.Fleet, work *inflight.Tracker) []shortCandidate {
	usable := servers.Usable(query.Service)
	candidates := make([]shortCandidate, 0, len(usable))
	for _, member := range usable {
		load := query.Short.Observe(query.Now, member.ID, float64(work.Load(member.ID).Runs)/float64(max(1, member.Slots)))
		if !query.Excludes(member) {
			candidates = append(candidates, shortCandidate{member: member, load: load, failing: servers.FailureRate(query.Now, member), suspect: member.Suspect(query.Now)})
		}
	}
	return candidates
}

// healthiest returns the candidates that are not suspect and do not fail much more often than
// others, or all suspect ones if there are no others.
func healthiest(candidates []shortCandidate) []shortCandidate {
	reachable := filter(candidates, func(candidate shortCandidate) bool { return !candidate.suspect })
	if len(reachable) == 0 {
		reachable = candidates
	}
	lowest := 1.0
	for _, candidate := range reachable {
		lowest = min(lowest, candidate.failing)
	}
	return filter(reachable, func(candidate shortCandidate) bool { return candidate.failing <= lowest+failingMargin })
}

// filter returns the elements for which kept is true.
func filter[Element any](elements []Element, kept func(Element) bool) []Element {
	var filtered []Element
	for _, element := range elements {
		if kept(element) {
			filtered = append(filtered, element)
		}
	}
	return filtered
}
