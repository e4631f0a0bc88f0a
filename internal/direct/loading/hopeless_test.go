package loading_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
)

// TestOneSlowLoadRefusesAllLater: a daemon whose first load took 2.3 s, as a link stood still,
// takes that for the load time. It must try the next one all the same.
func TestOneSlowLoadRefusesAllLater(t *testing.T) {
	rate := loading.NewLoadRate()
	rate.Observe(loading.Observation{OnWay: 1, Servers: 4, Least: 2200, Most: 2285})
	const patience = 1920 * clock.Millisecond
	require.Greater(t, rate.LoadTime(), patience)
	require.False(t, loading.LoadTooLate(0, rate.LoadTime(), patience))
	require.True(t, loading.LoadTooLate(1, rate.LoadTime(), patience), "a queue is known")
	require.False(t, loading.LoadTooLate(8, patience, patience))
}
