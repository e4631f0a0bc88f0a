// Package upstream sends requests to backend servers and reads their responses.
// It does not use net/http's transport, because that retries requests depending on
// their method and headers, whereas here only the route decides what may be
// repeated, and because a response on a reused connection must be matched with its
// request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/socket"
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
	MaxRequests int          // on one connection
	HeadBytes   int          // of the head of a response, with the interim responses before it
	StrayBytes  int64        // of the body of a response that is skipped
}

// DefaultOptions returns limits for servers a few milliseconds away.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 400, IdleTimeout: 8 * clock.Second, MaxIdle: 24, BufferBytes: 2048,
		InlineBytes: 4096, UserTimeout: 3000, MaxStrays: 3, MaxRequests: 1000, HeadBytes: 64 << 10, StrayBytes: 1 << 20,
	}
}

// Error is the failure of a request that got no usable response.
type Error struct {
	// Use is the use of a connection by the request, if it has been sent.
	Use Use
	// Sent reports whether any byte may have reached the server.
	Sent bool
	// Dial reports whether connecting failed.
	Dial bool
	// Refused reports whether the process was not accepted, and the request was not sent to it.
	Refused bool
	Err     error
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
	// openCount is the number of open connections.
	openCount atomic.Int64
	mutex     sync.Mutex // guards the fields below
	idle      map[string][]*conn
	open      map[string]int // by address: connections in use or idle
	opened    int64
	strays    map[Match]int64
}

// New returns an empty pool.
func New(options Options) *Pool {
	pool := &Pool{options: options, started: time.Now(), idle: make(map[string][]*conn), open: make(map[string]int), strays: make(map[Match]int64)}
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

// OpenCount returns the number of open connections, in use or idle.
func (pool *Pool) OpenCount() int {
	return int(pool.openCount.Load())
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
	if len(pool.idle[kept.address]) >= pool.options.MaxIdle || kept.requests >= pool.options.MaxRequests {
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
	pool.openCount.Add(-1)
	if pool.open[closed.address] <= 0 {
		delete(pool.open, closed.address)
	}
}

// get returns a connection that may carry a request with a name: an idle one that is still open, or a new one.
func (pool *Pool) get(ctx context.Context, address string, name string) (*conn, error) {
	for {
		kept, ok := pool.popIdle(address, name)
		if !ok {
			return pool.dial(ctx, address)
		}
		if time.Now().Before(kept.expires) && socket.Idle(kept.Conn) {
			return kept, nil
		}
		pool.closeConn(kept)
	}
}

// popIdle takes the connection that became idle last of those that may carry a request with a name.
func (pool *Pool) popIdle(address string, name string) (*conn, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	for i, kept := range slices.Backward(idle) {
		if kept.mayCarry(name) {
			pool.idle[address] = slices.Delete(idle, i, i+1)
			return kept, true
		}
	}
	return nil, false
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
	pool.openCount.Add(1)
	heads := &headReader{Reader: activityReader{dialed, pool}}
	return &conn{Conn: dialed, number: pool.opened, address: address, reader: bufio.NewReaderSize(heads, pool.options.BufferBytes), heads: heads}, nil
}

// CloseExpired closes idle connections that have expired, and those on which bytes have come that raise a doubt.
func (pool *Pool) CloseExpired() {
	for _, doubtful := range pool.closeExpired() {
		doubtful.raiseDoubt()
	}
}

// Doubtful closes the idle connections to an address on which bytes have come that raise a doubt, and reports whether there were any.
func (pool *Pool) Doubtful(address string) bool {
	found := false
	for {
		kept, ok := pool.popSurplus(address)
		if !ok {
			return found
		}
		found = true
		kept.raiseDoubt()
		pool.closeConn(kept)
	}
}

// popSurplus takes an idle connection on which bytes have come that raise a doubt.
func (pool *Pool) popSurplus(address string) (*conn, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	at := slices.IndexFunc(idle, (*conn).hasSurplus)
	if at < 0 {
		return nil, false
	}
	kept := idle[at]
	pool.idle[address] = slices.Delete(idle, at, at+1)
	return kept, true
}

// closeExpired closes the connections that CloseExpired is to close, and returns those that raise a doubt.
func (pool *Pool) closeExpired() (doubtful []*conn) {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, idle := range pool.idle {
		kept := idle[:0]
		for _, each := range idle {
			surplus := each.hasSurplus()
			if now.Before(each.expires) && !surplus {
				kept = append(kept, each)
				continue
			}
			if surplus {
				doubtful = append(doubtful, each)
			}
			pool.closeLocked(each)
		}
		pool.idle[address] = kept
		if len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
	return doubtful
}
