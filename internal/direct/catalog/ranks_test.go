package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/catalog"
)

// TestCompetingRanks guards against services counting as contended whose callers are all equally
// urgent, or of which only one kind of route has a gap goal.
func TestCompetingRanks(t *testing.T) {
	route := func(kind catalog.Kind, rank int, services ...string) *catalog.Route {
		route := &catalog.Route{Kind: kind, GapGoal: 300, Rank: rank}
		for _, service := range services {
			route.Targets = append(route.Targets, catalog.Target{Service: service, Weight: 1})
		}
		return route
	}
	without := route(catalog.Streaming, 1, "no goal")
	without.GapGoal = 0
	found := catalog.New(1, catalog.Limits{}, nil, []*catalog.Route{
		route(catalog.Streaming, 0, "two", "one", "no goal", "plain"), route(catalog.Streaming, 2, "two"), route(catalog.Streaming, 0, "one", "two"),
		without, route(catalog.Idempotent, 1, "plain"),
	}, nil)
	require.True(t, found.CompetingRanks("two"))
	for _, service := range []string{"one", "no goal", "plain", "unknown"} {
		require.False(t, found.CompetingRanks(service), service)
	}
}
