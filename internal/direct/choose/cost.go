package choose

import (
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
)

// mixer is 2^64 divided by the golden ratio; multiplying by it spreads a hash over all bits.
const mixer = 0x9E3779B97F4A7C15

// rank returns the rendezvous hash of an adapter and a server. The servers in descending
// order of rank are the adapter's rendezvous order, which is the same at every daemon.
func rank(adapter uint64, member *fleet.Member) uint64 {
	mixed := (adapter ^ member.Hash) * mixer
	mixed ^= mixed >> 32
	return mixed * mixer
}

// preferredRanks are the highest ranks of an adapter among the servers, in descending order.
type preferredRanks [maxHomes]uint64

// maxHomes is the upper bound of Weights.Homes.
const maxHomes = 4

// add inserts a rank if it is among the highest.
func (preferredRanks *preferredRanks) add(rank uint64) {
	for i, other := range preferredRanks {
		if rank > other {
			preferredRanks[i], rank = rank, other
		}
	}
}

// position returns the position of a rank in the rendezvous order, at most limit.
func (preferredRanks *preferredRanks) position(rank uint64, limit int) int {
	for i := range min(limit, len(preferredRanks)) {
		if preferredRanks[i] <= rank {
			return i
		}
	}
	return min(limit, len(preferredRanks))
}

// tieBreaker is a cost below 1 ms that differs by request and server. It breaks ties between
// equal servers, where otherwise the first one would get all requests.
func tieBreaker(query Query, member *fleet.Member) float64 {
	return float64(rank(query.Attempt, member)>>32) / (1 << 32)
}

// baseCost is the cost of a server without the costs of loading the adapter and of late streams.
// It also returns the time for reading all prompts there, the request's own included.
func (weights Weights) baseCost(query Query, servers *fleet.Fleet, member *fleet.Member, load inflight.Load, speed float64) (cost, reading float64) {
	reading = weights.readingTime(load.Reading+query.Prompt, speed)
	cost = reading + weights.Full*float64(load.Runs)/float64(max(1, member.Slots))
	if beyond := load.Runs + 1 - member.Slots; beyond > 0 {
		cost += weights.queueTime(member, speed) * float64(beyond)
	}
	cost += weights.Trouble * servers.FailureRate(query.Now, member)
	if member.Suspect(query.Now) {
		cost += weights.Suspect
	}
	if member.DataCentre != query.DataCentre {
		cost += weights.Away
	}
	return cost, reading
}

// queueTime is the expected time until the next slot of a full server becomes free.
func (weights Weights) queueTime(member *fleet.Member, speed float64) float64 {
	if weights.Slot == 0 || member.Slots == 0 {
		return weights.Queued
	}
	return weights.Slot / float64(member.Slots) / speed
}

// loadCost is the cost of loading an adapter that the server does not hold.
func (weights Weights) loadCost(query Query, member *fleet.Member, position, copies int) float64 {
	if slot, ok := member.Slot(query.Adapter); ok && slot.Coming {
		return weights.Coming
	}
	if member.RecentlyHeld(query.Adapter) {
		return weights.AtHand
	}
	cost := weights.Load + weights.Step*float64(position)
	if query.HasOwner != nil && !query.HasOwner(member.ID) {
		cost += weights.Orderless
	}
	if copies > 0 {
		cost += weights.Copy
	}
	return cost
}

// crowdingCost is the cost of a server whose adapter slots are all in use: the requests of
// one adapter have to end before another adapter can be loaded.
func (weights Weights) crowdingCost(query Query, member *fleet.Member, work *inflight.Tracker) float64 {
	beyond := work.AdapterCount(member.ID) + 1 - query.AdapterSlots
	if beyond <= 0 || query.Adapter.Name == "" {
		return 0
	}
	return weights.Crowded * float64(beyond)
}

// ready reports whether a server holds what a request needs and can run it at once.
func ready(member *fleet.Member, query Query) bool {
	if query.Adapter.Model == "" {
		return true
	}
	if query.Adapter.Name == "" {
		return member.HoldsModel(query.Adapter.Model)
	}
	slot, ok := member.Slot(query.Adapter)
	return ok && !slot.Coming && slot.Version >= query.Version
}
