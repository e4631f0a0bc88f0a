package loading_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
)

// weightStore sends adapters at full speed up to a number.
type weightStore struct {
	loadTime clock.Millis
	atOnce   int
	servers  int
}

// load follows a load that begins as the last of so many on their way, with the looks
// that a planner would take.
func (store weightStore) load(rate *loading.LoadRate, onWay int) {
	took := store.loadTime * clock.Millis(max(onWay, store.atOnce)) / clock.Millis(store.atOnce)
	seen := loading.Observation{OnWay: onWay, Servers: store.servers, Most: rate.FirstLook(onWay, store.servers)}
	for seen.Most < took {
		seen.Least = seen.Most
		seen.Most += loading.DefaultOptions().CheckInterval
	}
	rate.Observe(seen)
}

// TestRateIsLearned replays loads at stores of several speeds, from few on their way to
// twice as many as travel at full speed.
func TestRateIsLearned(t *testing.T) {
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

// TestRateFollowsAStoreThatSlowsDown: what was learned is not kept against what is seen.
func TestRateFollowsAStoreThatSlowsDown(t *testing.T) {
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
