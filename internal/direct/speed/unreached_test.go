package speed_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/speed"
)

// TestReplayUnreachedOwner guards against servers that are avoided for a minute because the hub of
// their owners was lost while they were slow, and against estimates that are lost while a hub is
// replaced. The hub of a quarter of 140 servers is lost, and comes back with the same estimates.
func TestReplayUnreachedOwner(t *testing.T) {
	for fade, expected := range map[clock.Millis]clock.Millis{0: clock.Minute, 5 * clock.Second: 9500} {
		options, lost, slowFor := speed.DefaultOptions(), make(map[string]bool), clock.Millis(0)
		options.UnreachedFade = fade
		table, servers := speed.New(options), serversOf(replayServers, 1)
		table.SetServers(start, servers)
		for i, server := range servers {
			interval := usualInterval / replaySpeeds[i%3]
			if lost[server.ID] = i%4 == 0; i%4 == 0 {
				interval *= slowTimes
			}
			table.Merge(start, []speed.Estimate{{Server: server.ID, Born: 1, Fence: 1, Number: 1, Interval: interval}})
		}
		before, other := table.Factor(start, "s0"), table.Factor(start, "s2")
		now := start
		for ; now < start+clock.Minute; now += 500 {
			table.Contact(now) // its own hub is there
			fading := table.SetReached(now, func(server string) bool { return !lost[server] })
			require.Equal(t, fade > 0 && now > start+fade, fading == replayServers/4)
			require.Equal(t, fade == 0 || now <= start+fade, table.Factor(now, "s0") == before)
			require.InDelta(t, other, table.Factor(now, "s2"), 0.01)
			if table.Factor(now, "s0") < 0.9 {
				slowFor += 500
			}
		}
		require.Equal(t, expected, slowFor, "time for which the first server counts as slow")
		require.Zero(t, table.SetReached(now, func(string) bool { return true }))
		require.InDelta(t, before, table.Factor(now+200, "s0"), 0.01)
	}
}

// TestRemovedServerIsNotUnreached guards against the removal of a server looking like owners that cannot
// be reached, as long as its estimate is kept.
func TestRemovedServerIsNotUnreached(t *testing.T) {
	table, servers := speed.New(speed.DefaultOptions()), serversOf(4, 1)
	table.SetServers(start, servers)
	for _, server := range servers {
		table.Merge(start, []speed.Estimate{{Server: server.ID, Born: 1, Fence: 1, Number: 1, Interval: usualInterval}})
	}
	for now := start; now < start+clock.Minute; now += 500 {
		table.SetServers(now, servers[1:])
		require.Zero(t, table.SetReached(now, func(server string) bool { return server != servers[0].ID }))
	}
}
