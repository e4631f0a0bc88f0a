package catalog

// CompetingRanks reports whether streaming routes of two or more ranks send requests with a gap
// goal to a service, so that callers of different urgency compete for the same engines.
func (catalog *Catalog) CompetingRanks(service string) bool {
	return catalog.competing[service]
}

// competingServices returns the services for which CompetingRanks is true.
func competingServices(routes []*Route) map[string]bool {
	competing, ranks := make(map[string]bool), make(map[string]int)
	for _, route := range routes {
		if route.Kind != Streaming || route.GapGoal <= 0 {
			continue
		}
		for _, target := range route.Targets {
			rank, known := ranks[target.Service]
			competing[target.Service] = competing[target.Service] || known && rank != route.Rank
			ranks[target.Service] = route.Rank
		}
	}
	return competing
}
