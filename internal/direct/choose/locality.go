package choose

import (
	"math"
	"slices"

	"teaselmoor/internal/direct/fleet"
)

// Limits up to which short requests stay in the daemon's own data centre.
const (
	// localLoad is the average load, in requests for each slot, up to which a server in the own
	// data centre is preferred even if others have less work. At half of its slots in use a
	// server with several slots rarely queues requests.
	localLoad = 0.5
	// localFailingMargin is how much higher than the lowest failure rate that of a preferred server
	// may be. A single failed answer raises it by less, two in a row by more.
	localFailingMargin = 0.25
)

// prefersLocal reports whether servers in the daemon's own data centre are preferred.
func (weights Weights) prefersLocal(query Query) bool {
	return query.PreferLocal && weights.Nearby > 0 && query.DataCentre != ""
}

// isLocal reports whether a server is in the daemon's own data centre.
func (query Query) isLocal(member *fleet.Member) bool {
	return member.DataCentre == query.DataCentre
}

// localHolders are the holders in the daemon's own data centre, if these are preferred.
type localHolders struct {
	query  Query
	active bool
	best   Choice // the cheapest
	draw   draw
}

func (weights Weights) localHolders(query Query) localHolders {
	return localHolders{query: query, active: weights.prefersLocal(query), draw: draw{bySpeed: query.Speed != nil}}
}

// add adds a holder if it is local.
func (localHolders *localHolders) add(found *holder) {
	if !localHolders.active || !localHolders.query.isLocal(found.Member) {
		return
	}
	localHolders.draw.add(found)
	if localHolders.best.Member == nil || found.Cost < localHolders.best.Cost {
		localHolders.best = found.Choice
	}
}

// prefer draws a local holder like one of all holders, and returns it unless drawn, which was
// drawn from all, costs less by more than Nearby.
func (localHolders *localHolders) prefer(drawn Choice, weights Weights) Choice {
	if localHolders.best.Member == nil {
		return drawn
	}
	if local := localHolders.draw.pick(localHolders.best, weights); local.Cost <= drawn.Cost+weights.Nearby {
		return local
	}
	return drawn
}

// copyPlaces are the data centres that hold an adapter, by which further copies are spread.
type copyPlaces struct {
	query   Query
	nearby  float64 // 0: copies are not spread over data centres
	holding []string
}

// copyPlaces returns the data centres with a server that holds a query's adapter or is loading it.
// Servers that are ending or could not be reached do not count, as they may not serve requests.
func (weights Weights) copyPlaces(query Query, servers *fleet.Fleet) copyPlaces {
	if !weights.prefersLocal(query) {
		return copyPlaces{}
	}
	places := copyPlaces{query: query, nearby: weights.Nearby}
	for _, member := range servers.Holders(query.Adapter) {
		if member.Service == query.Service && !member.Draining && !member.Suspect(query.Now) {
			places.add(member)
		}
	}
	return places
}

// add records that a server holds the adapter.
func (copyPlaces *copyPlaces) add(member *fleet.Member) {
	if copyPlaces.nearby > 0 && !slices.Contains(copyPlaces.holding, member.DataCentre) {
		copyPlaces.holding = append(copyPlaces.holding, member.DataCentre)
	}
}

// cost returns what a copy at a server costs for its data centre: Nearby if it is another one, and
// Nearby if it holds the adapter already. Both add up.
func (copyPlaces *copyPlaces) cost(member *fleet.Member) float64 {
	if copyPlaces.nearby == 0 {
		return 0
	}
	cost := 0.0
	if !copyPlaces.query.isLocal(member) {
		cost += copyPlaces.nearby
	}
	if slices.Contains(copyPlaces.holding, member.DataCentre) {
		cost += copyPlaces.nearby
	}
	return cost
}

// cheapest returns up to limit servers, the cheapest first. Each one chosen makes its data centre
// one that holds the adapter.
func (copyPlaces *copyPlaces) cheapest(candidates []Choice, limit int) []*fleet.Member {
	var chosen []*fleet.Member
	for len(chosen) < limit && len(candidates) > 0 {
		cheapest, lowest := 0, math.Inf(1)
		for i, candidate := range candidates {
			if cost := candidate.Cost + copyPlaces.cost(candidate.Member); cost < lowest {
				cheapest, lowest = i, cost
			}
		}
		chosen = append(chosen, candidates[cheapest].Member)
		copyPlaces.add(candidates[cheapest].Member)
		candidates = slices.Delete(candidates, cheapest, cheapest+1)
	}
	return chosen
}

// preferLocalShort returns the candidates in the daemon's own data centre that have little work, or
// no more than the best one elsewhere, or all candidates if there are none. A server that becomes
// busy therefore sheds requests to other data centres before it queues them.
func (weights Weights) preferLocalShort(query Query, candidates []shortCandidate) []shortCandidate {
	if !weights.prefersLocal(query) {
		return candidates
	}
	remoteLoad, failing := math.Inf(1), math.Inf(1)
	for _, candidate := range candidates {
		failing = min(failing, candidate.failing)
		if !query.isLocal(candidate.member) {
			remoteLoad = min(remoteLoad, candidate.load)
		}
	}
	local := filter(candidates, func(candidate shortCandidate) bool {
		return query.isLocal(candidate.member) && candidate.load <= max(localLoad, remoteLoad) && candidate.failing <= failing+localFailingMargin
	})
	if len(local) == 0 {
		return candidates
	}
	return local
}
