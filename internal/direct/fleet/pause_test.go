package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/fleet"
)

// TestPauseOutlastsEntry: a pause lasts even if the entry of its server is removed and added
// again, and a shorter pause does not replace it.
func TestPauseOutlastsEntry(t *testing.T) {
	servers := fleet.New(fleet.DefaultOptions())
	entry := server("a")
	entry.StartedAt = 100
	servers.Put(entry, 1)
	servers.Pause("a", 4000)
	servers.Pause("a", 2000)
	member, _ := servers.Member("a")
	require.Equal(t, int64(3000), int64(member.PausedFor(1000)))
	servers.Remove(1000, "a", 2)
	servers.Tick(1000)
	entry.StartedAt = 200
	servers.Put(entry, 3)
	member, _ = servers.Member("a")
	require.Positive(t, member.PausedFor(3999))
	require.Zero(t, member.PausedFor(4000))
}
