package members_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
)

func TestView(t *testing.T) {
	view := members.NewView(members.List{Version: 1, VMs: []members.VM{
		{Name: "daemon-1", Role: members.EntryRole, State: members.Leaving},
		{Name: "daemon-0", Role: members.EntryRole, State: members.Live},
		{Name: "server-0", Role: members.BackendRole, State: members.Leaving, Address: "10.0.0.1"},
		{Name: "server-1", Role: members.BackendRole, State: members.Leaving, Address: "10.0.0.2:80"},
		{Name: "server-2", Role: members.BackendRole, State: members.Live, Address: "10.0.0.3"},
	}}, 0)
	all := func(*members.VM) bool { return true }
	require.Equal(t, []ident.DaemonID{"daemon-0"}, view.LiveDaemons(all))
	require.Equal(t, []ident.DaemonID{"daemon-0", "daemon-1"}, view.ListedDaemons(all))
	require.True(t, view.ServerLeaving("10.0.0.1:80"))
	require.True(t, view.ServerLeaving("10.0.0.2:80"))
	require.False(t, view.ServerLeaving("10.0.0.2:81"))
	require.False(t, view.ServerLeaving("10.0.0.3:80"))
}

func TestPeersSilent(t *testing.T) {
	peers := members.NewPeers(1000)
	require.False(t, peers.Silent(1500, "daemon-0", clock.Second), "silence is counted from the start of listening")
	require.True(t, peers.Silent(2001, "daemon-0", clock.Second))
	peers.RecordContact(2001, "daemon-0")
	require.False(t, peers.Silent(2500, "daemon-0", clock.Second))
	peers.ResetSilence(9000)
	require.False(t, peers.Silent(9500, "daemon-0", clock.Second))
}

func TestPeersApplyNewerUpdatesOnly(t *testing.T) {
	peers := members.NewPeers(0)
	require.True(t, peers.ApplyUpdate(1000, "daemon-0", members.Peer{Incarnation: 2, SentAt: 1000, Leaving: true}))
	require.False(t, peers.ApplyUpdate(1100, "daemon-0", members.Peer{Incarnation: 1, SentAt: 1100}), "update of an earlier incarnation")
	require.False(t, peers.ApplyUpdate(1100, "daemon-0", members.Peer{Incarnation: 2, SentAt: 900}), "update sent before the last one")
	require.True(t, peers.Leaving(1500, "daemon-0", clock.Second))
	require.False(t, peers.Leaving(2000, "daemon-0", clock.Second), "the update is too old")
	require.True(t, peers.ApplyUpdate(2100, "daemon-0", members.Peer{Incarnation: 3, SentAt: 2000}))
	require.False(t, peers.Leaving(2100, "daemon-0", clock.Second))
}
