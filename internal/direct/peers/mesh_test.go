package peers_test

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/websocket"
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
	mesh.Add(topology.Daemon{Address: nobody})
	mesh.Add(topology.Daemon{Name: "gone", Address: "127.0.0.2:1"})
	require.Equal(t, 2, mesh.Count())
	require.Eventually(t, func() bool { return mesh.Count() == 1 }, 20*time.Second, time.Millisecond)
	mesh.Add(topology.Daemon{Name: "gone", Address: "127.0.0.2:1"})
	require.Equal(t, 2, mesh.Count())
	group.Stop()
	group.Reap(func(task.End) {})
}

// listener is a daemon that notes what it hears.
type listener struct {
	heard   chan peers.Message
	refused chan error
}

func newListener() *listener {
	return &listener{heard: make(chan peers.Message, 16), refused: make(chan error, 16)}
}

func (listener *listener) Received(_ string, message peers.Message) { listener.heard <- message }

func (listener *listener) Connected(string) {}

func (listener *listener) Refused(_ string, err error) { listener.refused <- err }

// served returns the address of a daemon that accepts connections.
func served(t *testing.T, group *task.Group, handler peers.Handler) string {
	server := httptest.NewServer(peers.New(peers.DefaultOptions(), "served", handler, group))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestRetain: connections to daemons that are not wanted any more end, others stay.
func TestRetain(t *testing.T) {
	group := task.New(t.Context())
	first, second := newListener(), newListener()
	one := topology.Daemon{Name: "one", Address: served(t, group, first)}
	two := topology.Daemon{Name: "two", Address: served(t, group, second)}
	mesh := peers.New(peers.DefaultOptions(), "self", deaf{}, group)
	mesh.Retain([]topology.Daemon{one, two})
	require.Eventually(t, func() bool { return len(mesh.ConnectedAddresses()) == 2 }, 20*time.Second, time.Millisecond)
	mesh.Retain([]topology.Daemon{two})
	require.Equal(t, []string{two.Address}, mesh.ConnectedAddresses())
	update := peers.Message{Update: &peers.Update{}}
	update.Update.Name = "self"
	sent, err := mesh.Send(one.Address, update)
	require.NoError(t, err)
	require.False(t, sent)
	sent, err = mesh.Send(two.Address, update)
	require.NoError(t, err)
	require.True(t, sent)
	require.Equal(t, "self", (<-second.heard).Update.Name)
	group.Stop()
	group.Reap(func(task.End) {})
}

// TestForeignSender: bytes that are no message end their connection with a word on it, and
// nothing else.
func TestForeignSender(t *testing.T) {
	group := task.New(t.Context())
	handler := newListener()
	address := served(t, group, handler)
	for _, foreign := range [][]byte{[]byte("hello"), {0xa1, 0x66, 'U', 'p', 'd', 'a', 't', 'e', 0x81, 0x01}} {
		conn, response, err := websocket.DefaultDialer.Dial("ws://"+address+peers.Path, nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.NoError(t, conn.WriteMessage(websocket.BinaryMessage, foreign))
		require.ErrorContains(t, <-handler.refused, "message refused")
		_, _, err = conn.ReadMessage()
		require.Error(t, err)
	}
	require.Empty(t, handler.heard)
	group.Stop()
	group.Reap(func(task.End) {})
}
