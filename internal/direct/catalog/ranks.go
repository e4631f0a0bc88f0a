package catalog

// CompetingRanks reports whether the streaming routes with a gap goal that lead to an engine
// service have at least two different ranks, so that their callers compete for the same engines.
func (catalog *Catalog) CompetingRanks(service string) bool {
	if known, ok := catalog.Services[service]; !ok || known.Engine == nil {
		return false
	}
	ranks := make(map[int]bool)
	for _, routes := range catalog.routes {
		for _, route := range routes {
			if route.Kind == Streaming && route.GapGoal > 0 && route.targets(service) {
				ranks[route.Rank] = true
			}
		}
	}
	return len(ranks) >= 2
}

// targets reports whether requests of the route may be sent to a service.
func (route *Route) targets(service string) bool {
	for _, target := range route.Targets {
		if target.Service == service && (target.Weight > 0 || len(route.Targets) == 1) {
			return true
		}
	}
	return false
}
