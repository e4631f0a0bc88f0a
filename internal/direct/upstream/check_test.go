package upstream_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/upstream"
)

func TestCheckDetectsEndedServers(t *testing.T) {
	pool := upstream.New(upstream.DefaultOptions())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.Equal(t, upstream.Listening, pool.Check(t.Context(), address))
	require.EqualValues(t, 1, pool.Opened())
	require.NoError(t, listener.Close())
	require.Equal(t, upstream.ConnectionRefused, pool.Check(t.Context(), address))
	ended, end := context.WithCancel(t.Context())
	end()
	require.Equal(t, upstream.Unknown, pool.Check(ended, address))
}

// TestClosedByServer checks that a connection closed by this side is not taken for one closed
// by the server.
func TestClosedByServer(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) {
		readRequest(conn)
		_ = conn.Close()
	})
	pool := upstream.New(upstream.DefaultOptions())
	_, err := pool.Send(t.Context(), address, call(t))
	require.True(t, upstream.ClosedByServer(err))
	require.False(t, upstream.ClosedByServer(errors.Wrap(net.ErrClosed, "read answer")))
	require.True(t, upstream.ClosedByServer(errors.Wrap(io.ErrUnexpectedEOF, "read answer")))

	silent := answering(t, func(_ int, conn net.Conn) { readRequest(conn) })
	ctx, cancel := context.WithCancel(t.Context())
	go cancel()
	_, err = pool.Send(ctx, silent, call(t))
	require.Error(t, err)
	require.False(t, upstream.ClosedByServer(err))
}
