package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/fleet"
)

// TestEntryTakesLeavingServerBackToWork: an entry that still says that a server is ready
// comes after the server's word that it leaves, with a higher revision.
func TestEntryTakesLeavingServerBackToWork(t *testing.T) {
	options := fleet.DefaultOptions()
	servers := fleet.New(options)
	entry := server("a")
	entry.StartedAt = 100
	leaving := entry
	leaving.Draining = true
	servers.Put(entry, 1)
	servers.Put(leaving, 2)
	servers.Put(entry, 3)
	require.Empty(t, servers.Usable(service))
	servers.Remove(1000, "a", 4)
	servers.Tick(1000 + options.Tombstone)
	servers.Put(entry, 5)
	require.Empty(t, servers.Usable(service), "its entry has lapsed and is back")
	next := entry
	next.StartedAt = 200
	servers.Put(next, 6)
	require.Equal(t, []string{"a"}, ids(servers.Usable(service)), "another process has started under its id")
	servers.Put(leaving, 7)
	require.Empty(t, servers.Usable(service))
	servers.Remove(2000, "a", 8)
	servers.Tick(2000 + options.Tombstone + 1)
	servers.Put(entry, 9)
	require.Len(t, servers.Usable(service), 1, "it is not remembered for ever")
}

// TestServerSaysItselfThatItLeaves: its word counts before the store has it, for the process
// that it is of, and is told on once.
func TestServerSaysItselfThatItLeaves(t *testing.T) {
	servers := fleet.New(fleet.DefaultOptions())
	entry := server("a")
	entry.StartedAt = 100
	servers.Put(entry, 1)
	require.False(t, servers.ApplyDrainNotice(10, fleet.DrainNotice{Server: "a", StartedAt: 50}), "the word of an earlier process")
	require.Len(t, servers.Usable(service), 1)
	word := fleet.DrainNotice{Server: "a", StartedAt: 100}
	require.True(t, servers.ApplyDrainNotice(10, word))
	require.Empty(t, servers.Usable(service))
	require.False(t, servers.ApplyDrainNotice(20, word), "it is no news any more")
	require.Equal(t, []fleet.DrainNotice{word}, servers.DrainNoticesSince(0))
	require.Empty(t, servers.DrainNoticesSince(servers.DrainNoticeCount()))
	servers.Put(entry, 2)
	require.Empty(t, servers.Usable(service), "its entry still says that it is ready")

	entry.StartedAt = 200
	servers.Put(entry, 3)
	require.Len(t, servers.Usable(service), 1, "another process has started under its id")
	require.False(t, servers.ApplyDrainNotice(30, word))

	other := server("b")
	require.True(t, servers.ApplyDrainNotice(30, fleet.DrainNotice{Server: "b"}), "it is heard of before its entry")
	servers.Put(other, 4)
	require.Len(t, servers.Usable(service), 1)
}

// TestServerThatTheStoreHasLeavingIsNotToldOn: all daemons hear of it from the store.
func TestServerThatTheStoreHasLeavingIsNotToldOn(t *testing.T) {
	servers := fleet.New(fleet.DefaultOptions())
	entry := server("a")
	entry.Draining = true
	servers.Put(entry, 1)
	require.False(t, servers.ApplyDrainNotice(10, fleet.DrainNotice{Server: "a"}))
	require.Empty(t, servers.DrainNoticesSince(0))
}
