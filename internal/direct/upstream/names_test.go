package upstream_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/upstream"
)

// echoing starts a server that answers all requests, and returns its address.
func echoing(t testing.TB) string {
	return answering(t, func(_ int, conn net.Conn) {
		for readRequest(conn) {
			_, _ = conn.Write([]byte(answer))
		}
	})
}

// TestNameIsSentOnceOnAConnection guards against a second send of a request on the connection of the first, where another copy of the
// first answer may come.
func TestNameIsSentOnceOnAConnection(t *testing.T) {
	pool := upstream.New(upstream.DefaultOptions())
	address := echoing(t)
	same, other := call(t), call(t)
	uses := make(map[int64]int)
	for _, sent := range []upstream.Call{same, other, same, other, same, call(t)} {
		got, err := pool.Send(t.Context(), address, sent)
		require.NoError(t, err)
		readAll(t, got)
		uses[got.Use.Connection]++
	}
	require.Equal(t, map[int64]int{1: 2, 2: 2, 3: 2}, uses, "connections are kept for other names")
}

// TestAnswerWithoutNameHasItsOwnConnection guards against requests without a name on connections that carry others, where the order of
// answers tells nothing.
func TestAnswerWithoutNameHasItsOwnConnection(t *testing.T) {
	pool := upstream.New(upstream.DefaultOptions())
	address := echoing(t)
	nameless := upstream.Call{Request: request(t), Matches: func(_ *http.Response, first bool) upstream.Match {
		if first {
			return upstream.ByOrder
		}
		return upstream.Nameless
	}}
	for i, sent := range []upstream.Call{call(t), nameless, nameless, call(t)} {
		got, err := pool.Send(t.Context(), address, sent)
		require.NoError(t, err)
		readAll(t, got)
		require.Equal(t, []int64{1, 2, 3, 1}[i], got.Use.Connection)
	}
	require.Empty(t, pool.Strays())
}

// TestConnectionEndsAfterItsRequests guards against connections that remember names without end.
func TestConnectionEndsAfterItsRequests(t *testing.T) {
	options := upstream.DefaultOptions()
	options.MaxRequests = 3
	pool := upstream.New(options)
	address := echoing(t)
	for range 7 {
		got, err := pool.Send(t.Context(), address, call(t))
		require.NoError(t, err)
		readAll(t, got)
	}
	require.EqualValues(t, 3, pool.Opened())
}

// TestLongRestIsNotDrained guards against connections that are kept with the rest of an answer still to come.
func TestLongRestIsNotDrained(t *testing.T) {
	pool := upstream.New(upstream.DefaultOptions())
	address := echoing(t)
	for _, limit := range []int64{1, 2} {
		got, err := pool.Send(t.Context(), address, call(t))
		require.NoError(t, err)
		got.Drain(limit)
	}
	_, err := pool.Send(t.Context(), address, call(t))
	require.NoError(t, err)
	require.EqualValues(t, 2, pool.Opened(), "the second connection is kept")
}
