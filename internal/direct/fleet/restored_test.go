package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/fleet"
)

// restoredFleet returns a fleet whose store was restored from a backup at 10 s. After the
// backup, "new" was added, "gone" was removed, "leaves" began to drain and "again" restarted.
func restoredFleet() (*fleet.Fleet, fleet.Options) {
	options := fleet.DefaultOptions()
	servers := fleet.New(options)
	leaves, again := server("leaves"), server("again")
	leaves.Draining, again.StartedAt = true, 200
	servers.Put(server("gone"), 101)
	servers.Put(server("new"), 102)
	servers.Put(leaves, 103)
	servers.Put(again, 104)
	servers.Remove(9000, "gone", 105)
	servers.StoreRestored(10_000)
	earlier := server("again")
	earlier.StartedAt = 100
	servers.Put(server("gone"), 50)
	servers.Put(server("leaves"), 51)
	servers.Put(earlier, 52)
	servers.Remove(10_000, "new", 60)
	return servers, options
}

// TestRestoreDoesNotChangeUsableServers: until the lost changes have been written again, the
// same servers are used as before.
func TestRestoreDoesNotChangeUsableServers(t *testing.T) {
	servers, options := restoredFleet()
	servers.Tick(10_000 + options.ReturnGrace - 1)
	require.Equal(t, []string{"again", "new"}, ids(servers.Usable(service)))
	member, _ := servers.Member("again")
	require.Equal(t, int64(200), member.StartedAt)
}

// TestWritesAfterRestoreApply: writes after a restore apply even though their revisions were
// used before.
func TestWritesAfterRestoreApply(t *testing.T) {
	servers, options := restoredFleet()
	again := server("again")
	again.StartedAt, again.Draining = 200, true
	require.True(t, servers.Put(server("new"), 61))
	require.True(t, servers.Put(again, 62))
	servers.Remove(10_500, "gone", 63)
	servers.Tick(10_000 + options.ReturnGrace)
	require.Equal(t, []string{"new"}, ids(servers.Usable(service)))
}

// TestRestoredStateAppliesAfterGrace: entries that are not written again within ReturnGrace
// apply as restored, except that they do not end a draining or bring back an earlier process.
func TestRestoredStateAppliesAfterGrace(t *testing.T) {
	servers, options := restoredFleet()
	require.Equal(t, []string{"new"}, servers.Tick(10_000+options.ReturnGrace))
	require.Equal(t, []string{"again", "gone"}, ids(servers.Usable(service)))
}

// TestStoreRestoredTwice restores the store from the same backup twice.
func TestStoreRestoredTwice(t *testing.T) {
	servers, options := restoredFleet()
	servers.StoreRestored(11_000)
	servers.Put(server("gone"), 50)
	servers.Put(server("leaves"), 51)
	servers.Tick(11_000 + options.ReturnGrace - 1)
	require.NotContains(t, ids(servers.Usable(service)), "leaves")
	require.Contains(t, ids(servers.Usable(service)), "new")
}
