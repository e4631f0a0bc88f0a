package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
)

// TestCompetingRanks guards against admission control for services without competing callers,
// where every prompt would be announced for nothing, and against its absence where callers
// compete.
func TestCompetingRanks(t *testing.T) {
	engines := &catalog.Service{Name: "engines", Engine: &catalog.Engine{}}
	plain := &catalog.Service{Name: "plain"}
	route := func(kind catalog.Kind, rank int, gapGoal clock.Millis, services ...string) *catalog.Route {
		route := &catalog.Route{Kind: kind, Rank: rank, GapGoal: gapGoal}
		for _, service := range services {
			route.Targets = append(route.Targets, catalog.Target{Service: service, Weight: 1})
		}
		return route
	}
	for name, each := range map[string]struct {
		routes  []*catalog.Route
		service string
		want    bool
	}{
		"two ranks":             {[]*catalog.Route{route(catalog.Streaming, 0, 300, "engines"), route(catalog.Streaming, 2, 200, "plain", "engines")}, "engines", true},
		"one rank":              {[]*catalog.Route{route(catalog.Streaming, 1, 300, "engines"), route(catalog.Streaming, 1, 300, "engines")}, "engines", false},
		"no gap goal":           {[]*catalog.Route{route(catalog.Streaming, 0, 300, "engines"), route(catalog.Streaming, 1, 0, "engines")}, "engines", false},
		"one route streams":     {[]*catalog.Route{route(catalog.Streaming, 0, 300, "engines"), route(catalog.Idempotent, 1, 300, "engines")}, "engines", false},
		"a plain service":       {[]*catalog.Route{route(catalog.Streaming, 0, 300, "plain"), route(catalog.Streaming, 1, 300, "plain")}, "plain", false},
		"an unknown service":    {[]*catalog.Route{route(catalog.Streaming, 0, 300, "other"), route(catalog.Streaming, 1, 300, "other")}, "other", false},
		"ranks of two services": {[]*catalog.Route{route(catalog.Streaming, 0, 300, "engines"), route(catalog.Streaming, 1, 300, "plain")}, "engines", false},
	} {
		built := catalog.New(1, catalog.Limits{}, []*catalog.Service{engines, plain}, each.routes, nil)
		require.Equal(t, each.want, built.CompetingRanks(each.service), name)
		if each.want {
			require.Equal(t, clock.Millis(200), built.ServiceGapGoal(each.service), "the shortest of the service's routes")
		}
	}
}

// TestCompetingRanksOfUnusedTarget guards against callers counting as competing for a service to
// which their route sends nothing.
func TestCompetingRanksOfUnusedTarget(t *testing.T) {
	engines, other := &catalog.Service{Name: "engines", Engine: &catalog.Engine{}}, &catalog.Service{Name: "other", Engine: &catalog.Engine{}}
	var routes []*catalog.Route
	for rank := range 2 {
		targets := []catalog.Target{{Service: "engines", Weight: 1}, {Service: "other"}}
		routes = append(routes, &catalog.Route{Kind: catalog.Streaming, Rank: rank, GapGoal: 300, Targets: targets})
	}
	built := catalog.New(1, catalog.Limits{}, []*catalog.Service{engines, other}, routes, nil)
	require.True(t, built.CompetingRanks("engines"))
	require.False(t, built.CompetingRanks("other"))
}
