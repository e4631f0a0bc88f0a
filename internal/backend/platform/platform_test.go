package platform_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/backend/platform"
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/members"
	standin "teaselmoor/internal/standin/platform"
)

// TestUnchangedVMListIsNotTransferred reads the list twice, and again after a change.
// Only the first and the third read must transfer the list.
func TestUnchangedVMListIsNotTransferred(t *testing.T) {
	platformServer := standin.New(0)
	server := httptest.NewServer(platformServer)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := platform.New(address, address, clock.Second)
	platformServer.SetVMs([]members.VM{{Name: "a", Role: members.EntryRole, State: members.Live}})

	first, err := client.ReadVMList(t.Context(), "")
	require.NoError(t, err)
	require.True(t, first.Changed)
	require.Len(t, first.List.VMs, 1)

	second, err := client.ReadVMList(t.Context(), first.ETag)
	require.NoError(t, err)
	require.False(t, second.Changed)
	require.Equal(t, first.ETag, second.ETag)

	platformServer.SetVMs([]members.VM{{Name: "a", Role: members.EntryRole, State: members.Leaving}})
	third, err := client.ReadVMList(t.Context(), second.ETag)
	require.NoError(t, err)
	require.True(t, third.Changed)
	require.Equal(t, members.Leaving, third.List.VMs[0].State)
}
