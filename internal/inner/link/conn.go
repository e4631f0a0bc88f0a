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
	// maxBatch is the size from which a batch is written without waiting for more.
	maxBatch = 64 << 10
	// maxBacklog is the number of unwritten bytes at which a peer counts as lost.
	// Streams are held back by credits long before.
	maxBacklog = 64 << 20
	// maxMessage bounds one WebSocket message that a peer may send.
	maxMessage = 96 << 20
	// lastWrite is the longest that a connection is kept open to write what is
	// pending when the daemon ends.
	lastWrite = clock.Second
)

// conn is one lane to one peer. A writer goroutine sends everything that
// gathered while it was writing as one WebSocket message.
type conn struct {
	peer   ident.DaemonID
	lane   message.Lane
	socket *websocket.Conn
	// timing is asked anew for each ping and each read: it changes with the
	// number of peers.
	timing func() Timing

	mutex   sync.Mutex // guards pending, closed
	pending *bytes.Buffer
	closed  bool
	wake    chan struct{} // holds a token while pending is not empty
}

func newConn(peer ident.DaemonID, lane message.Lane, socket *websocket.Conn, timing func() Timing) *conn {
	return &conn{
		peer: peer, lane: lane, socket: socket, timing: timing,
		pending: &bytes.Buffer{}, wake: make(chan struct{}, 1),
	}
}

// enqueue adds what encode writes, and reports false on a lost connection.
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
	if conn.pending.Len() > maxBacklog {
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

// run reads and writes until the connection is lost or the context ends. In the
// latter case what is pending is written first, and the connection closes once
// the peer has read it: a daemon that shuts down has told its peers how their
// streams ended. Closing at once could reset the connection and lose that.
func (conn *conn) run(ctx context.Context, handler Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	writerEnded := make(chan error, 1)
	go func() {
		err := conn.write(ctx)
		if err != nil {
			conn.close()
		}
		writerEnded <- err
	}()
	readError := conn.read(handler)
	conn.close()
	cancel()
	if writeError := <-writerEnded; writeError != nil {
		return writeError
	}
	return readError
}

// finish writes what is pending and asks the peer to close the connection.
// A peer that does not is left after lastWrite.
func (conn *conn) finish(spare *bytes.Buffer) {
	longest := time.Now().Add(lastWrite.Duration())
	if conn.flush(conn.swap(spare), lastWrite) != nil {
		conn.close()
		return
	}
	text := websocket.FormatCloseMessage(websocket.CloseGoingAway, "the daemon ends")
	if conn.socket.WriteControl(websocket.CloseMessage, text, longest) != nil {
		conn.close()
		return
	}
	time.AfterFunc(time.Until(longest), conn.close)
}

func (conn *conn) read(handler Handler) error {
	conn.socket.SetReadLimit(maxMessage)
	extend := func() error {
		return conn.socket.SetReadDeadline(time.Now().Add(conn.timing().Silence.Duration()))
	}
	conn.socket.SetPongHandler(func(string) error { return extend() })
	conn.socket.SetPingHandler(func(data string) error {
		_ = conn.socket.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(time.Second))
		return extend()
	})
	for {
		if err := extend(); err != nil {
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

func (conn *conn) write(ctx context.Context) error {
	ping := time.NewTimer(conn.timing().Ping.Duration())
	defer ping.Stop()
	spare := &bytes.Buffer{}
	for {
		select {
		case <-ctx.Done():
			conn.finish(spare)
			return nil
		case <-ping.C:
			ping.Reset(conn.timing().Ping.Duration())
			err := conn.socket.WriteControl(websocket.PingMessage, nil, time.Now().Add(conn.timing().Silence.Duration()))
			if err != nil {
				return errors.Wrap(err, "ping")
			}
		case <-conn.wake:
			batch := conn.swap(spare)
			if err := conn.flush(batch, conn.timing().Silence); err != nil {
				return err
			}
			spare = recycle(batch)
		}
	}
}

// swap takes the pending frames and leaves an empty buffer in their place.
func (conn *conn) swap(empty *bytes.Buffer) *bytes.Buffer {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	batch := conn.pending
	conn.pending = empty
	return batch
}

func (conn *conn) flush(batch *bytes.Buffer, longest clock.Millis) error {
	if batch.Len() == 0 {
		return nil
	}
	if err := conn.socket.SetWriteDeadline(time.Now().Add(longest.Duration())); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	return errors.Wrap(conn.socket.WriteMessage(websocket.BinaryMessage, batch.Bytes()), "write")
}

// recycle keeps a buffer for reuse unless a burst made it large.
func recycle(batch *bytes.Buffer) *bytes.Buffer {
	if batch.Cap() > maxBatch {
		return &bytes.Buffer{}
	}
	batch.Reset()
	return batch
}
