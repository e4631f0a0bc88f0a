package brittle_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/brittle"
)

func load(inProgress int) brittle.Load {
	return brittle.Load{Server: "s", Service: "records", Slots: 6, InProgress: inProgress, Daemons: 7, Share: 1.0 / 7}
}

// TestRoomOfBrittleServers: a brittle server gets no more requests than it runs at once; others are not
// bounded.
func TestRoomOfBrittleServers(t *testing.T) {
	servers := brittle.New()
	require.False(t, servers.Full(1000, load(50)))
	require.True(t, servers.Announced(1000, "records", 4))
	require.False(t, servers.Announced(1100, "records", 4))
	require.False(t, servers.Full(1100, load(5)))
	require.True(t, servers.Full(1100, load(6)))
	other := load(50)
	other.Service = "engines"
	require.False(t, servers.Full(1100, other))
	unknown := load(50)
	unknown.Slots = 0
	require.False(t, servers.Full(1100, unknown))
	require.False(t, servers.NotAnnounced(1200, "records"), "an answer that was overtaken")
	require.True(t, servers.NotAnnounced(1700, "records"))
	require.False(t, servers.Full(1700, load(50)))
	require.False(t, servers.NotAnnounced(1700, "records"))
}

// TestRejectionsShrinkRoom: a server that turns requests away gets fewer, and more again so slowly that
// all daemons together do not have too many turned away.
func TestRejectionsShrinkRoom(t *testing.T) {
	const rejections = 4
	servers := brittle.New()
	servers.Announced(0, "records", rejections)
	servers.Rejected(1000, "s", 5)
	require.True(t, servers.Full(1000, load(4)))
	require.False(t, servers.Full(1000, load(3)))
	servers.Rejected(1000, "s", 6)
	require.True(t, servers.Full(1000, load(4)), "a rejection at a higher load says nothing new")
	rejected := 0
	for now := clock.Millis(1000); now < 61_000; now += 100 {
		if !servers.Full(now, load(4)) { // the server still has room for four only
			servers.Rejected(now, "s", 5)
			rejected++
		}
	}
	require.Positive(t, rejected)
	require.LessOrEqual(t, 7*rejected, rejections*60, "by 7 daemons, in 60 s")
	uneven := brittle.Load{Server: "other", Service: "records", Slots: 9, InProgress: 3, Own: 2, Daemons: 7, Share: 1.0 / 7}
	require.True(t, servers.Full(61_000, uneven), "the others may use the rest before they learn of each other")
	uneven.InProgress, uneven.Own = 2, 1
	require.False(t, servers.Full(61_000, uneven))
	uneven.Own, uneven.InProgress, uneven.Share = 6, 7, 0.9
	require.False(t, servers.Full(61_000, uneven), "most callers come here")
	servers.Retain(func(string) bool { return false })
	require.False(t, servers.Full(61_000, load(5)))
}
