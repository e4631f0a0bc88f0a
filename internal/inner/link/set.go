// Package link implements the inner protocol: WebSocket connections between daemons that
// carry CBOR frames.
//
// Each pair of daemons has one connection per lane, so that neither routine work nor a
// burst of control messages delays urgent work. The daemon whose name sorts first dials.
// Within a lane, each stream has its own credits, the number of bytes that its sender may
// still send, so that a caller that reads slowly delays only its own stream.
package link

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/websocket"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/decide/message"
)

// Path is the URL path at which a daemon accepts connections of the inner protocol.
const Path = "/inner"

// bufferSize is the size of a connection's read and write buffers, in bytes.
const bufferSize = 16 << 10

// Handler receives frames and connection events from peers. Each lane of a peer calls it
// from its own goroutine. Its methods must not block.
type Handler interface {
	// Message receives a message.
	Message(from ident.DaemonID, received message.Message)
	// Head starts the answer of a stream.
	Head(from ident.DaemonID, stream ident.StreamID, status int, contentType string)
	// Chunk is a part of the body of a stream's answer. Indices count from 0.
	Chunk(from ident.DaemonID, stream ident.StreamID, index uint64, payload []byte)
	// Credit allows this daemon to send more bytes of a stream's answer.
	Credit(from ident.DaemonID, stream ident.StreamID, bytes int)
	// Reset reports that the peer does not know a stream that this daemon sent to it.
	Reset(from ident.DaemonID, stream ident.StreamID)
	// Connected and Lost report that the connection of a lane was opened or lost.
	Connected(peer ident.DaemonID, lane message.Lane)
	Lost(peer ident.DaemonID, lane message.Lane)
}

// Timing contains the intervals and timeouts of the inner protocol.
type Timing struct {
	// PingInterval is the interval between two pings on a connection.
	PingInterval clock.Millis
	// SilenceTimeout is the time without any message, ping or pong after which a
	// connection counts as lost.
	SilenceTimeout clock.Millis
	// RedialInterval is the time between two attempts to connect.
	RedialInterval clock.Millis
}

// DefaultTiming returns the timing used if the settings do not set it.
func DefaultTiming() Timing {
	return Timing{PingInterval: clock.Second, SilenceTimeout: 3 * clock.Second, RedialInterval: 250 * clock.Millisecond}
}

// minPingSpacing is the minimum average time between two pings of a daemon, over all its
// connections. With many peers each connection is pinged less often, so that pings remain
// a small part of the control traffic. This does not delay the detection of silent
// daemons, which relies on their updates, sent directly or forwarded by another daemon.
const minPingSpacing = 50 * clock.Millisecond

// minPingsPerTimeout is the minimum number of ping intervals in the time without messages
// after which a connection counts as lost.
const minPingsPerTimeout = 3

// Scaled returns the timing for the given number of connections.
func (timing Timing) Scaled(connections int) Timing {
	timing.PingInterval = max(timing.PingInterval, minPingSpacing*clock.Millis(connections))
	timing.SilenceTimeout = max(timing.SilenceTimeout, minPingsPerTimeout*timing.PingInterval)
	return timing
}

// Peer is a daemon to which this daemon keeps connections.
type Peer struct {
	Name    ident.DaemonID
	Address string // IP:port
}

// Set is the set of connections to all peers. It is safe for concurrent use.
type Set struct {
	self    ident.DaemonID
	handler Handler
	timing  Timing
	log     *slog.Logger
	tasks   *task.Group

	mutex sync.RWMutex // guards conns, dials
	conns map[laneKey]*conn
	dials map[ident.DaemonID]dial
}

type laneKey struct {
	peer ident.DaemonID
	lane message.Lane
}

type dial struct {
	address string
	cancel  context.CancelFunc
}

// New returns a set without connections. Its goroutines that dial belong to the given
// group, and all its connections end with the group.
func New(tasks *task.Group, self ident.DaemonID, handler Handler, timing Timing, log *slog.Logger) *Set {
	return &Set{
		self: self, handler: handler, timing: timing, log: log, tasks: tasks,
		conns: map[laneKey]*conn{}, dials: map[ident.DaemonID]dial{},
	}
}

// SetPeers replaces the list of peers. It dials the peers whose names sort after that of
// this daemon. It closes the connections that it dialed to peers that are no longer listed
// or whose address has changed.
func (set *Set) SetPeers(peers []Peer) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	wanted := make(map[ident.DaemonID]string, len(peers))
	for _, peer := range peers {
		wanted[peer.Name] = peer.Address
	}
	for name, dial := range set.dials {
		if wanted[name] != dial.address {
			dial.cancel()
			delete(set.dials, name)
		}
	}
	for name, address := range wanted {
		if _, dialing := set.dials[name]; !dialing && set.self < name {
			set.startDial(Peer{Name: name, Address: address})
		}
	}
}

func (set *Set) startDial(peer Peer) {
	ctx, cancel := context.WithCancel(set.tasks.Context())
	set.dials[peer.Name] = dial{address: peer.Address, cancel: cancel}
	for lane := range message.LaneCount {
		set.tasks.Go("dial "+string(peer.Name), func(context.Context) error {
			set.keepDialing(ctx, peer, lane)
			return nil
		})
	}
}

// keepDialing connects to a peer, and connects again after a failure, until the context is
// done.
func (set *Set) keepDialing(ctx context.Context, peer Peer, lane message.Lane) {
	query := url.Values{"From": {string(set.self)}, "Lane": {strconv.Itoa(int(lane))}}
	target := fmt.Sprintf("ws://%s%s?%s", peer.Address, Path, query.Encode())
	dialer := websocket.Dialer{
		HandshakeTimeout: set.timing.SilenceTimeout.Duration(), ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
	}
	for ctx.Err() == nil {
		socket, response, err := dialer.DialContext(ctx, target, nil)
		if response != nil {
			_ = response.Body.Close()
		}
		if err == nil {
			set.serve(ctx, newConn(peer.Name, lane, socket, set.currentTiming))
		}
		select {
		case <-ctx.Done():
		case <-time.After(set.timing.RedialInterval.Duration()):
		}
	}
}

// ServeHTTP accepts a connection from a peer and serves it until it ends.
func (set *Set) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	from := ident.DaemonID(request.URL.Query().Get("From"))
	lane, err := strconv.Atoi(request.URL.Query().Get("Lane"))
	if from == "" || err != nil || lane < 0 || lane >= int(message.LaneCount) {
		http.Error(writer, "want From and Lane", http.StatusBadRequest)
		return
	}
	upgrader := websocket.Upgrader{ReadBufferSize: bufferSize, WriteBufferSize: bufferSize}
	socket, err := upgrader.Upgrade(writer, request, nil)
	if err != nil {
		return // the upgrader has sent an error response
	}
	set.serve(set.tasks.Context(), newConn(from, message.Lane(lane), socket, set.currentTiming))
}

// serve runs a connection until it ends. It closes the previous connection of the same
// peer and lane, if there is one.
func (set *Set) serve(ctx context.Context, conn *conn) {
	key := laneKey{peer: conn.peer, lane: conn.lane}
	set.mutex.Lock()
	previous := set.conns[key]
	set.conns[key] = conn
	set.mutex.Unlock()
	if previous != nil {
		previous.close()
	}
	set.handler.Connected(conn.peer, conn.lane)
	err := conn.run(ctx, set.handler)
	conn.close()
	set.mutex.Lock()
	if set.conns[key] == conn {
		delete(set.conns, key)
	}
	set.mutex.Unlock()
	set.log.Info("connection to peer lost", "Peer", conn.peer, "Lane", conn.lane, "Cause", err)
	set.handler.Lost(conn.peer, conn.lane)
}

// currentTiming returns the timing for the current number of connections.
func (set *Set) currentTiming() Timing {
	set.mutex.RLock()
	defer set.mutex.RUnlock()
	return set.timing.Scaled(len(set.conns))
}

func (set *Set) conn(peer ident.DaemonID, lane message.Lane) *conn {
	set.mutex.RLock()
	defer set.mutex.RUnlock()
	return set.conns[laneKey{peer: peer, lane: lane}]
}

func (set *Set) enqueue(peer ident.DaemonID, lane message.Lane, encode func(*bytes.Buffer) error) bool {
	conn := set.conn(peer, lane)
	return conn != nil && conn.enqueue(encode)
}

// Send queues a message on its lane. It returns false if the message could not be queued,
// for example because the peer is not connected. True does not mean that the message will
// arrive.
func (set *Set) Send(to ident.DaemonID, sent message.Message) bool {
	return set.enqueue(to, sent.Lane(), func(buffer *bytes.Buffer) error {
		return appendMessage(buffer, sent)
	})
}

// SendHead queues the start of a stream's answer. Like Send, it returns false if the frame
// could not be queued.
func (set *Set) SendHead(to ident.DaemonID, lane message.Lane, stream ident.StreamID, status int, contentType string) bool {
	return set.enqueue(to, lane, func(buffer *bytes.Buffer) error {
		return appendFrame(buffer, headKind, headFrame{Stream: stream, Status: status, ContentType: contentType})
	})
}

// SendChunk queues a part of the body of a stream's answer. The caller must have credit
// for it.
func (set *Set) SendChunk(to ident.DaemonID, lane message.Lane, stream ident.StreamID, index uint64, payload []byte) bool {
	return set.enqueue(to, lane, func(buffer *bytes.Buffer) error {
		return appendFrame(buffer, chunkKind, chunkFrame{Stream: stream, Index: index, Payload: payload})
	})
}

// SendCredit allows the sender of a stream to send count more bytes.
func (set *Set) SendCredit(to ident.DaemonID, lane message.Lane, stream ident.StreamID, count int) bool {
	return set.enqueue(to, lane, func(buffer *bytes.Buffer) error {
		return appendFrame(buffer, creditKind, creditFrame{Stream: stream, Bytes: count})
	})
}

// SendReset reports to the sender of a stream that this daemon does not know the stream.
func (set *Set) SendReset(to ident.DaemonID, stream ident.StreamID) bool {
	return set.enqueue(to, message.ControlLane, func(buffer *bytes.Buffer) error {
		return appendFrame(buffer, resetKind, resetFrame{Stream: stream})
	})
}

// ConnectedPeers returns the daemons whose control lane is connected.
func (set *Set) ConnectedPeers() []ident.DaemonID {
	set.mutex.RLock()
	defer set.mutex.RUnlock()
	peers := make([]ident.DaemonID, 0, len(set.conns)/int(message.LaneCount))
	for key := range set.conns {
		if key.lane == message.ControlLane {
			peers = append(peers, key.peer)
		}
	}
	return peers
}
