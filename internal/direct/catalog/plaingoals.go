package catalog

import "teaselmoor/internal/base/clock"

// plainGoals returns the shortest goal of the routes that lead to each plain service, without those
// that no route with a goal leads to.
func plainGoals(services map[string]*Service, routes []*Route) map[string]clock.Millis {
	goals := make(map[string]clock.Millis)
	for _, route := range routes {
		for _, target := range route.Targets {
			service := services[target.Service]
			if service == nil || service.Engine != nil || route.Goal <= 0 || target.Weight <= 0 && len(route.Targets) > 1 {
				continue
			}
			if known := goals[target.Service]; known == 0 || route.Goal < known {
				goals[target.Service] = route.Goal
			}
		}
	}
	return goals
}

// PlainGoal returns the shortest goal of the routes that lead to a plain service, or 0 if there is
// none.
func (catalog *Catalog) PlainGoal(service string) clock.Millis {
	return catalog.plainGoals[service]
}
