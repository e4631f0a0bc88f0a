package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/fleet"
)

// restoredFleet has a store that comes back from a copy at 10 s. Since the copy "new" was
// added, "gone" was removed, "leaves" has said that it leaves and "again" has started again.
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

// TestRestoredCopyChangesNoBelief: until what was lost has been written again, servers are used
// as before.
func TestRestoredCopyChangesNoBelief(t *testing.T) {
	servers, options := restoredFleet()
	servers.Tick(10_000 + options.ReturnGrace - 1)
	require.Equal(t, []string{"again", "new"}, ids(servers.Usable(service)))
	member, _ := servers.Member("again")
	require.Equal(t, int64(200), member.StartedAt)
}

// TestWrittenAgainAfterRestore: what is written with revisions that were given out before counts.
func TestWrittenAgainAfterRestore(t *testing.T) {
	servers, options := restoredFleet()
	again := server("again")
	again.StartedAt, again.Draining = 200, true
	require.True(t, servers.Put(server("new"), 61))
	require.True(t, servers.Put(again, 62))
	servers.Remove(10_500, "gone", 63)
	servers.Tick(10_000 + options.ReturnGrace)
	require.Equal(t, []string{"new"}, ids(servers.Usable(service)))
}

// TestRestoredStoreIsBelievedInTheEnd: what has not been written again in time is as the store
// has it, but for what a process cannot take back.
func TestRestoredStoreIsBelievedInTheEnd(t *testing.T) {
	servers, options := restoredFleet()
	require.Equal(t, []string{"new"}, servers.Tick(10_000+options.ReturnGrace))
	require.Equal(t, []string{"again", "gone"}, ids(servers.Usable(service)))
}

// TestStoreRestoredTwice: the second copy is the same.
func TestStoreRestoredTwice(t *testing.T) {
	servers, options := restoredFleet()
	servers.StoreRestored(11_000)
	servers.Put(server("gone"), 50)
	servers.Put(server("leaves"), 51)
	servers.Tick(11_000 + options.ReturnGrace - 1)
	require.NotContains(t, ids(servers.Usable(service)), "leaves")
	require.Contains(t, ids(servers.Usable(service)), "new")
}
