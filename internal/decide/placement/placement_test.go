package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/placement"
)

const now = clock.Hour

// newSmallFleet returns three engines without adapters, and current views of them.
func newSmallFleet() ([]*config.Engine, *placement.Views) {
	views := placement.NewViews()
	var pool []*config.Engine
	for _, name := range []ident.EngineID{"a", "b", "c"} {
		pool = append(pool, &config.Engine{Name: name, MaxRuns: 4, Slots: 2})
		views.Update(now, message.EngineState{Engine: name, Owner: "daemon", Fence: 1})
	}
	return pool, views
}

func weights() placement.Weights {
	return placement.Weights{LoadCost: 2, SpareCost: 1, AffinityCost: 0.01, AffinitySetSize: 2, MaxStateAge: 10 * clock.Second}
}

// TestHolderComesFirst checks that an engine that holds the adapter, or will load it for
// waiting requests, is chosen. Otherwise the adapter would be loaded twice.
func TestHolderComesFirst(t *testing.T) {
	for _, example := range []struct {
		name  string
		state message.EngineState
	}{
		{"resident", message.EngineState{Resident: []ident.Adapter{adapterOf(1)}}},
		{"wanted", message.EngineState{Wanted: []ident.Adapter{adapterOf(1)}}},
	} {
		t.Run(example.name, func(t *testing.T) {
			for _, holder := range []ident.EngineID{"a", "b", "c"} {
				engines, views := newSmallFleet()
				example.state.Engine, example.state.Fence, example.state.Version = holder, 1, 2
				views.Update(now, example.state)
				engine, _ := placement.New(weights()).Choose(now, placement.Query{Adapter: adapterOf(1), Pool: engines}, views)
				require.Equal(t, holder, engine.Name)
			}
		})
	}
}

// TestQueueSpillsOver increases the holder's queue until waiting there costs more than
// a load at another engine.
func TestQueueSpillsOver(t *testing.T) {
	pool, views := newSmallFleet()
	query := placement.Query{Adapter: adapterOf(1), Pool: pool}
	for queued, spills := range map[int]bool{0: false, 4: false, 8: false, 13: true} {
		views.Update(now, message.EngineState{
			Engine: "a", Fence: 1, Version: uint64(queued + 1), Running: 0, Queued: queued, Resident: []ident.Adapter{adapterOf(1)},
		})
		views.Drop("b")
		views.Drop("c")
		views.Update(now, message.EngineState{Engine: "b", Fence: 1})
		views.Update(now, message.EngineState{Engine: "c", Fence: 1})
		engine, _ := placement.New(weights()).Choose(now, query, views)
		require.Equal(t, spills, engine.Name != "a", "%d queued", queued)
		views.Drop("a")
	}
}

// TestDaemonsAgreeOnColdAdapter checks that policies without shared state choose the
// same engine for an adapter that no engine holds.
func TestDaemonsAgreeOnColdAdapter(t *testing.T) {
	chosen := map[ident.EngineID]int{}
	for adapter := range 300 {
		pool, views := newSmallFleet()
		query := placement.Query{Adapter: adapterOf(adapter), Pool: pool}
		first, _ := placement.New(weights()).Choose(now, query, views)
		otherPool, otherViews := newSmallFleet()
		query.Pool = otherPool
		second, _ := placement.New(weights()).Choose(now, query, otherViews)
		require.Equal(t, first.Name, second.Name)
		chosen[first.Name]++
	}
	require.Len(t, chosen, 3, "cold adapters are spread over the pool")
}

func TestColdAdapterGoesToEngineWithLowestSpare(t *testing.T) {
	pool, views := newSmallFleet()
	for name, spare := range map[ident.EngineID]float64{"a": 3, "b": 1, "c": 2} {
		views.Update(now, message.EngineState{Engine: name, Fence: 1, Version: 1, Spare: spare})
	}
	wide := weights()
	wide.AffinitySetSize = 3
	engine, _ := placement.New(wide).Choose(now, placement.Query{Adapter: adapterOf(1), Pool: pool}, views)
	require.Equal(t, ident.EngineID("b"), engine.Name)
}

// TestRefusalListsEveryEngine checks that a refused request has a verdict on every
// engine of the pool.
func TestRefusalListsEveryEngine(t *testing.T) {
	pool, views := newSmallFleet()
	pool[0].Leaving = true
	views.Update(now, message.EngineState{Engine: "b", Fence: 1, Version: 1, Quarantined: true})
	query := placement.Query{Adapter: adapterOf(1), Pool: pool, Tried: []ident.EngineID{"c"}}
	engine, candidates := placement.New(weights()).Choose(now, query, views)
	require.Nil(t, engine)
	verdicts := map[ident.EngineID]outcome.Verdict{}
	for _, candidate := range candidates {
		verdicts[candidate.Engine] = candidate.Verdict
	}
	require.Equal(t, map[ident.EngineID]outcome.Verdict{
		"a": outcome.EngineLeaving, "b": outcome.Quarantined, "c": outcome.TriedBefore,
	}, verdicts)
}

// TestWholePoolIsUsed excludes one chosen engine after another, also those of the
// affinity set. The remaining engines of the pool must still be chosen.
func TestWholePoolIsUsed(t *testing.T) {
	pool, views := newSmallFleet()
	query := placement.Query{Adapter: adapterOf(1), Pool: pool}
	for range pool {
		engine, _ := placement.New(weights()).Choose(now, query, views)
		require.NotNil(t, engine)
		query.Tried = append(query.Tried, engine.Name)
	}
	engine, _ := placement.New(weights()).Choose(now, query, views)
	require.Nil(t, engine)
}

func TestStaleStateIsNotUsed(t *testing.T) {
	pool, views := newSmallFleet()
	query := placement.Query{Adapter: adapterOf(1), Pool: pool}
	engine, _ := placement.New(weights()).Choose(now+10*clock.Second, query, views)
	require.NotNil(t, engine)
	engine, candidates := placement.New(weights()).Choose(now+10*clock.Second+1, query, views)
	require.Nil(t, engine)
	for _, candidate := range candidates {
		require.Equal(t, outcome.EngineSilent, candidate.Verdict)
	}
}

// TestEngineOfLostOwnerIsNotChosen checks that an engine whose owner is unreachable gets
// no requests until another owner sends its state.
func TestEngineOfLostOwnerIsNotChosen(t *testing.T) {
	pool, views := newSmallFleet()
	views.Update(now, message.EngineState{Engine: "a", Owner: "gone", Fence: 1, Version: 1, Resident: []ident.Adapter{adapterOf(1)}})
	query := placement.Query{Adapter: adapterOf(1), Pool: pool}
	views.MarkOwnerLost("gone")
	engine, _ := placement.New(weights()).Choose(now, query, views)
	require.NotEqual(t, ident.EngineID("a"), engine.Name)
	views.Update(now, message.EngineState{Engine: "a", Owner: "next", Fence: 2, Resident: []ident.Adapter{adapterOf(1)}})
	engine, _ = placement.New(weights()).Choose(now, query, views)
	require.Equal(t, ident.EngineID("a"), engine.Name)
}
