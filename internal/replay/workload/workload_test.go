package workload_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/replay/workload"
)

func TestTraceFollowsFromItsSeed(t *testing.T) {
	first := workload.Trace(workload.Cantabrica(), 7, 3, 10*clock.Minute)
	require.Equal(t, first, workload.Trace(workload.Cantabrica(), 7, 3, 10*clock.Minute))
	require.NotEqual(t, first, workload.Trace(workload.Cantabrica(), 8, 3, 10*clock.Minute))
}

func TestTraceKeepsItsRateAndSkew(t *testing.T) {
	const duration = 10 * clock.Hour
	trace := workload.Trace(workload.Cantabrica(), 1, 3, duration)
	require.InEpsilon(t, 3, float64(len(trace))/duration.Seconds(), 0.1)
	requests := map[int]int{}
	for _, request := range trace {
		requests[request.Adapter]++
	}
	most := 0
	for _, count := range requests {
		most = max(most, count)
	}
	// The most popular of 3,000 adapters at exponent 1 has a share of 1 in 8.6.
	require.InEpsilon(t, 1/8.6, float64(most)/float64(len(trace)), 0.5)
}

// TestFloodLeavesTheTraceAsItIs checks that Flood keeps the trace's own requests, so
// that results with and without a flood can be compared.
func TestFloodLeavesTheTraceAsItIs(t *testing.T) {
	trace := workload.Trace(workload.Cantabrica(), 1, 3, clock.Minute)
	flooded := workload.Flood(workload.Cantabrica(), 1, trace, 5, clock.Minute)
	require.Greater(t, len(flooded), len(trace))
	require.Subset(t, flooded, trace)
	require.Equal(t, trace, workload.Flood(workload.Cantabrica(), 1, trace, 0, clock.Minute))
}
