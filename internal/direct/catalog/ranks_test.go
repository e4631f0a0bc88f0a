package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/catalog"
)

// TestCompetingRanks guards against a part for competing callers being active where all callers
// have the same rank, have no gap goal, or use a plain service.
func TestCompetingRanks(t *testing.T) {
	route := func(rank int, service string, change func(*catalog.Route)) *catalog.Route {
		made := &catalog.Route{Kind: catalog.Streaming, GapGoal: 300, Rank: rank, Targets: []catalog.Target{{Service: service, Weight: 1}}}
		if change != nil {
			change(made)
		}
		return made
	}
	services := []*catalog.Service{{Name: "engines", Engine: &catalog.Engine{}}, {Name: "plain"}}
	competing := func(routes ...*catalog.Route) bool {
		return catalog.New(1, catalog.Limits{}, services, routes, nil).CompetingRanks("engines")
	}
	first := route(0, "engines", nil)
	require.True(t, competing(first, route(1, "engines", nil)))
	require.False(t, competing(first, route(0, "engines", nil)))
	require.False(t, competing(first, route(1, "plain", nil)))
	require.False(t, competing(first, route(1, "engines", func(route *catalog.Route) { route.GapGoal = 0 })))
	require.False(t, competing(first, route(1, "engines", func(route *catalog.Route) { route.Kind = catalog.Idempotent })))
	two := []catalog.Target{{Service: "plain", Weight: 1}, {Service: "engines"}}
	require.False(t, competing(first, route(1, "", func(route *catalog.Route) { route.Targets = two })), "no request is sent there")
	plain := catalog.New(1, catalog.Limits{}, services, []*catalog.Route{route(0, "plain", nil), route(1, "plain", nil)}, nil)
	require.False(t, plain.CompetingRanks("plain"))
}
