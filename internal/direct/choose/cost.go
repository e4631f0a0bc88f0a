package choose

import (
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
)

// mixer spreads the hash of a pair over all bits (the golden ratio times 2^64).
const mixer = 0x9E3779B97F4A7C15

func rank(adapter uint64, member *fleet.Member) uint64 {
	mixed := (adapter ^ member.Hash) * mixer
	mixed ^= mixed >> 32
	return mixed * mixer
}

// homes are the highest ranks of an adapter among the servers, highest first.
type homes [mostHomes]uint64

// mostHomes bounds Weights.Homes.
const mostHomes = 4

// add takes a rank in, if it is among the highest.
func (homes *homes) add(rank uint64) {
	for i, other := range homes {
		if rank > other {
			homes[i], rank = rank, other
		}
	}
}

// steps counts the homes before a rank, up to most.
func (homes *homes) steps(rank uint64, most int) int {
	for i := range min(most, len(homes)) {
		if homes[i] <= rank {
			return i
		}
	}
	return min(most, len(homes))
}

// spread decides between servers that cost the same: without it the first one
// would get all requests that come one after another.
func spread(query Query, member *fleet.Member) float64 {
	return float64(rank(query.Attempt, member)>>32) / (1 << 32)
}

// base is the cost of a server apart from its adapters.
func (weights Weights) base(query Query, servers *fleet.Fleet, work *inflight.Tracker, member *fleet.Member) float64 {
	load := work.Load(member.ID)
	cost := float64(load.Reading+query.Prompt)/weights.ReadTokensPerMS + weights.Full*float64(load.Runs)/float64(max(1, member.Slots))
	if beyond := load.Runs + 1 - member.Slots; beyond > 0 {
		cost += weights.queued(member) * float64(beyond)
	}
	cost += weights.Trouble * servers.FailureRate(query.Now, member)
	if member.Suspect(query.Now) {
		cost += weights.Suspect
	}
	if member.DataCentre != query.DataCentre {
		cost += weights.Away
	}
	return cost
}

// queued is the time until one more slot of a server is free.
func (weights Weights) queued(member *fleet.Member) float64 {
	if weights.Slot == 0 || member.Slots == 0 {
		return weights.Queued
	}
	return weights.Slot / float64(member.Slots)
}

// load is the cost of an adapter that the server does not hold.
func (weights Weights) load(query Query, member *fleet.Member, steps, copies int) float64 {
	if slot, ok := member.Slot(query.Adapter); ok && slot.Coming {
		return weights.Coming
	}
	if member.RecentlyHeld(query.Adapter) {
		return weights.AtHand
	}
	cost := weights.Load + weights.Step*float64(steps)
	if query.HasOwner != nil && !query.HasOwner(member.ID) {
		cost += weights.Orderless
	}
	if copies > 0 {
		cost += weights.Copy
	}
	return cost
}

// crowding is the cost of a server whose places are taken by adapters in use:
// one of them has to end before another adapter can be loaded.
func (weights Weights) crowding(query Query, member *fleet.Member, work *inflight.Tracker) float64 {
	beyond := work.AdapterCount(member.ID) + 1 - query.AdapterSlots
	if beyond <= 0 || query.Adapter.Name == "" {
		return 0
	}
	return weights.Crowded * float64(beyond)
}

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
