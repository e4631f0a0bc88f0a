package link

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// Limits of one connection.
const (
	// maxReusedBytes is the maximum capacity of a buffer that is kept for reuse.
	maxReusedBytes = 64 << 10
	// maxPendingBytes is the maximum backlog of unwritten bytes. A connection that exceeds
	// it is closed. Flow control by credits stops the streams long before.
	maxPendingBytes = 64 << 20
	// maxMessageBytes is the maximum size of a WebSocket message from a peer.
	maxMessageBytes = 96 << 20
	// closeTimeout is the maximum time that a connection stays open to write pending
	// frames after its context is done: when the daemon ends, or when the peer is no
	// longer listed.
	closeTimeout = clock.Second
)

// conn is the connection to a peer for one lane. A writer goroutine sends the frames that
// were queued during its last write as one WebSocket message.
type conn struct {
	peer   ident.DaemonID
	lane   message.Lane
	socket *websocket.Conn
	// timing is called before each ping, read and write, because the timing changes with
	// the number of connections.
	timing func() Timing

	mutex   sync.Mutex // guards pending, closed
	pending *bytes.Buffer
	closed  bool
	wake    chan struct{} // has a value when frames may be pending
}

func newConn(peer ident.DaemonID, lane message.Lane, socket *websocket.Conn, timing func() Timing) *conn {
	return &conn{
		peer: peer, lane: lane, socket: socket, timing: timing,
		pending: &bytes.Buffer{}, wake: make(chan struct{}, 1),
	}
}

// enqueue adds the frame that encode writes to the pending frames. It returns false if the
// connection is closed, the frame cannot be encoded or the backlog is too large.
func (conn *conn) enqueue(encode func(*bytes.Buffer) error) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closed {
		return false
	}
	before := conn.pending.Len()
	if err := encode(conn.pending); err != nil {
		conn.pending.Truncate(before)
		return false
	}
	if conn.pending.Len() > maxPendingBytes {
		conn.closeLocked()
		return false
	}
	select {
	case conn.wake <- struct{}{}:
	default:
	}
	return true
}

func (conn *conn) close() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.closeLocked()
}

func (conn *conn) closeLocked() {
	if !conn.closed {
		conn.closed = true
		_ = conn.socket.Close()
	}
}

// run reads and writes until the connection is lost or the context is done. In the latter
// case the pending frames are written first, and the peer closes the connection after
// reading them. The last frames report how streams ended; closing immediately could reset
// the connection and lose them.
func (conn *conn) run(ctx context.Context, handler Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	writeErrors := make(chan error, 1)
	go func() {
		err := conn.writeLoop(ctx)
		if err != nil {
			conn.close()
		}
		writeErrors <- err
	}()
	readError := conn.readLoop(handler)
	conn.close()
	cancel()
	if writeError := <-writeErrors; writeError != nil {
		return writeError
	}
	return readError
}

// shutDown writes the pending frames and asks the peer to close the connection. If the peer
// does not, it closes the connection after closeTimeout.
func (conn *conn) shutDown(spare *bytes.Buffer) {
	deadline := time.Now().Add(closeTimeout.Duration())
	if conn.writeBatch(conn.takePending(spare), closeTimeout) != nil {
		conn.close()
		return
	}
	text := websocket.FormatCloseMessage(websocket.CloseGoingAway, "the daemon ends")
	if conn.socket.WriteControl(websocket.CloseMessage, text, deadline) != nil {
		conn.close()
		return
	}
	time.AfterFunc(time.Until(deadline), conn.close)
}

// readLoop passes received frames to the handler until the connection fails or nothing,
// not even a ping or pong, is received within the timeout.
func (conn *conn) readLoop(handler Handler) error {
	conn.socket.SetReadLimit(maxMessageBytes)
	extendDeadline := func() error {
		return conn.socket.SetReadDeadline(time.Now().Add(conn.timing().SilenceTimeout.Duration()))
	}
	conn.socket.SetPongHandler(func(string) error { return extendDeadline() })
	conn.socket.SetPingHandler(func(data string) error {
		_ = conn.socket.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(time.Second))
		return extendDeadline()
	})
	for {
		if err := extendDeadline(); err != nil {
			return errors.Wrap(err, "set read deadline")
		}
		_, batch, err := conn.socket.ReadMessage()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		if err := decodeFrames(conn.peer, batch, handler); err != nil {
			return err
		}
	}
}

// writeLoop writes pending frames and pings until the connection fails or the context is
// done.
func (conn *conn) writeLoop(ctx context.Context) error {
	ping := time.NewTimer(conn.timing().PingInterval.Duration())
	defer ping.Stop()
	spare := &bytes.Buffer{}
	for {
		select {
		case <-ctx.Done():
			conn.shutDown(spare)
			return nil
		case <-ping.C:
			ping.Reset(conn.timing().PingInterval.Duration())
			err := conn.socket.WriteControl(websocket.PingMessage, nil, time.Now().Add(conn.timing().SilenceTimeout.Duration()))
			if err != nil {
				return errors.Wrap(err, "ping")
			}
		case <-conn.wake:
			batch := conn.takePending(spare)
			if err := conn.writeBatch(batch, conn.timing().SilenceTimeout); err != nil {
				return err
			}
			spare = recycle(batch)
		}
	}
}

// takePending returns the pending frames and puts an empty buffer in their place.
func (conn *conn) takePending(empty *bytes.Buffer) *bytes.Buffer {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	batch := conn.pending
	conn.pending = empty
	return batch
}

func (conn *conn) writeBatch(batch *bytes.Buffer, timeout clock.Millis) error {
	if batch.Len() == 0 {
		return nil
	}
	if err := conn.socket.SetWriteDeadline(time.Now().Add(timeout.Duration())); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	return errors.Wrap(conn.socket.WriteMessage(websocket.BinaryMessage, batch.Bytes()), "write")
}

// recycle returns an empty buffer: the batch's own, unless a burst made it large.
func recycle(batch *bytes.Buffer) *bytes.Buffer {
	if batch.Cap() > maxReusedBytes {
		return &bytes.Buffer{}
	}
	batch.Reset()
	return batch
}
