// Package link is the inner protocol: WebSocket connections between daemons
// that carry CBOR frames.
//
// Each pair of daemons has one connection per lane, so that neither routine
// work nor a burst of control messages delays urgent work. The daemon whose
// name sorts first dials. Within a lane, every stream has its own credits: a
// caller that reads slowly holds back its own stream only.
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

// Path is where a daemon accepts connections of the inner protocol.
const Path = "/inner"

const bufferSize = 16 << 10

// Handler takes in what peers send. Its methods are called from one goroutine
// per lane and must not block.
type Handler interface {
	Message(from ident.DaemonID, received message.Message)
	Head(from ident.DaemonID, stream ident.StreamID, status int, contentType string)
	Chunk(from ident.DaemonID, stream ident.StreamID, index uint64, payload []byte)
	Credit(from ident.DaemonID, stream ident.StreamID, bytes int)
	// Reset says that the peer knows nothing of a stream that it was sent.
	Reset(from ident.DaemonID, stream ident.StreamID)
	// Connected and Lost report a lane's connection and its loss.
	Connected(peer ident.DaemonID, lane message.Lane)
	Lost(peer ident.DaemonID, lane message.Lane)
}

// Timing holds the spans of the inner protocol.
type Timing struct {
	Ping clock.Millis
	// Silence is the span without any word after which a peer counts as lost.
	Silence clock.Millis
	// Redial is the span between two tries to connect.
	Redial clock.Millis
}

// DefaultTiming returns the spans used when settings name none.
func DefaultTiming() Timing {
	return Timing{Ping: clock.Second, Silence: 3 * clock.Second, Redial: 250 * clock.Millisecond}
}

// pingSpan is the least span between two pings of a daemon over all its lanes.
// With many peers each lane is pinged more rarely, so that pings stay a small
// part of a daemon's control traffic; that a daemon is silent is noticed by its
// updates, which come through relays.
const pingSpan = 50 * clock.Millisecond

// silencePings is the least number of pings that fit into the silence after
// which a lane counts as lost.
const silencePings = 3

// Scaled returns the spans for a number of lanes.
func (timing Timing) Scaled(lanes int) Timing {
	timing.Ping = max(timing.Ping, pingSpan*clock.Millis(lanes))
	timing.Silence = max(timing.Silence, silencePings*timing.Ping)
	return timing
}

// Peer is a daemon to be connected with.
type Peer struct {
	Name    ident.DaemonID
	Address string // IP:port
}

// Set holds the connections to all peers. Safe for concurrent use.
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

// New returns a set without connections. Its goroutines belong to the given
// group and end with it.
func New(tasks *task.Group, self ident.DaemonID, handler Handler, timing Timing, log *slog.Logger) *Set {
	return &Set{
		self: self, handler: handler, timing: timing, log: log, tasks: tasks,
		conns: map[laneKey]*conn{}, dials: map[ident.DaemonID]dial{},
	}
}

// Connect makes the set's peers those given: it dials those whose name sorts
// after this daemon's and drops those that are gone.
func (set *Set) Connect(peers []Peer) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	wanted := make(map[ident.DaemonID]string, len(peers))
	for _, peer := range peers {
		wanted[peer.Name] = peer.Address
	}
	for name, dialing := range set.dials {
		if wanted[name] != dialing.address {
			dialing.cancel()
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

func (set *Set) keepDialing(ctx context.Context, peer Peer, lane message.Lane) {
	query := url.Values{"From": {string(set.self)}, "Lane": {strconv.Itoa(int(lane))}}
	target := fmt.Sprintf("ws://%s%s?%s", peer.Address, Path, query.Encode())
	dialer := websocket.Dialer{
		HandshakeTimeout: set.timing.Silence.Duration(), ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
	}
	for ctx.Err() == nil {
		socket, response, err := dialer.DialContext(ctx, target, nil)
		if response != nil {
			_ = response.Body.Close()
		}
		if err == nil {
			set.serve(ctx, newConn(peer.Name, lane, socket, set.pace))
		}
		select {
		case <-ctx.Done():
		case <-time.After(set.timing.Redial.Duration()):
		}
	}
}

// ServeHTTP accepts a peer's connection.
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
		return // the upgrader has answered
	}
	set.serve(set.tasks.Context(), newConn(from, message.Lane(lane), socket, set.pace))
}

// serve runs a connection to its end. A newer connection of the same lane
// replaces an older one.
func (set *Set) serve(ctx context.Context, conn *conn) {
	key := laneKey{peer: conn.peer, lane: conn.lane}
	set.mutex.Lock()
	former := set.conns[key]
	set.conns[key] = conn
	set.mutex.Unlock()
	if former != nil {
		former.close()
	}
	set.handler.Connected(conn.peer, conn.lane)
	err := conn.run(ctx, set.handler)
	conn.close()
	set.mutex.Lock()
	if set.conns[key] == conn {
		delete(set.conns, key)
	}
	set.mutex.Unlock()
	set.log.Info("peer lane lost", "Peer", conn.peer, "Lane", conn.lane, "Cause", err)
	set.handler.Lost(conn.peer, conn.lane)
}

// pace returns the spans for the lanes there are now.
func (set *Set) pace() Timing {
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

// Send queues a message on its lane. It reports false when the peer is not
// connected; true does not mean that the message will arrive.
func (set *Set) Send(to ident.DaemonID, sent message.Message) bool {
	return set.enqueue(to, sent.Lane(), func(buffer *bytes.Buffer) error {
		return appendMessage(buffer, sent)
	})
}

// SendHead opens the answer of a stream.
func (set *Set) SendHead(to ident.DaemonID, lane message.Lane, stream ident.StreamID, status int, contentType string) bool {
	return set.enqueue(to, lane, func(buffer *bytes.Buffer) error {
		return appendFrame(buffer, headKind, headFrame{Stream: stream, Status: status, ContentType: contentType})
	})
}

// SendChunk sends a piece of a stream's answer. The caller holds credit for it.
func (set *Set) SendChunk(to ident.DaemonID, lane message.Lane, stream ident.StreamID, index uint64, payload []byte) bool {
	return set.enqueue(to, lane, func(buffer *bytes.Buffer) error {
		return appendFrame(buffer, chunkKind, chunkFrame{Stream: stream, Index: index, Payload: payload})
	})
}

// SendCredit lets the sender of a stream send that many more bytes.
func (set *Set) SendCredit(to ident.DaemonID, lane message.Lane, stream ident.StreamID, count int) bool {
	return set.enqueue(to, lane, func(buffer *bytes.Buffer) error {
		return appendFrame(buffer, creditKind, creditFrame{Stream: stream, Bytes: count})
	})
}

// SendReset tells the sender of a stream that it is not known here.
func (set *Set) SendReset(to ident.DaemonID, stream ident.StreamID) bool {
	return set.enqueue(to, message.ControlLane, func(buffer *bytes.Buffer) error {
		return appendFrame(buffer, resetKind, resetFrame{Stream: stream})
	})
}

// Peers returns the daemons with a live control connection.
func (set *Set) Peers() []ident.DaemonID {
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
