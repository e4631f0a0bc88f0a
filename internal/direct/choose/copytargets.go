package choose

import (
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
)

// CopyTargets returns up to limit servers that should load another copy of an adapter, the
// cheapest first: servers that do not have it and where a request would start soonest.
// The first servers of the adapter's rendezvous order are preferred.
func (weights Weights) CopyTargets(query Query, adapterHash uint64, servers *fleet.Fleet, work *inflight.Tracker, limit int) []*fleet.Member {
	usable := servers.Usable(query.Service)
	_, preferred := rankServers(usable, query, adapterHash)
	places := weights.copyPlaces(query, servers)
	var candidates []Choice
	for _, member := range usable {
		if _, has := member.Slot(query.Adapter); has || !weights.canLoad(query, member) {
			continue
		}
		position := preferred.position(rank(adapterHash, member), weights.Homes)
		base, _ := weights.baseCost(query, servers, member, work.Load(member.ID), speedOf(query.Speed, member))
		cost := base + weights.Step*float64(position) + weights.crowdingCost(query, member, work)
		if member.RecentlyHeld(query.Adapter) {
			cost += weights.AtHand - weights.Load
		}
		candidates = append(candidates, Choice{Member: member, Cost: cost})
	}
	return places.cheapest(candidates, limit)
}

// canLoad reports whether a server can be ordered to load an adapter now.
func (weights Weights) canLoad(query Query, member *fleet.Member) bool {
	hasOwner := query.HasOwner == nil || query.HasOwner(member.ID)
	return hasOwner && member.HoldsModel(query.Adapter.Model) && !member.Suspect(query.Now)
}
