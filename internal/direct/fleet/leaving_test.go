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
	entry.Born = 100
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
	next.Born = 200
	servers.Put(next, 6)
	require.Equal(t, []string{"a"}, ids(servers.Usable(service)), "another process has started under its id")
	servers.Put(leaving, 7)
	require.Empty(t, servers.Usable(service))
	servers.Remove(2000, "a", 8)
	servers.Tick(2000 + options.Tombstone + 1)
	servers.Put(entry, 9)
	require.Len(t, servers.Usable(service), 1, "it is not remembered for ever")
}
