package choose

import (
	"cmp"
	"slices"

	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
)

// CopyTargets returns the servers that should load further copies of an adapter, the best
// first: those that do not have it and where a request would begin soonest. Where it has
// homes left, they come first.
func (weights Weights) CopyTargets(query Query, adapterHash uint64, servers *fleet.Fleet, work *inflight.Tracker, most int) []*fleet.Member {
	usable := servers.Usable(query.Service)
	_, first := survey(usable, query, adapterHash)
	var spares []Choice
	for _, member := range usable {
		if _, has := member.Slot(query.Adapter); has || !weights.takesCopy(query, member) {
			continue
		}
		steps := first.steps(rank(adapterHash, member), weights.Homes)
		cost := weights.base(query, servers, work, member) + weights.Step*float64(steps) + weights.crowding(query, member, work)
		if member.RecentlyHeld(query.Adapter) {
			cost += weights.AtHand - weights.Load
		}
		spares = append(spares, Choice{Member: member, Cost: cost})
	}
	slices.SortStableFunc(spares, func(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) })
	var chosen []*fleet.Member
	for _, spare := range spares[:min(most, len(spares))] {
		chosen = append(chosen, spare.Member)
	}
	return chosen
}

// takesCopy reports whether a server can be asked to load an adapter now.
func (weights Weights) takesCopy(query Query, member *fleet.Member) bool {
	ordered := query.HasOwner == nil || query.HasOwner(member.ID)
	return ordered && member.HoldsModel(query.Adapter.Model) && !member.Suspect(query.Now)
}
