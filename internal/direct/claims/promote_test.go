package claims_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
)

// TestPromotedDaemonWaitsForTheQuietSpan: it has not heard every claim until now, and a
// daemon that it never heard may have given orders up to then.
func TestPromotedDaemonWaitsForTheQuietSpan(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := begun(&now)
	now += 20 * clock.Second
	daemon.Tick(now)
	daemon.Promoted(now)
	for promoted := now; now < promoted+options.Quiet; now += 100 {
		daemon.Tick(now)
		daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Orderers: []string{}})
		require.Empty(t, daemon.Claim(now, []string{"s1", "s2", "s3", "s4"}))
	}
	daemon.Tick(now)
	require.NotEmpty(t, daemon.Claim(now, []string{"s1", "s2", "s3", "s4"}))
}

// TestLateMeeting: a daemon that found others late says that it may claim servers before it
// does.
func TestLateMeeting(t *testing.T) {
	now := clock.Millis(1_000_000)
	options := claims.DefaultOptions(lease, true)
	daemon := claims.New(options, "a", now, wallAt(&now))
	for range 12 {
		now += 100
		daemon.Tick(now)
	}
	daemon.Announced(now)
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500})
	for announced := now; now < announced+400; now += 100 {
		daemon.Tick(now)
		require.Empty(t, daemon.Claim(now, []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}))
	}
	daemon.Tick(now)
	require.NotEmpty(t, daemon.Claim(now, []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}))
}

// TestIdleDaemonIsPassedOver: a free server does not wait for a daemon that keeps what
// it has and claims no more; what that one has stays its own.
func TestIdleDaemonIsPassedOver(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := begun(&now)
	servers := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}
	idle := claims.Heartbeat{Peer: "b", Interval: 500, Claims: []claims.Claim{{Server: "s1", Fence: 7}}, Idle: true}
	for range options.Quiet/100 + 10 {
		now += 100
		daemon.Tick(now)
		daemon.ApplyHeartbeat(now, idle)
		daemon.Claim(now, servers)
	}
	for _, server := range servers[1:] {
		_, held := daemon.Holds(server)
		require.True(t, held, server)
	}
	_, held := daemon.Holds("s1")
	require.False(t, held)
}

// TestNamedNoMore: a daemon that starts does not wait for one that nobody names any more.
func TestNamedNoMore(t *testing.T) {
	servers := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}
	now := clock.Millis(1_000_000)
	options := claims.DefaultOptions(lease, true)
	daemon := claims.New(options, "a", now, wallAt(&now))
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Orderers: []string{"a", "c"}})
	for range options.StartWait / 100 {
		now += 100
		daemon.Tick(now)
	}
	require.Empty(t, daemon.Claim(now, servers), "c was not heard")
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Orderers: []string{"a"}})
	require.NotEmpty(t, daemon.Claim(now, servers))
}
