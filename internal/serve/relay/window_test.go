package relay_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/serve/relay"
)

// TestWindowBoundsSender runs a sender against a reader that first reads nothing and then
// reads everything. The bytes in flight must never exceed the window by more than one
// chunk.
func TestWindowBoundsSender(t *testing.T) {
	const chunk = 1000
	window, inbox := relay.NewWindow(), relay.NewInbox(false)
	inbox.SetGrant(window.Grant)
	inbox.PutHead(200, "text/event-stream")
	idle, cancel := context.WithCancel(t.Context())
	cancel()
	inFlight, sent := 0, uint64(0)
	send := func() {
		for window.Acquire(idle, chunk) == nil {
			require.True(t, inbox.PutChunk(sent, make([]byte, chunk)))
			sent++
			inFlight += chunk
		}
		require.LessOrEqual(t, inFlight, relay.WindowBytes+chunk)
	}
	send()
	for range 20 {
		items, err := inbox.Next(t.Context())
		require.NoError(t, err)
		read := 0
		for _, item := range items {
			read += len(item.Payload)
		}
		inFlight -= read
		inbox.Consumed(read)
		before := sent
		send()
		require.Greater(t, sent, before, "credit allows the sender to continue")
	}
}

// TestWindowClosed closes the window while a sender waits for credit.
func TestWindowClosed(t *testing.T) {
	window := relay.NewWindow()
	require.NoError(t, window.Acquire(t.Context(), relay.WindowBytes))
	ended := make(chan error, 1)
	go func() { ended <- window.Acquire(t.Context(), 1) }()
	window.Close(true)
	require.ErrorIs(t, <-ended, relay.ErrClosed)
	require.True(t, window.WasReset())
}

// TestInboxDropsLateChunks checks that an inbox accepts no chunk before the head, each chunk
// once, and only the next one.
func TestInboxDropsLateChunks(t *testing.T) {
	inbox := relay.NewInbox(false)
	require.False(t, inbox.PutChunk(0, []byte("a")), "before the head")
	inbox.PutHead(200, "text/event-stream")
	require.True(t, inbox.PutChunk(0, []byte("a")))
	require.False(t, inbox.PutChunk(0, []byte("a")), "twice")
	require.False(t, inbox.PutChunk(2, []byte("c")), "out of order")
	require.True(t, inbox.PutChunk(1, []byte("b")))
	require.EqualValues(t, 2, inbox.Chunks())
}
