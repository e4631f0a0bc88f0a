package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/direct/topology"
)

// Path is where daemons accept the connections of their peers.
const Path = "/peer"

// Options are the limits of connections between daemons.
type Options struct {
	DialTimeout  clock.Millis // a VM that has no power does not answer at all
	WriteTimeout clock.Millis
	Ping         clock.Millis // between two pings at first; SetPing changes it
	Redial       clock.Millis // between two tries to connect
	// Daemons that start together, as after a loss of all VMs, call seeds that have no
	// power yet: a call that gets no answer is given up after QuickDial, and made again
	// after QuickRedial, for QuickSpan from when the daemon became known. With the usual times
	// daemons heard the first other one 0.8 s after they had started.
	QuickDial, QuickRedial, QuickSpan clock.Millis
	GiveUp                            clock.Millis // after which a daemon that cannot be reached is forgotten, unless it is a seed
	QueueLength                       int          // messages waiting for one peer; beyond it the connection is given up
	BufferBytes                       int          // of a connection, for reading and writing each
	MessageBytes                      int64        // most bytes of one message
}

// DefaultOptions returns limits for daemons a few milliseconds apart.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 500, WriteTimeout: 500, Ping: 500, Redial: 300, GiveUp: clock.Minute,
		QuickDial: 150, QuickRedial: 50, QuickSpan: 2 * clock.Second,
		QueueLength: 64, BufferBytes: 1024, MessageBytes: 16 << 20,
	}
}

// Handler takes what peers say. It must be quick.
type Handler interface {
	// Received takes a message; it comes from the daemon that Update named last
	// on the same connection.
	Received(from string, message Message)
	// Connected tells that what is sent to a peer arrives at a new connection.
	Connected(peer string)
	// Refused tells that a connection was ended for a message that is not understood.
	Refused(from string, err error)
}

// Network holds the connections to all peers.
type Network struct {
	options Options
	self    string
	handler Handler
	group   *task.Group
	ping    atomic.Int64 // milliseconds between two pings, which show connections that went silent
	mutex   sync.Mutex   // guards peers
	peers   map[string]*peer
}

// silentPings is how many pings may stay without an answer before a connection
// is given up; pongMargin is left for the last answer.
const (
	silentPings = 2
	pongMargin  = 200 * time.Millisecond
)

// SetPing sets the time between two pings on each connection.
func (network *Network) SetPing(interval clock.Millis) {
	network.ping.Store(int64(interval))
}

func (network *Network) pingInterval() time.Duration {
	return clock.Millis(network.ping.Load()).Duration()
}

type peer struct {
	member topology.Daemon
	stop   context.CancelFunc // ends the goroutine that keeps the connection
	queue  chan []byte        // nil while not connected
	broken context.CancelFunc // ends the connection
}

// New returns a mesh whose goroutines belong to group.
func New(options Options, self string, handler Handler, group *task.Group) *Network {
	mesh := &Network{options: options, self: self, handler: handler, group: group, peers: make(map[string]*peer)}
	mesh.SetPing(options.Ping)
	return mesh
}

// Add starts to keep a connection to a daemon, unless there is one. A daemon that is
// known by its address only is a seed, which is never forgotten; others are known
// again as soon as a peer names them.
func (network *Network) Add(member topology.Daemon) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if _, known := network.peers[member.Address]; known || member.Name == network.self {
		return
	}
	stopped, stop := context.WithCancel(network.group.Context())
	added := &peer{member: member, stop: stop}
	network.peers[member.Address] = added
	network.group.Go("peer "+member.Address, func(context.Context) error {
		defer stop()
		return network.keep(stopped, added)
	})
}

// Retain keeps a connection to each of some daemons, and ends those to others.
func (network *Network) Retain(members []topology.Daemon) {
	kept := make(map[string]bool, len(members))
	for _, member := range members {
		kept[member.Address] = true
		network.Add(member)
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for address, known := range network.peers {
		if !kept[address] {
			known.stop()
			delete(network.peers, address)
		}
	}
}

// Count returns how many daemons connections are kept or tried to.
func (network *Network) Count() int {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return len(network.peers)
}

func (network *Network) forget(gone *peer) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.peers[gone.member.Address] == gone {
		delete(network.peers, gone.member.Address)
	}
}

// ConnectedAddresses returns the addresses that there is a connection to.
func (network *Network) ConnectedAddresses() []string {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	var addresses []string
	for address, known := range network.peers {
		if known.queue != nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Send queues a message for the daemon at an address. It reports false when
// there is no connection; a message may also be lost with its connection.
func (network *Network) Send(address string, message Message) (bool, error) {
	encoded, err := Encode(message)
	if err != nil {
		return false, err
	}
	return network.SendEncoded(address, encoded), nil
}

// SendEncoded is Send for a message that was encoded before.
func (network *Network) SendEncoded(address string, encoded []byte) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	known, ok := network.peers[address]
	if !ok || known.queue == nil {
		return false
	}
	select {
	case known.queue <- encoded:
		return true
	default:
		known.broken() // what was not told must be told anew
		return false
	}
}

// keep connects again and again, until the peer could not be reached for long.
func (network *Network) keep(ctx context.Context, to *peer) error {
	knownAt := time.Now()
	reachedAt := knownAt
	for ctx.Err() == nil {
		pause, dial := network.options.Redial, network.options.DialTimeout
		if time.Since(knownAt) < network.options.QuickSpan.Duration() {
			pause, dial = network.options.QuickRedial, network.options.QuickDial
		}
		if network.connect(ctx, to, dial) {
			reachedAt = time.Now()
		}
		if to.member.Name != "" && time.Since(reachedAt) >= network.options.GiveUp.Duration() {
			network.forget(to)
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
	return nil
}

// connect runs one connection until it breaks, and reports whether there was one.
// Errors need no line: the peer's silence is logged where it changes a belief.
func (network *Network) connect(ctx context.Context, to *peer, dial clock.Millis) bool {
	dialer := websocket.Dialer{
		HandshakeTimeout: network.options.DialTimeout.Duration(),
		ReadBufferSize:   network.options.BufferBytes, WriteBufferSize: network.options.BufferBytes,
		NetDialContext: (&net.Dialer{Timeout: dial.Duration()}).DialContext,
	}
	conn, response, err := dialer.DialContext(ctx, "ws://"+to.member.Address+Path, nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	queue := make(chan []byte, network.options.QueueLength)
	network.attach(to, queue, cancel)
	defer network.attach(to, nil, nil)
	network.group.Go("pongs "+to.member.Address, func(context.Context) error { return network.pongs(conn, cancel) })
	network.handler.Connected(to.member.Address)
	network.write(ctx, conn, queue)
	_ = conn.Close()
	return true
}

func (network *Network) attach(to *peer, queue chan []byte, broken context.CancelFunc) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	to.queue = queue
	to.broken = broken
}

// pongs reads until the connection breaks or falls silent.
func (network *Network) pongs(conn *websocket.Conn, broken context.CancelFunc) error {
	defer broken()
	alive := func(string) error {
		return conn.SetReadDeadline(time.Now().Add(silentPings*network.pingInterval() + pongMargin))
	}
	conn.SetPongHandler(alive)
	if err := alive(""); err != nil {
		return nil
	}
	for {
		if _, _, err := conn.NextReader(); err != nil {
			return nil
		}
	}
}

func (network *Network) write(ctx context.Context, conn *websocket.Conn, queue chan []byte) {
	ping := time.NewTimer(network.pingInterval())
	defer ping.Stop()
	for {
		kind := websocket.BinaryMessage
		var encoded []byte
		select {
		case <-ctx.Done():
			return
		case <-ping.C:
			kind = websocket.PingMessage
			ping.Reset(network.pingInterval())
		case encoded = <-queue:
		}
		err := conn.SetWriteDeadline(time.Now().Add(network.options.WriteTimeout.Duration()))
		if err == nil {
			err = conn.WriteMessage(kind, encoded)
		}
		if err != nil {
			return
		}
	}
}

// errMessage is a message that cannot be understood.
var errMessage = errors.New("message refused")

// ServeHTTP accepts the connection of a peer and reads from it.
func (network *Network) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upgrader := websocket.Upgrader{
		HandshakeTimeout: network.options.DialTimeout.Duration(),
		ReadBufferSize:   network.options.BufferBytes, WriteBufferSize: network.options.BufferBytes,
	}
	conn, err := upgrader.Upgrade(writer, request, nil)
	if err != nil {
		return // the upgrader has answered
	}
	stop := context.AfterFunc(network.group.Context(), func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	conn.SetReadLimit(network.options.MessageBytes)
	if err := network.read(conn); errors.Is(err, errMessage) {
		network.handler.Refused(request.RemoteAddr, err)
	} // a broken connection is made anew by the peer
}

func (network *Network) read(conn *websocket.Conn) error {
	from := ""
	for {
		_, encoded, err := conn.ReadMessage()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		message, err := Decode(encoded)
		if err != nil {
			return errors.Wrap(errMessage, err.Error())
		}
		if message.Update != nil {
			from = message.Update.Name
		}
		if from != "" {
			network.handler.Received(from, message)
		}
	}
}
