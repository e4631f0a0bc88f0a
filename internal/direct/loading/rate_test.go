package loading_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
)

// weightStore simulates a weight store that sends up to atOnce adapters at full speed.
type weightStore struct {
	loadTime clock.Millis
	atOnce   int
	servers  int
}

// load simulates a load with the checks that a planner makes. InFlight is the number of
// loads in flight at its start, itself included.
func (store weightStore) load(rate *loading.LoadRate, inFlight int) {
	took := store.loadTime * clock.Millis(max(inFlight, store.atOnce)) / clock.Millis(store.atOnce)
	observation := loading.Observation{InFlight: inFlight, Servers: store.servers, MaxTime: rate.FirstCheck(inFlight, store.servers)}
	for observation.MaxTime < took {
		observation.MinTime = observation.MaxTime
		observation.MaxTime += loading.DefaultOptions().CheckInterval
	}
	rate.Observe(observation)
}

// TestRateConverges simulates loads at stores of several speeds, with few loads in flight up
// to twice as many as the store sends at full speed.
func TestRateConverges(t *testing.T) {
	for _, store := range []weightStore{
		{loadTime: 250, atOnce: 8, servers: 9},
		{loadTime: 250, atOnce: 16, servers: 18},
		{loadTime: 288, atOnce: 48, servers: 90},
		{loadTime: 600, atOnce: 20, servers: 10},
	} {
		t.Run(fmt.Sprintf("%d of %d", store.atOnce, store.servers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			rate := loading.NewLoadRate()
			for range 300 {
				store.load(rate, 1+random.IntN(2*store.atOnce))
			}
			require.InEpsilon(t, int64(store.loadTime), int64(rate.LoadTime()), 0.12)
			require.InEpsilon(t, store.atOnce, rate.FullSpeedLoads(store.servers), 0.15)
		})
	}
}

// TestRateFollowsStoreThatSlowsDown: earlier observations must not outweigh the present ones.
func TestRateFollowsStoreThatSlowsDown(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	store := weightStore{loadTime: 250, atOnce: 16, servers: 18}
	rate := loading.NewLoadRate()
	for range 200 {
		store.load(rate, 1+random.IntN(2*store.atOnce))
	}
	store.atOnce = 6
	for range 200 {
		store.load(rate, 1+random.IntN(2*store.atOnce))
	}
	require.InEpsilon(t, store.atOnce, rate.FullSpeedLoads(store.servers), 0.2)
}
