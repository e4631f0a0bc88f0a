package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/fleet"
)

// TestEntryDoesNotEndDraining: an entry that says that a server is ready arrives after the
// draining of the server was reported, with a higher revision. It must not end the draining.
func TestEntryDoesNotEndDraining(t *testing.T) {
	options := fleet.DefaultOptions()
	servers := fleet.New(options)
	entry := server("a")
	entry.StartedAt = 100
	draining := entry
	draining.Draining = true
	servers.Put(entry, 1)
	servers.Put(draining, 2)
	servers.Put(entry, 3)
	require.Empty(t, servers.Usable(service))
	servers.Remove(1000, "a", 4)
	servers.Tick(1000 + options.Tombstone)
	servers.Put(entry, 5)
	require.Empty(t, servers.Usable(service), "its entry expired and was restored")
	next := entry
	next.StartedAt = 200
	servers.Put(next, 6)
	require.Equal(t, []string{"a"}, ids(servers.Usable(service)), "another process has started under its id")
	servers.Put(draining, 7)
	require.Empty(t, servers.Usable(service))
	servers.Remove(2000, "a", 8)
	servers.Tick(2000 + options.Tombstone + 1)
	servers.Put(entry, 9)
	require.Len(t, servers.Usable(service), 1, "the draining is not remembered forever")
}

// TestDrainNotice: the notice of a server applies before the store reports the draining, only
// to the process that sent it, and is passed on once.
func TestDrainNotice(t *testing.T) {
	servers := fleet.New(fleet.DefaultOptions())
	entry := server("a")
	entry.StartedAt = 100
	servers.Put(entry, 1)
	require.False(t, servers.ApplyDrainNotice(10, fleet.DrainNotice{Server: "a", StartedAt: 50}), "the notice of an earlier process")
	require.Len(t, servers.Usable(service), 1)
	notice := fleet.DrainNotice{Server: "a", StartedAt: 100}
	require.True(t, servers.ApplyDrainNotice(10, notice))
	require.Empty(t, servers.Usable(service))
	require.False(t, servers.ApplyDrainNotice(20, notice), "the notice is known already")
	require.Equal(t, []fleet.DrainNotice{notice}, servers.DrainNoticesSince(0))
	require.Empty(t, servers.DrainNoticesSince(servers.DrainNoticeCount()))
	servers.Put(entry, 2)
	require.Empty(t, servers.Usable(service), "its entry still says that it is ready")

	entry.StartedAt = 200
	servers.Put(entry, 3)
	require.Len(t, servers.Usable(service), 1, "another process has started under its id")
	require.False(t, servers.ApplyDrainNotice(30, notice))

	other := server("b")
	require.True(t, servers.ApplyDrainNotice(30, fleet.DrainNotice{Server: "b"}), "the notice arrives before the entry")
	servers.Put(other, 4)
	require.Len(t, servers.Usable(service), 1)
}

// TestDrainingInStoreIsNotPassedOn: all daemons learn of it from the store.
func TestDrainingInStoreIsNotPassedOn(t *testing.T) {
	servers := fleet.New(fleet.DefaultOptions())
	entry := server("a")
	entry.Draining = true
	servers.Put(entry, 1)
	require.False(t, servers.ApplyDrainNotice(10, fleet.DrainNotice{Server: "a"}))
	require.Empty(t, servers.DrainNoticesSince(0))
}
