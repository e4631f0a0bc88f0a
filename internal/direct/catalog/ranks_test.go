package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
)

// TestCompetingRanks guards against a part for competing callers being active where all callers
// have the same rank, have no gap goal, or use a plain service.
func TestCompetingRanks(t *testing.T) {
	route := func(rank int, gapGoal clock.Millis, kind catalog.Kind, service string) *catalog.Route {
		targets := []catalog.Target{{Service: service, Weight: 1}, {Service: "unused"}}
		return &catalog.Route{Kind: kind, GapGoal: gapGoal, Rank: rank, Targets: targets}
	}
	var services []*catalog.Service
	for _, name := range []string{"engines", "unused"} {
		services = append(services, &catalog.Service{Name: name, Engine: &catalog.Engine{}})
	}
	services = append(services, &catalog.Service{Name: "plain"})
	competing := func(service string, second *catalog.Route) bool {
		routes := []*catalog.Route{route(0, 300, catalog.Streaming, service), second}
		return catalog.New(1, catalog.Limits{}, services, routes, nil).CompetingRanks(service)
	}
	require.True(t, competing("engines", route(1, 300, catalog.Streaming, "engines")))
	require.False(t, competing("engines", route(0, 300, catalog.Streaming, "engines")))
	require.False(t, competing("engines", route(1, 0, catalog.Streaming, "engines")))
	require.False(t, competing("engines", route(1, 300, catalog.Idempotent, "engines")))
	require.False(t, competing("engines", route(1, 300, catalog.Streaming, "unused")), "the target has no weight")
	require.False(t, competing("plain", route(1, 300, catalog.Streaming, "plain")))
}
