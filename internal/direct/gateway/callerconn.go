package gateway

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/footprint"
	"teaselmoor/internal/direct/intake"
	"teaselmoor/internal/direct/socket"
)

// callerListener accepts callers' connections. It closes those that their callers have closed before they were accepted, so that
// a backlog is worked off quickly, and accepts no further ones while as many requests are read as may be at a time.
type callerListener struct {
	net.Listener
	readers   *intake.Readers
	footprint *footprint.Account
	limits    func() catalog.Limits // of the configuration in force
	guard     *crowdGuard
	counters  *counters
	log       *slog.Logger
}

// Accept implements net.Listener.
func (callerListener *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := callerListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		state := socket.Look(conn)
		if state.Ended {
			callerListener.counters.recordUnread()
			callerListener.log.Debug("connection closed unread", "Caller", conn.RemoteAddr().String(), "Cause", "its caller has left")
			_ = conn.Close() // the other side has closed it
			continue
		}
		if state.Readable && callerListener.refuse(conn) {
			continue
		}
		accepted := callerListener.wrap(conn)
		if accepted == nil {
			callerListener.guard.refuseFull(conn)
			_ = conn.Close() // the answer has been written
			continue
		}
		if state.Readable {
			accepted.beginRequest()
		}
		return accepted, nil
	}
}

// refuse refuses the request of a new connection if the daemon is crowded, and reports whether it has.
func (callerListener *callerListener) refuse(conn net.Conn) bool {
	callerListener.readers.Acquire()
	defer callerListener.readers.Release()
	if !callerListener.guard.refuse(conn) {
		return false
	}
	_ = conn.Close() // the answer has been written
	return true
}

// callerConn is a connection of a caller. It counts among those that are read from when the first bytes of a request are there until the
// request is decided on, or has to wait for further bytes.
type callerConn struct {
	net.Conn
	readers *intake.Readers
	hold    *footprint.Hold
	limits  func() catalog.Limits
	head    headCost
	between atomic.Bool // no byte of the next request has been read
	idle    atomic.Bool // a request has ended, and the connection waits for the next one
	counted atomic.Bool // it counts among those that are read from

	// idleTimeout is how long the connection may be idle, in milliseconds; 0: not known.
	idleTimeout atomic.Int64
	// writeDeadline is the time limit that a request's handler has set for its answer, in Unix nanoseconds; 0: none.
	writeDeadline atomic.Int64
}

// wrap returns a connection, or nil if there is no room for it.
func (callerListener *callerListener) wrap(conn net.Conn) *callerConn {
	hold, ok := callerListener.footprint.Open(func(phase footprint.Phase) { giveWay(conn, phase) })
	if !ok {
		return nil
	}
	callerConn := &callerConn{Conn: conn, readers: callerListener.readers, hold: hold, limits: callerListener.limits}
	callerConn.between.Store(true)
	return callerConn
}

// giveWay ends what a caller makes the daemon hold on a connection: the body that comes in, whose request can still be refused, or else the
// connection.
func giveWay(conn net.Conn, phase footprint.Phase) {
	if phase == footprint.Receiving {
		_ = conn.SetReadDeadline(time.Now()) // fails on a closed connection, which holds nothing more
		return
	}
	_ = conn.Close() // nothing more is sent on it
}

// Read implements net.Conn.
func (callerConn *callerConn) Read(buffer []byte) (int, error) {
	if !callerConn.between.Load() {
		callerConn.endRequest() // the rest of the request may not be there
	}
	size, err := callerConn.Conn.Read(buffer)
	if size > 0 && callerConn.between.CompareAndSwap(true, false) {
		callerConn.beginRequest()
	}
	if size > 0 && !callerConn.countHead(buffer[:size]) {
		return 0, io.EOF // which the HTTP server does not answer
	}
	return size, err
}

// SetReadDeadline implements net.Conn. The HTTP server calls it with its own time-out before it waits for a request, and again before it
// reads the head of one: those of the configuration replace them.
func (callerConn *callerConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.After(time.Now()) {
		return callerConn.Conn.SetReadDeadline(deadline) // none, or a read is to end
	}
	limits := callerConn.limits()
	callerConn.idleTimeout.Store(int64(limits.IdleTimeout))
	timeout := limits.HeaderTimeout
	if callerConn.idle.CompareAndSwap(true, false) {
		timeout = limits.IdleTimeout
	}
	if timeout > 0 {
		deadline = time.Now().Add(timeout.Duration())
	}
	return callerConn.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (callerConn *callerConn) Close() error {
	callerConn.endRequest()
	callerConn.hold.Close()
	return callerConn.Conn.Close()
}

// beginRequest waits until a request may be read.
func (callerConn *callerConn) beginRequest() {
	if !callerConn.counted.Load() {
		callerConn.readers.Acquire()
		callerConn.counted.Store(true)
	}
}

// endRequest lets other requests be read.
func (callerConn *callerConn) endRequest() {
	if callerConn.counted.CompareAndSwap(true, false) {
		callerConn.readers.Release()
	}
}

// watchCallers follows the state of callers' connections.
func watchCallers(conn net.Conn, state http.ConnState) {
	if callerConn, ok := conn.(*callerConn); ok && state == http.StateIdle {
		callerConn.endRequest()
		callerConn.endAnswer()
		callerConn.between.Store(true)
		callerConn.idle.Store(true)
	}
}
