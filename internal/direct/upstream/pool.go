// Package upstream sends requests to backend servers and reads their answers.
// net/http's own transport is not used, because it repeats requests by their
// method and headers, where here only the route says what may be repeated, and
// because an answer on a kept connection must be matched with its request.
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
	"syscall"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
)

// Options are the limits of connections to backend servers.
type Options struct {
	DialTimeout clock.Millis // a server that is dark does not answer at all
	IdleTimeout clock.Millis // of kept connections, where the server names none
	MaxIdle     int          // kept connections to one server
	BufferBytes int          // for reading from a connection
	InlineBytes int          // a longer request is written beside the reading of its answer
	UserTimeout clock.Millis // unacknowledged bytes break a connection after it
	MaxStrays   int          // answers to other requests that are skipped
}

// DefaultOptions returns limits for servers a few milliseconds away.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 400, IdleTimeout: 8 * clock.Second, MaxIdle: 24, BufferBytes: 2048,
		InlineBytes: 4096, UserTimeout: 3000, MaxStrays: 3,
	}
}

// Error is a request without a usable answer.
type Error struct {
	// Sent reports whether any byte may have reached the server.
	Sent bool
	// Dial reports that no connection came about.
	Dial bool
	Err  error
}

// Error implements error.
func (failed *Error) Error() string { return failed.Err.Error() }

// Unwrap returns the cause.
func (failed *Error) Unwrap() error { return failed.Err }

// Pool keeps connections to backend servers.
type Pool struct {
	options Options
	dialer  net.Dialer
	mutex   sync.Mutex // guards idle, opened, open
	idle    map[string][]*conn
	open    map[string]int // connections to an address, in use or kept
	opened  int64
}

// New returns an empty pool.
func New(options Options) *Pool {
	pool := &Pool{options: options, idle: make(map[string][]*conn), open: make(map[string]int)}
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

// Opened returns how many connections were opened so far.
func (pool *Pool) Opened() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	expires time.Time
	reused  bool
}

// Answer is a backend server's answer. Its owner calls Close.
type Answer struct {
	*http.Response
	pool    *Pool
	conn    *conn
	written chan error // nil when the request was written before the answer
	stop    func() bool
}

// Matches tells whether an answer belongs to the request. First reports that it
// is the first on its connection.
type Matches func(response *http.Response, first bool) bool

// Send sends a request and returns the head of its answer. The connection is
// closed when the context ends. Errors are *Error.
func (pool *Pool) Send(ctx context.Context, address string, request *http.Request, matches Matches) (*Answer, error) {
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return nil, &Error{Err: errors.Wrap(err, "encode request")}
	}
	for {
		used, err := pool.take(ctx, address)
		if err != nil {
			return nil, &Error{Dial: true, Err: errors.Wrap(err, "connect")}
		}
		answer, err := pool.exchange(ctx, used, request, encoded.Bytes(), matches)
		var failed *Error
		if errors.As(err, &failed) && !failed.Sent && used.reused && ctx.Err() == nil {
			continue // a kept connection was closed under the first byte
		}
		return answer, err
	}
}

func (pool *Pool) exchange(ctx context.Context, used *conn, request *http.Request, encoded []byte, matches Matches) (*Answer, error) {
	answer := &Answer{pool: pool, conn: used}
	answer.stop = context.AfterFunc(ctx, func() { _ = used.Conn.Close() })
	if err := answer.writeRequest(encoded, pool.options.InlineBytes); err != nil {
		answer.discard()
		return nil, err
	}
	for strays := 0; ; strays++ {
		response, err := http.ReadResponse(used.reader, request)
		if err != nil {
			answer.discard()
			return nil, &Error{Sent: true, Err: errors.Wrap(err, "read answer")}
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		if matches(response, !used.reused && strays == 0) {
			answer.Response = response
			return answer, nil
		}
		if err := skip(response, strays, pool.options.MaxStrays); err != nil {
			answer.discard()
			return nil, &Error{Sent: true, Err: err}
		}
	}
}

// skip reads over an answer to another request: the one to this request may follow.
func skip(response *http.Response, strays, most int) error {
	if strays >= most || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("the answer belongs to another request")
	}
	_, err := io.Copy(io.Discard, response.Body)
	return errors.Wrap(err, "skip the answer to another request")
}

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

func (answer *Answer) discard() {
	answer.stop()
	answer.pool.closeConn(answer.conn)
}

// Close keeps the connection when the whole answer was read and nothing stands
// against it, and closes it otherwise.
func (answer *Answer) Close(whole bool) {
	stopped := answer.stop()
	if !stopped || !whole || answer.Response.Close || answer.unwritten() || answer.conn.reader.Buffered() > 0 {
		answer.pool.closeConn(answer.conn)
		return
	}
	answer.pool.keep(answer.conn, keepAlive(answer.Header))
}

func (answer *Answer) unwritten() bool {
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

// keepAlive returns the time that a server keeps an idle connection, or 0.
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

// idleMargin is taken off a server's idle timeout, so that a request does not
// cross the server's close: more than a round trip on a slow link.
const idleMargin = 500 * clock.Millisecond

func (pool *Pool) keep(kept *conn, timeout clock.Millis) {
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

func (pool *Pool) closeLocked(closed *conn) {
	_ = closed.Conn.Close()
	pool.open[closed.address]--
	if pool.open[closed.address] <= 0 {
		delete(pool.open, closed.address)
	}
}

// take returns a kept connection that is still open, or a new one.
func (pool *Pool) take(ctx context.Context, address string) (*conn, error) {
	for {
		kept, ok := pool.pop(address)
		if !ok {
			return pool.dial(ctx, address)
		}
		if time.Now().Before(kept.expires) && quiet(kept.Conn) {
			return kept, nil
		}
		pool.closeConn(kept)
	}
}

func (pool *Pool) pop(address string) (*conn, bool) {
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
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.opened++
	pool.open[address]++
	return &conn{Conn: dialed, address: address, reader: bufio.NewReaderSize(dialed, pool.options.BufferBytes)}, nil
}

// CloseExpired closes kept connections that have expired.
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

// quiet reports whether an idle connection is open and nothing has arrived on
// it: bytes that nobody asked for would be taken for the next answer.
func quiet(kept net.Conn) bool {
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
