package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/footprint"
)

// This file connects the account of what callers make the daemon hold with connections, logs and metrics.

const (
	// callerReceiveBuffer is the size in bytes of the kernel's buffer for what comes on a caller's connection and has not been read. The kernel
	// takes twice as much.
	callerReceiveBuffer = 16 << 10
	// peerReceiveBuffer is the same for the connections of peers, which are far fewer and bring long messages.
	peerReceiveBuffer = 32 << 10
)

// listenTCP listens on an address. What connections receive unread is bounded by a buffer of a size.
func listenTCP(address string, buffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
		})
		if err != nil {
			return errors.Wrap(err, "set receive buffer")
		}
		return errors.Wrap(failed, "set receive buffer")
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// holdOf returns the hold of a request's connection, which is not to give way while it works on the request, and a function that ends the
// request. A request of a peer has a hold of its own. It returns false if there is no room for it.
func (gateway *Gateway) holdOf(request *http.Request) (*footprint.Hold, func(), bool) {
	if conn, ok := request.Context().Value(connKey{}).(*callerConn); ok {
		if _, ok := conn.hold.Enter(footprint.Working); !ok {
			panic(http.ErrAbortHandler) // the connection has been closed
		}
		return conn.hold, func() {}, true
	}
	conn := connOf(request)
	hold, ok := gateway.footprint.Open(func(phase footprint.Phase) {
		if conn != nil {
			giveWay(conn, phase)
		}
	})
	if !ok {
		return nil, nil, false
	}
	_, entered := hold.Enter(footprint.Working)
	return hold, hold.Close, entered
}

const (
	// freeHead is the part of a head that belongs to the cost of a connection, by the measure of headCost.
	freeHead = 8 << 10
	// headLine is the memory that a line of a head takes beyond its bytes.
	headLine = 256
)

// headCost measures the memory that the head of a request takes. The zero value is that of a head of which nothing has come.
type headCost struct {
	mutex   sync.Mutex
	size    int64
	counted int64
}

// add adds bytes of a head, and returns the part of its cost that has not been counted yet.
func (headCost *headCost) add(part []byte) int64 {
	headCost.mutex.Lock()
	defer headCost.mutex.Unlock()
	headCost.size += int64(len(part) + headLine*bytes.Count(part, []byte{'\n'}))
	added := max(0, headCost.size-freeHead) - headCost.counted
	headCost.counted += added
	return added
}

// reset begins the next head.
func (headCost *headCost) reset() {
	headCost.mutex.Lock()
	defer headCost.mutex.Unlock()
	headCost.size, headCost.counted = 0, 0
}

// countHead counts bytes that have come if they belong to the head of a request, and reports whether there is room for it.
func (callerConn *callerConn) countHead(part []byte) bool {
	if !callerConn.hold.IsWaiting() {
		return true
	}
	added := callerConn.head.add(part)
	return added == 0 || callerConn.hold.GrowHead(added)
}

// endAnswer ends the answer to a request: the connection waits for the next one.
func (callerConn *callerConn) endAnswer() {
	callerConn.writeDeadline.Store(0)
	callerConn.head.reset()
	callerConn.hold.EndHead()
	callerConn.hold.Enter(footprint.Waiting) // fails if it gives way, and is closed
}

const (
	// writePiece is the size of the pieces in which answers are written.
	writePiece = 64 << 10
	// writeTimeout is the longest time that a piece may take, unless the configuration sets a shorter one for idle connections.
	writeTimeout = time.Minute
)

// Write implements net.Conn. A caller that reads no piece of an answer for as long as a connection may be idle loses the connection. A body
// that gave way still has its refusal written; other connections that gave way are closed.
func (callerConn *callerConn) Write(data []byte) (int, error) {
	before, entered := callerConn.hold.Enter(footprint.Sending)
	total := 0
	for {
		piece := data[total:min(len(data), total+writePiece)]
		if err := callerConn.Conn.SetWriteDeadline(callerConn.pieceDeadline()); err != nil {
			return total, err
		}
		written, err := callerConn.Conn.Write(piece)
		total += written
		callerConn.hold.Progress(written)
		if err != nil {
			return total, err
		}
		if total == len(data) {
			break
		}
	}
	if entered {
		callerConn.hold.Enter(before) // fails if it gave way meanwhile, and is closed
	}
	return total, nil
}

// pieceDeadline returns the time limit for the next piece of an answer.
func (callerConn *callerConn) pieceDeadline() time.Time {
	timeout := writeTimeout
	if idle := clock.Millis(callerConn.idleTimeout.Load()); idle > 0 {
		timeout = min(timeout, idle.Duration())
	}
	deadline := time.Now().Add(timeout)
	if set := callerConn.writeDeadline.Load(); set != 0 && set < deadline.UnixNano() {
		return time.Unix(0, set)
	}
	return deadline
}

// SetWriteDeadline implements net.Conn.
func (callerConn *callerConn) SetWriteDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		callerConn.writeDeadline.Store(0)
	} else {
		callerConn.writeDeadline.Store(deadline.UnixNano())
	}
	return callerConn.Conn.SetWriteDeadline(deadline)
}

// footprintLog logs what the account refuses and closes: one line for all that has happened since the last one.
type footprintLog struct {
	account *footprint.Account
	log     *slog.Logger
	last    atomic.Pointer[footprint.Counts]
}

func newFootprintLog(gateway *Gateway) *footprintLog {
	footprintLog := &footprintLog{account: gateway.footprint, log: gateway.log}
	footprintLog.last.Store(&footprint.Counts{})
	return footprintLog
}

// logChanges logs what has been refused and closed since the last call, if anything.
func (footprintLog *footprintLog) logChanges() {
	state := footprintLog.account.State()
	last := footprintLog.last.Swap(&state.Counts)
	if *last == state.Counts {
		return
	}
	footprintLog.log.Warn("callers make the daemon hold as much as it can", "Bytes", state.Bytes, "Limit", state.Limits.Bytes, "Connections", state.Connections,
		"Refused", state.Counts.Refused-last.Refused, "RefusedForMemory", state.Counts.RefusedBytes-last.RefusedBytes, "BodiesEnded", state.Counts.Bodies-last.Bodies,
		"ConnectionsClosed", state.Counts.Connections-last.Connections, "SlowReadersClosed", state.Counts.SlowReaders-last.SlowReaders)
}

// writeFootprint writes the metrics of what callers make the daemon hold.
func (gateway *Gateway) writeFootprint(out io.Writer) {
	state := gateway.footprint.State()
	for _, each := range []gauge{
		{"teaselmoor_footprint_bytes", float64(state.Bytes)},
		{"teaselmoor_footprint_limit_bytes", float64(state.Limits.Bytes)},
		{"teaselmoor_footprint_connections", float64(state.Connections)},
		{"teaselmoor_footprint_limit_descriptors", float64(state.Limits.Descriptors)},
		{"teaselmoor_footprint_refused_total", float64(state.Counts.Refused)},
		{"teaselmoor_footprint_bodies_ended_total", float64(state.Counts.Bodies)},
		{"teaselmoor_footprint_connections_closed_total", float64(state.Counts.Connections)},
		{"teaselmoor_footprint_slow_readers_closed_total", float64(state.Counts.SlowReaders)},
	} {
		writeGauge(out, each)
	}
}
