package peers_test

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/topology"
)

// ignoringHandler ignores all messages and events.
type ignoringHandler struct{}

func (ignoringHandler) Received(string, peers.Message) {}

func (ignoringHandler) Connected(string) {}

func (ignoringHandler) Refused(string, error) {}

// TestUnreachableDaemonIsForgotten checks that an unreachable daemon is not dialled forever,
// while a seed is, and that a forgotten daemon can be added again.
func TestUnreachableDaemonIsForgotten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unusedAddress := listener.Addr().String()
	require.NoError(t, listener.Close())
	options := peers.DefaultOptions()
	options.Redial, options.GiveUp = 5, 30
	group := task.New(t.Context())
	network := peers.New(options, "self", ignoringHandler{}, group)
	network.Add(topology.Daemon{Address: unusedAddress})
	network.Add(topology.Daemon{Name: "gone", Address: "127.0.0.2:1"})
	require.Equal(t, 2, network.Count())
	require.Eventually(t, func() bool { return network.Count() == 1 }, 20*time.Second, time.Millisecond)
	network.Add(topology.Daemon{Name: "gone", Address: "127.0.0.2:1"})
	require.Equal(t, 2, network.Count())
	group.Stop()
	group.Reap(func(task.End) {})
}

// connectedHandler records connections.
type connectedHandler struct {
	ignoringHandler
	connected chan string
}

func (connectedHandler connectedHandler) Connected(address string) {
	connectedHandler.connected <- address
}

// TestDaemonThatStartsAgainIsDialledAtOnce guards against daemons that get no messages for the time between two attempts to connect.
func TestDaemonThatStartsAgainIsDialledAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	options := peers.DefaultOptions()
	options.Redial, options.QuickSpan = clock.Minute, 0
	group := task.New(t.Context())
	handler := connectedHandler{connected: make(chan string, 1)}
	network := peers.New(options, "self", handler, group)
	network.Add(topology.Daemon{Name: "again", Address: address})
	time.Sleep(100 * time.Millisecond) // the first attempt has failed
	again := httptest.NewUnstartedServer(peers.New(options, "again", ignoringHandler{}, group))
	again.Listener, err = net.Listen("tcp", address)
	require.NoError(t, err)
	again.Start()
	t.Cleanup(again.Close)
	network.Redial(address)
	select {
	case connected := <-handler.connected:
		require.Equal(t, address, connected)
	case <-time.After(20 * time.Second):
		require.Fail(t, "not dialled")
	}
	group.Stop()
	group.Reap(func(task.End) {})
}

// recordingHandler is a handler that records messages and refused connections.
type recordingHandler struct {
	received chan peers.Message
	refused  chan error
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{received: make(chan peers.Message, 16), refused: make(chan error, 16)}
}

func (recordingHandler *recordingHandler) Received(_ string, message peers.Message) {
	recordingHandler.received <- message
}

func (recordingHandler *recordingHandler) Connected(string) {}

func (recordingHandler *recordingHandler) Refused(_ string, err error) {
	recordingHandler.refused <- err
}

// served starts an HTTP server for the connections of peers, and returns its address.
func served(t *testing.T, group *task.Group, handler peers.Handler) string {
	server := httptest.NewServer(peers.New(peers.DefaultOptions(), "served", handler, group))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestRetain checks that connections to daemons that are no longer wanted are closed, and that
// others stay open. Bytes sent to a peer that was dialled as a seed count for its data centre when
// that is known.
func TestRetain(t *testing.T) {
	group := task.New(t.Context())
	first, second := newRecordingHandler(), newRecordingHandler()
	one := topology.Daemon{Name: "one", Address: served(t, group, first)}
	two := topology.Daemon{Name: "two", Address: served(t, group, second), DataCentre: "there"}
	network := peers.New(peers.DefaultOptions(), "self", ignoringHandler{}, group)
	network.Add(topology.Daemon{Address: two.Address})
	network.Retain([]topology.Daemon{one, two})
	require.Eventually(t, func() bool { return len(network.ConnectedAddresses()) == 2 }, 20*time.Second, time.Millisecond)
	network.Retain([]topology.Daemon{two})
	require.Equal(t, []string{two.Address}, network.ConnectedAddresses())
	update := peers.Message{Update: &peers.Update{}}
	update.Update.Name = "self"
	sent, err := network.Send(one.Address, update)
	require.NoError(t, err)
	require.False(t, sent)
	sent, err = network.Send(two.Address, update)
	require.NoError(t, err)
	require.True(t, sent)
	require.Equal(t, "self", (<-second.received).Update.Name)
	require.Eventually(t, func() bool { return network.Traffic()["there"].Sent > 0 }, 20*time.Second, time.Millisecond)
	group.Stop()
	group.Reap(func(task.End) {})
}

// TestInvalidMessage checks that an invalid message closes its connection and is reported, but
// is not passed to the handler as a message.
func TestInvalidMessage(t *testing.T) {
	group := task.New(t.Context())
	handler := newRecordingHandler()
	address := served(t, group, handler)
	for _, invalid := range [][]byte{[]byte("hello"), {0xa1, 0x66, 'U', 'p', 'd', 'a', 't', 'e', 0x81, 0x01}} {
		conn, response, err := websocket.DefaultDialer.Dial("ws://"+address+peers.Path, nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.NoError(t, conn.WriteMessage(websocket.BinaryMessage, invalid))
		require.ErrorContains(t, <-handler.refused, "message refused")
		_, _, err = conn.ReadMessage()
		require.Error(t, err)
	}
	require.Empty(t, handler.received)
	group.Stop()
	group.Reap(func(task.End) {})
}
