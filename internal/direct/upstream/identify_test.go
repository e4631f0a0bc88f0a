package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/upstream"
)

// identification accepts all processes, or one.
func identification(t testing.TB, only int64) *upstream.Identification {
	return &upstream.Identification{
		Request: request(t), Matches: accept,
		Read: func(response *http.Response) (int64, error) {
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			return strconv.ParseInt(string(text), 10, 64)
		},
		Accept: func(startedAt int64) bool { return only == 0 || startedAt == only },
	}
}

// identifiedCall returns a call to a process that is found out by an identification.
func identifiedCall(t testing.TB, identification *upstream.Identification) upstream.Call {
	made := call(t)
	made.Identification = identification
	return made
}

// process starts a server that states its start on the first request of a connection, and counts other requests.
func process(t testing.TB, startedAt string, header string) (address string, requests *atomic.Int32) {
	requests = &atomic.Int32{}
	return answering(t, func(_ int, conn net.Conn) {
		for first := true; readRequest(conn); first = false {
			body := "ok"
			if first {
				body = startedAt
			} else {
				requests.Add(1)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
		}
	}), requests
}

// TestConnectionIsIdentifiedOnce guards against requests that are answered by a process whose start is not known, and
// against a question for it before each of them.
func TestConnectionIsIdentifiedOnce(t *testing.T) {
	address, requests := process(t, "17", "")
	pool := upstream.New(upstream.DefaultOptions())
	for range 3 {
		got, err := pool.Send(t.Context(), address, identifiedCall(t, identification(t, 0)))
		require.NoError(t, err)
		require.EqualValues(t, 17, got.StartedAt)
		require.Equal(t, "ok", readAll(t, got))
	}
	require.EqualValues(t, 3, requests.Load())
	require.EqualValues(t, 1, pool.Opened())
}

// TestOtherProcessGetsNoRequest guards against requests that reach another process than the expected one.
func TestOtherProcessGetsNoRequest(t *testing.T) {
	address, requests := process(t, "17", "")
	pool := upstream.New(upstream.DefaultOptions())
	for range 2 {
		_, err := pool.Send(t.Context(), address, identifiedCall(t, identification(t, 16)))
		var failed *upstream.Error
		require.True(t, errors.As(err, &failed))
		require.True(t, failed.Refused)
		require.False(t, failed.Sent)
	}
	require.Zero(t, requests.Load())
	require.EqualValues(t, 1, pool.Opened(), "the connection is kept")
}

// TestProcessThatClosesAfterIdentification guards against requests that are never sent to a server which closes each
// connection after its answer: its process counts as unknown.
func TestProcessThatClosesAfterIdentification(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) {
		readRequest(conn)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n17"))
		_ = conn.Close()
	})
	pool := upstream.New(upstream.DefaultOptions())
	got, err := pool.Send(t.Context(), address, identifiedCall(t, identification(t, 0)))
	require.NoError(t, err)
	require.Zero(t, got.StartedAt)
	require.Equal(t, "17", readAll(t, got))
}

// TestSilentProcessGetsNoRequest guards against requests that may have run where a process has not said which one it is.
func TestSilentProcessGetsNoRequest(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	pool := upstream.New(upstream.DefaultOptions())
	_, err := pool.Send(t.Context(), address, identifiedCall(t, identification(t, 0)))
	var failed *upstream.Error
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Sent)
}
