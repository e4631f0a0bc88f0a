package speed_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/speed"
)

// unreachedReplay plays the loss of the hub of one of four data centres of a site with 140 engines
// of three speeds, and returns the time that an engine of that data centre is treated as slow
// although it is not: all of them were slow when the hub was lost, and were as fast as before soon
// afterwards. The hub comes back after a time, with estimates that have not changed if it is short.
func unreachedReplay(t *testing.T, options speed.Options, lostFor clock.Millis) (wrong clock.Millis) {
	table := speed.New(options)
	servers := serversOf(replayServers, 1)
	table.SetServers(start, servers)
	lost := make(map[string]bool)
	var estimates []speed.Estimate
	for i, server := range servers {
		estimate := speed.Estimate{Server: server.ID, Born: 1, Fence: 1, Number: 1, Interval: usualInterval / replaySpeeds[i%3]}
		if i%4 == 0 {
			lost[server.ID] = true
			estimate.Interval *= slowTimes
		}
		estimates = append(estimates, estimate)
	}
	table.Merge(start, estimates)
	before := table.Factor(start, "s0")
	for now := start; now < start+lostFor; now += 500 {
		table.Contact(now) // its own hub is there
		fading := table.SetReached(now, func(server string) bool { return !lost[server] })
		require.Equal(t, options.UnreachedFade > 0 && now > start+options.UnreachedFade, fading == replayServers/4)
		require.InDelta(t, replaySpeeds[1], table.Factor(now, "s1"), 0.35, "servers of other data centres keep their factors")
		if table.Factor(now, "s0") < 0.9 {
			wrong += 500
		}
	}
	require.Zero(t, table.SetReached(start+lostFor, func(string) bool { return true }))
	require.InDelta(t, before, table.Factor(start+lostFor+200, "s0"), 0.01, "the owner is heard of again, and has published nothing else")
	return wrong
}

// TestReplayUnreachedOwner guards against servers that are avoided for most of a minute because of a
// slow period that their owner could not report the end of, and against estimates that are lost
// while a hub is replaced.
func TestReplayUnreachedOwner(t *testing.T) {
	off := speed.DefaultOptions()
	off.UnreachedFade = 0
	for _, lostFor := range []clock.Millis{4 * clock.Second, clock.Minute} {
		before, after := unreachedReplay(t, off, lostFor), unreachedReplay(t, speed.DefaultOptions(), lostFor)
		t.Logf("hub lost for %d ms: treated as slow for %d ms before, %d ms after", lostFor, before, after)
		require.Equal(t, lostFor, before)
		require.LessOrEqual(t, after, 10*clock.Second)
	}
}
