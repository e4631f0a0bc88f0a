package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/fleet"
)

// TestSoftwareVersionOfProcess guards against versions that are forgotten with an entry that states none, and against
// those of a process that has ended.
func TestSoftwareVersionOfProcess(t *testing.T) {
	servers := fleet.New(fleet.DefaultOptions())
	revision := int64(0)
	put := func(startedAt int64, version string) *fleet.Member {
		revision++
		entry := server("a")
		entry.StartedAt, entry.Software = startedAt, version
		servers.Put(entry, revision)
		member, ok := servers.Member("a")
		require.True(t, ok)
		return member
	}
	require.Empty(t, put(5, "").Software)
	require.Equal(t, "v1", put(5, "v1").Software)
	require.Equal(t, "v1", put(5, "").Software)
	require.False(t, put(5, "v1").SoftwareChanged)
	require.Equal(t, "v2", put(5, "v2").Software)
	require.True(t, put(5, "").SoftwareChanged)
	require.Empty(t, put(6, "").Software)
	require.False(t, put(6, "v3").SoftwareChanged)
}
