// Package upstream sends requests to backend servers and reads their responses.
// It does not use net/http's transport, because that retries requests depending on
// their method and headers, whereas here only the route decides what may be
// repeated, and because a response on a reused connection must be matched with its
// request.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
)

// Options are the limits of connections to backend servers.
type Options struct {
	DialTimeout clock.Millis // an unreachable server does not respond at all
	IdleTimeout clock.Millis // of idle connections, unless the server sets one
	MaxIdle     int          // idle connections to one server
	BufferBytes int          // size of the read buffer of a connection
	InlineBytes int          // a longer request is written while its response is read
	UserTimeout clock.Millis // TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged
	MaxStrays   int          // responses to other requests that are skipped before giving up
}

// DefaultOptions returns limits for servers a few milliseconds away.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 400, IdleTimeout: 8 * clock.Second, MaxIdle: 24, BufferBytes: 2048,
		InlineBytes: 4096, UserTimeout: 3000, MaxStrays: 3,
	}
}

// Error is the failure of a request that got no usable response.
type Error struct {
	// Sent reports whether any byte may have reached the server.
	Sent bool
	// Dial reports whether connecting failed.
	Dial bool
	Err  error
}

// Error implements error.
func (failed *Error) Error() string { return failed.Err.Error() }

// Unwrap returns the cause.
func (failed *Error) Unwrap() error { return failed.Err }

// Pool keeps idle connections to backend servers for reuse.
type Pool struct {
	options  Options
	dialer   net.Dialer
	started  time.Time
	lastRead atomic.Int64 // when a byte last arrived, in nanoseconds after started; 0: never
	lastDial atomic.Int64 // when a connection was last opened
	mutex    sync.Mutex   // guards idle, opened, open
	idle     map[string][]*conn
	open     map[string]int // by address: connections in use or idle
	opened   int64
}

// New returns an empty pool.
func New(options Options) *Pool {
	pool := &Pool{options: options, started: time.Now(), idle: make(map[string][]*conn), open: make(map[string]int)}
	pool.dialer = net.Dialer{
		Timeout: options.DialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: pool.setUserTimeout,
	}
	return pool
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

func (pool *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(pool.options.UserTimeout))
	})
	if err != nil {
		return errors.Wrap(err, "set user timeout")
	}
	return errors.Wrap(failed, "set user timeout")
}

// Opened returns how many connections have been opened so far.
func (pool *Pool) Opened() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened
}

// conn is a connection to a server, in use or idle.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	expires time.Time
	reused  bool // it was idle before its present request
}

// Answer is the response of a backend server. The caller of Send must call Close.
type Answer struct {
	*http.Response
	pool    *Pool
	conn    *conn
	written chan error  // nil when the request was written before the response was read
	stop    func() bool // stops closing the connection when the context ends
}

// Matches reports whether a response belongs to the request. First is true for the
// first response on a connection.
type Matches func(response *http.Response, first bool) bool

// Send sends a request and returns when the head of its response has arrived. The
// connection is closed when the context ends. Errors are of type *Error.
func (pool *Pool) Send(ctx context.Context, address string, request *http.Request, matches Matches) (*Answer, error) {
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return nil, &Error{Err: errors.Wrap(err, "encode request")}
	}
	for {
		used, err := pool.get(ctx, address)
		if err != nil {
			return nil, &Error{Dial: true, Err: errors.Wrap(err, "connect")}
		}
		answer, err := pool.roundTrip(ctx, used, request, encoded.Bytes(), matches)
		var failed *Error
		if errors.As(err, &failed) && !failed.Sent && used.reused && ctx.Err() == nil {
			continue // the server had closed the idle connection before the first byte was sent
		}
		return answer, err
	}
}

// roundTrip writes a request to a connection and reads the head of its response.
func (pool *Pool) roundTrip(ctx context.Context, used *conn, request *http.Request, encoded []byte, matches Matches) (*Answer, error) {
	answer := &Answer{pool: pool, conn: used}
	answer.stop = context.AfterFunc(ctx, used.reset)
	if err := answer.writeRequest(encoded, pool.options.InlineBytes); err != nil {
		answer.discard()
		return nil, err
	}
	for skipped := 0; ; skipped++ {
		response, err := http.ReadResponse(used.reader, request)
		if err != nil {
			answer.discard()
			return nil, &Error{Sent: true, Err: errors.Wrap(err, "read answer")}
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		if matches(response, !used.reused && skipped == 0) {
			answer.Response = response
			return answer, nil
		}
		if err := skipUnmatched(response, skipped, pool.options.MaxStrays); err != nil {
			answer.discard()
			return nil, &Error{Sent: true, Err: err}
		}
	}
}

// skipUnmatched discards a response to another request, as the one to this request may follow.
func skipUnmatched(response *http.Response, skipped, maximum int) error {
	if skipped >= maximum || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("response belongs to another request")
	}
	_, err := io.Copy(io.Discard, response.Body)
	return errors.Wrap(err, "skip the answer to another request")
}

// writeRequest writes a short request at once, and a longer one in the background.
func (answer *Answer) writeRequest(encoded []byte, inline int) error {
	if len(encoded) <= inline {
		written, err := answer.conn.Write(encoded)
		if err != nil {
			return &Error{Sent: written > 0 || !answer.conn.reused, Err: errors.Wrap(err, "send request")}
		}
		return nil
	}
	answer.written = make(chan error, 1)
	go func() {
		_, err := answer.conn.Write(encoded)
		answer.written <- err
	}()
	return nil
}

// discard resets the connection of a failed exchange.
func (answer *Answer) discard() {
	answer.stop()
	answer.conn.reset()
	answer.pool.closeConn(answer.conn)
}

// reset closes a connection without sending what is still to be sent, which could otherwise reach the
// server after the request was sent to another one.
func (conn *conn) reset() {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed in any case
	}
	_ = conn.Conn.Close()
}

// Close keeps the connection for reuse if the whole response was read and the
// connection is still usable, and closes it otherwise.
func (answer *Answer) Close(whole bool) {
	stopped := answer.stop()
	if !whole {
		answer.conn.reset()
	}
	if !stopped || !whole || answer.Response.Close || answer.writePending() || answer.conn.reader.Buffered() > 0 {
		answer.pool.closeConn(answer.conn)
		return
	}
	answer.pool.put(answer.conn, keepAlive(answer.Header))
}

// writePending reports whether the request is still being written, or writing it failed.
func (answer *Answer) writePending() bool {
	if answer.written == nil {
		return false
	}
	select {
	case err := <-answer.written:
		return err != nil
	default:
		return true
	}
}

// keepAlive returns how long a server keeps an idle connection. It returns 0 if the server does
// not say, or says 0.
func keepAlive(header http.Header) clock.Millis {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return clock.Millis(seconds) * clock.Second
		}
	}
	return 0
}

// idleMargin is subtracted from a server's idle timeout, so that a request is not
// sent while the server closes the connection. It exceeds a round trip on a slow
// link.
const idleMargin = 500 * clock.Millisecond

// put keeps a connection for reuse until the server's idle timeout, 0 for the default.
func (pool *Pool) put(kept *conn, timeout clock.Millis) {
	if timeout == 0 {
		timeout = pool.options.IdleTimeout
	}
	kept.expires = time.Now().Add((timeout - idleMargin).Duration())
	kept.reused = true
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.idle[kept.address]) >= pool.options.MaxIdle {
		pool.closeLocked(kept)
		return
	}
	pool.idle[kept.address] = append(pool.idle[kept.address], kept)
}

func (pool *Pool) closeConn(closed *conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closeLocked(closed)
}

// closeLocked closes a connection. The mutex is held.
func (pool *Pool) closeLocked(closed *conn) {
	_ = closed.Conn.Close()
	pool.open[closed.address]--
	if pool.open[closed.address] <= 0 {
		delete(pool.open, closed.address)
	}
}

// get returns an idle connection that is still open, or a new one.
func (pool *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		kept, ok := pool.popIdle(address)
		if !ok {
			return pool.dial(ctx, address)
		}
		if time.Now().Before(kept.expires) && reusable(kept.Conn) {
			return kept, nil
		}
		pool.closeConn(kept)
	}
}

// popIdle takes the connection that became idle last.
func (pool *Pool) popIdle(address string) (*conn, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	if len(idle) == 0 {
		return nil, false
	}
	last := idle[len(idle)-1]
	pool.idle[address] = idle[:len(idle)-1]
	return last, true
}

func (pool *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialed, err := pool.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	pool.lastDial.Store(int64(time.Since(pool.started)))
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.opened++
	pool.open[address]++
	return &conn{Conn: dialed, address: address, reader: bufio.NewReaderSize(activityReader{dialed, pool}, pool.options.BufferBytes)}, nil
}

// CloseExpired closes idle connections that have expired.
func (pool *Pool) CloseExpired() {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, idle := range pool.idle {
		kept := idle[:0]
		for _, each := range idle {
			if now.Before(each.expires) {
				kept = append(kept, each)
				continue
			}
			pool.closeLocked(each)
		}
		pool.idle[address] = kept
		if len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
}

// reusable reports whether an idle connection is open and no bytes have arrived on
// it: unsolicited bytes would be taken for the next response.
func reusable(kept net.Conn) bool {
	tcp, ok := kept.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
