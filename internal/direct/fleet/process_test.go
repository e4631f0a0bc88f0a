package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
)

// TestRestartSeenBeforeItsEntry guards against what was known of a server's former process being taken to hold for the one
// that has answered, until the entry of that one is read.
func TestRestartSeenBeforeItsEntry(t *testing.T) {
	servers := fleet.New(fleet.DefaultOptions())
	entry := server("a")
	entry.StartedAt, entry.Software = 5, "v1"
	entry.Models = []platformapi.Holding{{Model: "m0", Adapters: map[string]int{"a1": 1}}}
	servers.Put(entry, 1)
	held := platformapi.Adapter{Model: "m0", Name: "a1"}
	require.Len(t, servers.Holders(held), 1)

	require.False(t, servers.SeeProcess(platformapi.Process{Server: "a", StartedAt: 5}))
	require.True(t, servers.SeeProcess(platformapi.Process{Server: "a", StartedAt: 9}))
	require.False(t, servers.SeeProcess(platformapi.Process{Server: "a", StartedAt: 9}))
	require.False(t, servers.SeeProcess(platformapi.Process{Server: "unknown", StartedAt: 9}))
	member, _ := servers.Member("a")
	require.Empty(t, member.Software)
	require.Empty(t, servers.Holders(held))
	require.False(t, member.RecentlyHeld(held))
	require.True(t, member.HoldingsUnknown())

	entry.Slots++
	servers.Put(entry, 2) // the former process wrote it before it ended
	require.EqualValues(t, 9, member.StartedAt)
	require.Empty(t, servers.Holders(held))

	entry.StartedAt, entry.Software = 9, "v1.1"
	servers.Put(entry, 3)
	require.Equal(t, "v1.1", member.Software)
	for startedAt, software := range map[int64]string{5: "v1", 9: "v1.1"} {
		version, ok := member.SoftwareOf(startedAt)
		require.True(t, ok)
		require.Equal(t, software, version)
	}
	entry.StartedAt = 7
	servers.Put(entry, 4) // the clock of the server's machine was set back
	require.EqualValues(t, 7, member.StartedAt)
}
