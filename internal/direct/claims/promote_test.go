package claims_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
)

// TestPromotedDaemonWaitsForQuiet checks that a promoted daemon claims nothing for Quiet. As
// it did not receive every claim before, a daemon unknown to it may have sent orders.
func TestPromotedDaemonWaitsForQuiet(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := startedDaemon(&now)
	now += 20 * clock.Second
	daemon.Tick(now)
	daemon.Promoted(now)
	for promoted := now; now < promoted+options.Quiet; now += 100 {
		daemon.Tick(now)
		daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, OrderSenders: []string{}})
		require.Empty(t, daemon.Claim(now, []string{"s1", "s2", "s3", "s4"}))
	}
	daemon.Tick(now)
	require.NotEmpty(t, daemon.Claim(now, []string{"s1", "s2", "s3", "s4"}))
}

// TestLateDiscovery checks that a daemon that discovers its peers late announces that it may
// claim servers 400 ms before it does, so that peers can send it their claims first.
func TestLateDiscovery(t *testing.T) {
	now := clock.Millis(1_000_000)
	options := claims.DefaultOptions(lease, true)
	daemon := claims.New(options, "a", now, wallAt(&now), seeded(1))
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

// TestIdleDaemonIsNotChosen checks that a daemon that claims no more servers is not chosen
// for free ones, and keeps those that it owns.
func TestIdleDaemonIsNotChosen(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := startedDaemon(&now)
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

// TestOrderSenderNoLongerReported checks that a starting daemon stops waiting for a daemon that
// no peer reports as one that may send orders any more.
func TestOrderSenderNoLongerReported(t *testing.T) {
	servers := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}
	now := clock.Millis(1_000_000)
	options := claims.DefaultOptions(lease, true)
	daemon := claims.New(options, "a", now, wallAt(&now), seeded(1))
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, OrderSenders: []string{"a", "c"}})
	for range options.StartWait / 100 {
		now += 100
		daemon.Tick(now)
	}
	require.Empty(t, daemon.Claim(now, servers), "c sent no heartbeat")
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, OrderSenders: []string{"a"}})
	require.NotEmpty(t, daemon.Claim(now, servers))
}
