package loading_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
)

// TestCopies checks the number of copies for waiting prompts, which must be read within the
// time that a load takes.
func TestCopies(t *testing.T) {
	const load = 250 * clock.Millisecond
	for _, each := range []struct {
		name   string
		demand loading.Demand
		copies int
	}{
		{"idle", loading.Demand{}, 0},
		{"one prompt", loading.Demand{Backlog: 76, Uses: 1, Runs: 1, Holders: 1}, 0},
		{"read before a copy is loaded", loading.Demand{Backlog: 240, Uses: 4, Runs: 4, Holders: 1}, 0},
		{"a popular adapter", loading.Demand{Backlog: 1000, Uses: 13, Runs: 13, Holders: 1}, 3},
		{"some are being loaded", loading.Demand{Backlog: 1000, Uses: 13, Runs: 13, Holders: 1, Loading: 2}, 1},
		{"more than needed are being loaded", loading.Demand{Backlog: 1000, Uses: 13, Runs: 13, Holders: 1, Loading: 9}, 0},
		{"other holders have less to do", loading.Demand{Backlog: 1500, Uses: 13, Runs: 13, Holders: 8}, 0},
		{"one of many adapters", loading.Demand{Backlog: 1000, Uses: 2, Runs: 13, Holders: 1}, 0},
		{"bounded", loading.Demand{Backlog: 60_000, Uses: 700, Runs: 700}, loading.MaxCopies},
	} {
		require.Equal(t, each.copies, loading.CopiesNeeded(each.demand, load), each.name)
	}
	require.Zero(t, loading.CopiesNeeded(loading.Demand{Backlog: 1000, Uses: 13, Runs: 13}, 0), "no load was observed")
}

// TestAdoptedEstimates: a daemon that orders no loads uses the estimates of other daemons, and
// empty ones do not replace them.
func TestAdoptedEstimates(t *testing.T) {
	observer := loading.NewLoadRate()
	require.Equal(t, loading.RateEstimate{}, observer.Estimate())
	observer.Observe(loading.Observation{InFlight: 1, Servers: 78, MinTime: 240, MaxTime: 250})
	for range 20 {
		observer.Observe(loading.Observation{InFlight: 78, Servers: 78, MinTime: 480, MaxTime: 500})
	}
	receiver := loading.NewLoadRate()
	receiver.SetEstimate(observer.Estimate())
	require.InDelta(t, float64(observer.LoadTime()), float64(receiver.LoadTime()), 1)
	require.InDelta(t, observer.FullSpeedLoads(78), receiver.FullSpeedLoads(78), 1)
	require.True(t, loading.RateEstimate{LoadTime: 250, AtOnce: 40}.SimilarTo(loading.RateEstimate{LoadTime: 240, AtOnce: 42}))
	require.False(t, loading.RateEstimate{LoadTime: 250, AtOnce: 40}.SimilarTo(loading.RateEstimate{LoadTime: 250, AtOnce: 20}))
	receiver.SetEstimate(loading.RateEstimate{})
	require.InDelta(t, float64(observer.LoadTime()), float64(receiver.LoadTime()), 1)
}

// TestCopiesForShortGapGoal: prompts of 4,300 tokens for a popular adapter wait at an engine
// that reads 19 tokens per millisecond and whose streams may pause for 300 ms. A copy must
// be loaded before they pause for longer. A load takes 288 ms.
func TestCopiesForShortGapGoal(t *testing.T) {
	demand := loading.Demand{Backlog: 225, Uses: 9, Runs: 9, Holders: 1}
	require.Zero(t, loading.CopiesNeeded(demand, loading.MaxReadingTime(288, 0)), "streams without a gap goal")
	demand.Backlog = 310
	require.Equal(t, 1, loading.CopiesNeeded(demand, loading.MaxReadingTime(288, 300)))
	require.Zero(t, loading.CopiesNeeded(demand, loading.MaxReadingTime(288, 700)))
	demand.Loading = 1
	require.Zero(t, loading.CopiesNeeded(demand, loading.MaxReadingTime(288, 300)), "a copy is being loaded already")
}
