package catalog

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

// competition describes the streaming routes with a gap goal that lead to an engine service.
type competition struct {
	ranks   []int        // distinct
	gapGoal clock.Millis // the shortest
}

// competitions returns the competition for each engine service that streaming routes with a gap
// goal lead to.
func competitions(services map[string]*Service, routes []*Route) map[string]competition {
	found := make(map[string]competition)
	for _, route := range routes {
		if route.Kind != Streaming || route.GapGoal <= 0 {
			continue
		}
		for _, target := range route.Targets {
			service := services[target.Service]
			if service == nil || service.Engine == nil || target.Weight <= 0 && len(route.Targets) > 1 {
				continue
			}
			known := found[target.Service]
			if !slices.Contains(known.ranks, route.Rank) {
				known.ranks = append(known.ranks, route.Rank)
			}
			if known.gapGoal == 0 || route.GapGoal < known.gapGoal {
				known.gapGoal = route.GapGoal
			}
			found[target.Service] = known
		}
	}
	return found
}

// CompetingRanks reports whether callers of different urgency compete for the engines of a
// service: streaming routes of two ranks or more with a gap goal lead to it.
func (catalog *Catalog) CompetingRanks(service string) bool {
	return len(catalog.competing[service].ranks) > 1
}

// ServiceGapGoal returns the shortest gap goal of the streaming routes that lead to an engine
// service, or 0 if none has one.
func (catalog *Catalog) ServiceGapGoal(service string) clock.Millis {
	return catalog.competing[service].gapGoal
}
