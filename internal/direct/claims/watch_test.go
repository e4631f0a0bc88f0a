package claims_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
)

// aloneDaemon returns a daemon that hears no other, and has begun to count the orders of server s.
func aloneDaemon(now clock.Millis, wall clock.Source, name string, seed uint64) *claims.Registry {
	daemon := claims.New(claims.DefaultOptions(lease, true), name, now, wall, seeded(seed))
	daemon.SetAlone(true)
	return daemon
}

// TestDaemonsThatClaimInOneMillisecondShareNoFencingToken guards against equal numbers of two daemons whose names have the same few bits of a
// hash.
func TestDaemonsThatClaimInOneMillisecondShareNoFencingToken(t *testing.T) {
	now := clock.Millis(1_796_000_000_000)
	fences := make(map[int64]bool)
	for seed, name := range []string{"front-rabat-a-1", "front-casa-b-3"} {
		daemon := claims.New(claims.DefaultOptions(lease, true), name, now-clock.Second, wallAt(&now), seeded(uint64(seed)))
		for at := now - clock.Second; at <= now; at += 100 {
			daemon.Tick(at)
		}
		require.Equal(t, []string{"s"}, daemon.Claim(now, []string{"s"}))
		fence, _ := daemon.Holds("s")
		require.False(t, fences[fence], "token %d of two daemons", fence)
		fences[fence] = true
	}
}

// TestAloneDaemonClaimsOnlyServersWhoseOrdersHaveCeased guards against a takeover from an owner that is not heard, as seeds are down.
func TestAloneDaemonClaimsOnlyServersWhoseOrdersHaveCeased(t *testing.T) {
	now := clock.Millis(1_000_000)
	options := claims.DefaultOptions(lease, true)
	daemon := aloneDaemon(now, wallAt(&now), "a", 1)
	servers := []string{"s"}
	count, lastOrder := int64(0), now
	for range 400 {
		now += 100
		daemon.Tick(now)
		if now < 1_030_000 && now%700 == 0 { // orders of the owner that is not heard
			count++
			lastOrder = now
		}
		if len(daemon.Watched(now, servers)) > 0 {
			daemon.CountOrders(now, "s", count)
		}
		if claimed := daemon.Claim(now, servers); len(claimed) > 0 {
			require.GreaterOrEqual(t, now-lastOrder, options.Quiet)
			expected, ok := daemon.ExpectedOrders("s")
			require.True(t, ok)
			require.Equal(t, count, expected)
			return
		}
	}
	require.Fail(t, "the server is never claimed")
}

// TestOwnerIsContestedByOrdersThatItDidNotGive checks that a daemon gives up a server whose orders another one gave since it was watched, and
// does not watch it once a peer turns out to own it.
func TestOwnerIsContestedByOrdersThatItDidNotGive(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := startedDaemon(&now)
	for end := now + options.StartWait; now <= end; now += 100 {
		daemon.Tick(now)
		daemon.Claim(now, []string{"s"})
	}
	_, ok := daemon.ExpectedOrders("s")
	require.False(t, ok, "the daemon is not alone")
	daemon.Contest(now, "s")
	_, ok = daemon.Holds("s")
	require.False(t, ok)
	require.True(t, daemon.Watches())
	require.Equal(t, []string{"s"}, daemon.Watched(now, []string{"s"}))
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Claims: []claims.Claim{{Server: "s", Fence: 7}}})
	require.Empty(t, daemon.Watched(now, []string{"s"}))
	require.False(t, daemon.Watches())
}
