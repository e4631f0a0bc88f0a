package lease_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/lease"
)

// timeout is that of all work.
const timeout = 1000

// checkUntil calls Expire at each Check interval from one time to another, with heartbeats of a peer where renews is true.
func checkUntil(leases *lease.Leases, from, until clock.Millis, renews bool) []lease.Expiry {
	options := lease.DefaultOptions()
	var expired []lease.Expiry
	for now := from; now <= until; now += options.Check {
		if renews && now%options.Renew == 0 {
			leases.Renew(now, "d1")
		}
		expired = append(expired, leases.Expire(now, false)...)
	}
	return expired
}

// TestWorkEndsWithoutHeartbeats guards against work that goes on for a peer that is silent, and against the end of work for one that is not.
func TestWorkEndsWithoutHeartbeats(t *testing.T) {
	leases := lease.New(lease.DefaultOptions())
	ended := 0
	leases.Hold(1000, "d1", timeout, func() { ended++ })
	require.Empty(t, checkUntil(leases, 1000, 5000, true))
	leases.Hold(5000, "d1", timeout, func() { ended++ })
	require.Equal(t, []lease.Expiry{{Holder: "d1", Silent: timeout, Ended: 2}}, checkUntil(leases, 5020, 6100, false))
	require.Equal(t, 2, ended)
	require.False(t, leases.Held())
}

// TestShortPauseEndsNoWork guards against streams that end as their daemon pauses for half a second.
func TestShortPauseEndsNoWork(t *testing.T) {
	leases := lease.New(lease.DefaultOptions())
	leases.Hold(1000, "d1", timeout, func() { t.Error("the work has ended") })
	require.Empty(t, checkUntil(leases, 1000, 2080, true))
	require.Empty(t, checkUntil(leases, 2100, 2580, false)) // the last heartbeat came at 2000, 80 ms before the pause
	require.Empty(t, checkUntil(leases, 2600, 4000, true))
}

// TestOwnPauseIsNotTheirSilence guards against work that ends as this daemon has not read the heartbeats of its peers.
func TestOwnPauseIsNotTheirSilence(t *testing.T) {
	leases := lease.New(lease.DefaultOptions())
	leases.Hold(1000, "d1", timeout, func() {})
	require.Empty(t, checkUntil(leases, 1000, 2000, true))
	require.Empty(t, leases.Expire(5000, false))
	require.False(t, leases.Silent(5000, "d1"))
	require.Empty(t, checkUntil(leases, 5020, 5980, false))
	require.True(t, leases.Silent(5980, "d1"))
	require.Len(t, checkUntil(leases, 6000, 6020, false), 1)
}

// TestEachWorkHasItsTimeout guards against work that ends too early or too late beside other work for the same peer.
func TestEachWorkHasItsTimeout(t *testing.T) {
	leases := lease.New(lease.DefaultOptions())
	leases.Hold(1000, "d1", timeout, func() {})
	leases.Hold(1000, "d1", 2*timeout, func() {})
	require.Equal(t, []lease.Expiry{{Holder: "d1", Silent: timeout, Ended: 1}, {Holder: "d1", Silent: 2 * timeout, Ended: 1}}, checkUntil(leases, 1000, 4000, false))
}

// TestIsolatedDaemonDoesNotWait guards against work that goes on at a daemon that cannot be told that another one has taken it over.
func TestIsolatedDaemonDoesNotWait(t *testing.T) {
	leases := lease.New(lease.DefaultOptions())
	leases.Hold(1000, "d1", timeout, func() {})
	for now := clock.Millis(1000); now < 1600; now += 20 {
		require.Empty(t, leases.Expire(now, true))
	}
	require.Len(t, leases.Expire(1600, true), 1)
}

// TestReleasedWorkIsNotEnded guards against requests that are ended after they have been answered.
func TestReleasedWorkIsNotEnded(t *testing.T) {
	leases := lease.New(lease.DefaultOptions())
	first := leases.Hold(1000, "d1", timeout, func() { t.Error("the work was released") })
	second := leases.Hold(1000, "d1", timeout, func() { t.Error("the work was released") })
	leases.Release("d1", first)
	require.True(t, leases.Held())
	leases.Release("d1", second)
	leases.Release("d1", second)
	require.False(t, leases.Held())
	require.Empty(t, checkUntil(leases, 1000, 3000, false))
}
