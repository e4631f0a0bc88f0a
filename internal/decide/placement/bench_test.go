package placement_test

import (
	"fmt"
	"testing"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/placement"
)

const slots = 16

func adapterOf(index int) ident.Adapter {
	return ident.Adapter{Name: fmt.Sprintf("adapter-%05d", index), Version: "1"}
}

// newFleet returns a pool of engines with full slots, and views of them.
func newFleet(adapters, engines int) ([]*config.Engine, *placement.Views) {
	pool := make([]*config.Engine, 0, engines)
	views := placement.NewViews()
	for i := range engines {
		engine := &config.Engine{Name: ident.EngineID(fmt.Sprintf("engine-%04d", i)), MaxRuns: 32, Slots: slots}
		pool = append(pool, engine)
		state := message.EngineState{Engine: engine.Name, Owner: "daemon", Fence: 1, Running: i % 8, Spare: float64(i % 5)}
		for slot := range slots {
			state.Resident = append(state.Resident, adapterOf((i*slots+slot)%adapters))
		}
		views.Update(1, state)
	}
	return pool, views
}

// BenchmarkChoose places requests for all adapters one after another. Most adapters
// are not resident at any engine.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ adapters, engines int }{
		{3000, 9}, {15000, 30}, {15000, 100}, {3000, 300}, {15000, 300}, {15000, 1500},
	} {
		b.Run(fmt.Sprintf("adapters=%d/engines=%d", size.adapters, size.engines), func(b *testing.B) {
			pool, views := newFleet(size.adapters, size.engines)
			queries := make([]placement.Query, size.adapters)
			for i := range queries {
				queries[i] = placement.Query{Adapter: adapterOf(i), Pool: pool}
			}
			policy := placement.New(placement.DefaultWeights())
			for _, query := range queries {
				policy.Choose(clock.Second, query, views)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				policy.Choose(clock.Second, queries[i%len(queries)], views)
			}
		})
	}
}

// BenchmarkUpdate applies states of an engine that differ in one slot.
func BenchmarkUpdate(b *testing.B) {
	for _, engines := range []int{9, 300} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			_, views := newFleet(15000, engines)
			states := [2]message.EngineState{}
			for i := range states {
				states[i] = message.EngineState{Engine: "engine-0000", Owner: "daemon", Fence: 1}
				for slot := range slots {
					states[i].Resident = append(states[i].Resident, adapterOf(slot+i))
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				state := states[i%2]
				state.Version = uint64(i)
				views.Update(1, state)
			}
		})
	}
}
