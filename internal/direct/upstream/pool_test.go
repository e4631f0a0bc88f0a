package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/upstream"
)

// answering starts a server that runs serve for each connection, with the number of
// the connection, and returns its address.
func answering(t testing.TB, serve func(number int, conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(number, conn)
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request without a body.
func readRequest(conn net.Conn) bool {
	var got []byte
	one := make([]byte, 1)
	for !strings.HasSuffix(string(got), "\r\n\r\n") {
		if _, err := conn.Read(one); err != nil {
			return false
		}
		got = append(got, one[0])
	}
	return true
}

func request(t testing.TB) *http.Request {
	made, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/x", http.NoBody)
	require.NoError(t, err)
	return made
}

func accept(*http.Response, bool) upstream.Match { return upstream.ByName }

// calls is the number of calls made so far, after which they are named.
var calls atomic.Int64

// callOf returns a call that takes any answer for its own.
func callOf(request *http.Request) upstream.Call {
	return upstream.Call{Request: request, Name: fmt.Sprint("call-", calls.Add(1)), Matches: accept}
}

func call(t testing.TB) upstream.Call {
	return callOf(request(t))
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func readAll(t testing.TB, got *upstream.Answer) string {
	t.Helper()
	body, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	got.Close(true)
	return string(body)
}

// TestConnectionsAreKept checks that requests one after another use the same connection.
func TestConnectionsAreKept(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) {
		for readRequest(conn) {
			_, _ = conn.Write([]byte(answer))
		}
	})
	pool := upstream.New(upstream.DefaultOptions())
	for range 5 {
		got, err := pool.Send(t.Context(), address, call(t))
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, got))
	}
	require.EqualValues(t, 1, pool.Opened())
}

// TestConnectionClosedWhileIdle checks that a connection which the server closed while
// idle is not reused.
func TestConnectionClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{}, 10)
	address := answering(t, func(_ int, conn net.Conn) {
		readRequest(conn)
		_, _ = conn.Write([]byte(answer))
		_ = conn.Close()
		closed <- struct{}{}
	})
	pool := upstream.New(upstream.DefaultOptions())
	for range 3 {
		got, err := pool.Send(t.Context(), address, call(t))
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, got))
		<-closed
	}
}

// TestExpiredConnectionIsNotReused checks that a connection is not reused after its idle timeout.
// The server's timeout of 0 counts as none, so the default applies.
func TestExpiredConnectionIsNotReused(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) {
		for readRequest(conn) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	options := upstream.DefaultOptions()
	options.IdleTimeout = 100 // below idleMargin, so the connection has expired at once
	pool := upstream.New(options)
	for range 2 {
		got, err := pool.Send(t.Context(), address, call(t))
		require.NoError(t, err)
		readAll(t, got)
	}
	require.EqualValues(t, 2, pool.Opened())
}

// TestRefusedConnectionWasNotSent checks that a request whose connection was refused is reported
// as not sent, so that it may be sent to another server.
func TestRefusedConnectionWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = upstream.New(upstream.DefaultOptions()).Send(t.Context(), address, call(t))
	var failed *upstream.Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Dial)
	require.False(t, failed.Sent)
}

// TestConnectionThatEndsWithoutAnAnswer checks that a request without a response is
// reported as sent, since it may have run.
func TestConnectionThatEndsWithoutAnAnswer(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) {
		readRequest(conn)
		_ = conn.Close()
	})
	_, err := upstream.New(upstream.DefaultOptions()).Send(t.Context(), address, call(t))
	var failed *upstream.Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Sent)
}

// TestAnswerToAnotherRequestIsSkipped checks that the matching response is found after one
// to another request.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) {
		readRequest(conn)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nFor: other\r\nContent-Length: 5\r\n\r\nother" +
			"HTTP/1.1 200 OK\r\nFor: me\r\nContent-Length: 2\r\n\r\nok"))
	})
	sent := call(t)
	sent.Matches = func(response *http.Response, _ bool) upstream.Match {
		if response.Header.Get("For") == "me" {
			return upstream.ByName
		}
		return upstream.OtherName
	}
	got, err := upstream.New(upstream.DefaultOptions()).Send(t.Context(), address, sent)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, got))
}

// TestContextEndsTheExchange checks that cancelling the context ends reading at once,
// also in the middle of a response.
func TestContextEndsTheExchange(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) {
		readRequest(conn)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"))
	})
	ctx, cancel := context.WithCancel(t.Context())
	got, err := upstream.New(upstream.DefaultOptions()).Send(ctx, address, call(t))
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(got.Body)
	require.Error(t, err)
	got.Close(false)
}

// TestAnswerBeforeTheBodyWasRead checks that a connection is not reused when the
// response came before the whole request body was written.
func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	address := answering(t, func(_ int, conn net.Conn) {
		if readRequest(conn) {
			_, _ = conn.Write([]byte(answer))
		}
		time.Sleep(50 * time.Millisecond)
	})
	pool := upstream.New(upstream.DefaultOptions())
	for i := range 2 {
		long, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server/x", strings.NewReader(strings.Repeat("x", 16<<20)))
		require.NoError(t, err)
		got, err := pool.Send(t.Context(), address, callOf(long))
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, got))
		require.EqualValues(t, i+1, pool.Opened())
	}
}

// TestAbandonedRequestIsNotDelivered guards against requests whose bytes are delivered after they were
// given up, when another server has answered them already.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	const size = 64 << 20 // more than the buffers of both kernels take
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://server/", bytes.NewReader(make([]byte, size)))
	require.NoError(t, err)
	failed := make(chan error, 1)
	go func() {
		_, err := upstream.New(upstream.DefaultOptions()).Send(ctx, listener.Addr().String(), callOf(request))
		failed <- err
	}()
	server, err := listener.Accept()
	require.NoError(t, err)
	first := make([]byte, 1)
	_, err = server.Read(first)
	require.NoError(t, err)
	cancel()
	require.Error(t, <-failed)
	received, err := io.Copy(io.Discard, server)
	require.Less(t, received, int64(size))
	require.Error(t, err, "the connection is reset")
}
