package peers_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/task"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/topology"
)

type deaf struct{}

func (deaf) Received(string, peers.Message) {}

func (deaf) Connected(string) {}

func (deaf) Refused(string, error) {}

// TestUnreachableDaemonIsForgotten: one that was replaced is not called for ever; a
// seed is, and one that is named again is known again.
func TestUnreachableDaemonIsForgotten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	nobody := listener.Addr().String()
	require.NoError(t, listener.Close())
	options := peers.DefaultOptions()
	options.Redial, options.GiveUp = 5, 30
	group := task.New(t.Context())
	mesh := peers.New(options, "self", deaf{}, group)
	mesh.Learn(topology.Daemon{Address: nobody})
	mesh.Learn(topology.Daemon{Name: "gone", Address: "127.0.0.2:1"})
	require.Equal(t, 2, mesh.Known())
	require.Eventually(t, func() bool { return mesh.Known() == 1 }, 20*time.Second, time.Millisecond)
	mesh.Learn(topology.Daemon{Name: "gone", Address: "127.0.0.2:1"})
	require.Equal(t, 2, mesh.Known())
	group.Stop()
	group.Reap(func(task.End) {})
}
