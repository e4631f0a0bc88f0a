package loading_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
)

// TestCopies: as many as arrive before the prompts that wait are read.
func TestCopies(t *testing.T) {
	const load = 250 * clock.Millisecond
	for _, each := range []struct {
		name   string
		demand loading.Demand
		copies int
	}{
		{"idle", loading.Demand{}, 0},
		{"one prompt", loading.Demand{Backlog: 76, Uses: 1, Runs: 1, Holders: 1}, 0},
		{"read before a copy came", loading.Demand{Backlog: 240, Uses: 4, Runs: 4, Holders: 1}, 0},
		{"a popular adapter", loading.Demand{Backlog: 1000, Uses: 13, Runs: 13, Holders: 1}, 3},
		{"some are on their way", loading.Demand{Backlog: 1000, Uses: 13, Runs: 13, Holders: 1, Loading: 2}, 1},
		{"more are on their way", loading.Demand{Backlog: 1000, Uses: 13, Runs: 13, Holders: 1, Loading: 9}, 0},
		{"others hold it with less to do", loading.Demand{Backlog: 1500, Uses: 13, Runs: 13, Holders: 8}, 0},
		{"one of many adapters", loading.Demand{Backlog: 1000, Uses: 2, Runs: 13, Holders: 1}, 0},
		{"bounded", loading.Demand{Backlog: 60_000, Uses: 700, Runs: 700}, loading.MostCopies},
	} {
		require.Equal(t, each.copies, loading.CopiesNeeded(each.demand, load), each.name)
	}
	require.Zero(t, loading.CopiesNeeded(loading.Demand{Backlog: 1000, Uses: 13, Runs: 13}, 0), "no load was observed")
}

// TestAdoptedRate: a daemon that orders no loads decides by what others have observed.
func TestAdoptedRate(t *testing.T) {
	learned := loading.NewLoadRate()
	require.Equal(t, loading.RateEstimate{}, learned.Estimate())
	learned.Observe(loading.Observation{OnWay: 1, Servers: 78, Least: 240, Most: 250})
	for range 20 {
		learned.Observe(loading.Observation{OnWay: 78, Servers: 78, Least: 480, Most: 500})
	}
	told := loading.NewLoadRate()
	told.SetEstimate(learned.Estimate())
	require.InDelta(t, float64(learned.LoadTime()), float64(told.LoadTime()), 1)
	require.InDelta(t, learned.FullSpeedLoads(78), told.FullSpeedLoads(78), 1)
	require.True(t, loading.RateEstimate{LoadTime: 250, AtOnce: 40}.SimilarTo(loading.RateEstimate{LoadTime: 240, AtOnce: 42}))
	require.False(t, loading.RateEstimate{LoadTime: 250, AtOnce: 40}.SimilarTo(loading.RateEstimate{LoadTime: 250, AtOnce: 20}))
	told.SetEstimate(loading.RateEstimate{})
	require.InDelta(t, float64(learned.LoadTime()), float64(told.LoadTime()), 1)
}

// TestCopiesBeforeStreamsPause replays the prompts of a popular adapter at an engine whose
// streams may pause for 300 ms: 4,300 tokens at 19 a millisecond. A load takes 288 ms.
func TestCopiesBeforeStreamsPause(t *testing.T) {
	demand := loading.Demand{Backlog: 225, Uses: 9, Runs: 9, Holders: 1}
	require.Zero(t, loading.CopiesNeeded(demand, loading.MaxReadingTime(288, 0)), "streams that may pause for any time")
	demand.Backlog = 310
	require.Equal(t, 1, loading.CopiesNeeded(demand, loading.MaxReadingTime(288, 300)))
	require.Zero(t, loading.CopiesNeeded(demand, loading.MaxReadingTime(288, 700)))
	demand.Loading = 1
	require.Zero(t, loading.CopiesNeeded(demand, loading.MaxReadingTime(288, 300)), "one is on its way")
}
