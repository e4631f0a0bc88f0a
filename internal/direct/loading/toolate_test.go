package loading_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
)

// TestSlowFirstLoadDoesNotBlockOthers: the first load of a daemon took 2.3 s because a link
// stalled, and so its estimate is too high. It must still try the next load.
func TestSlowFirstLoadDoesNotBlockOthers(t *testing.T) {
	rate := loading.NewLoadRate()
	rate.Observe(loading.Observation{InFlight: 1, Servers: 4, MinTime: 2200, MaxTime: 2285})
	const maxWait = 1920 * clock.Millisecond
	require.Greater(t, rate.LoadTime(), maxWait)
	require.False(t, loading.LoadTooLate(0, rate.LoadTime(), maxWait))
	require.True(t, loading.LoadTooLate(1, rate.LoadTime(), maxWait), "another load is ahead")
	require.False(t, loading.LoadTooLate(8, maxWait, maxWait))
}
