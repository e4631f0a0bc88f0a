package peers

import (
	"cmp"
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

// Path is the HTTP path at which daemons accept connections of their peers.
const Path = "/peer"

// Options holds the limits of connections between daemons.
type Options struct {
	DialTimeout  clock.Millis // needed because a VM without power does not answer at all
	WriteTimeout clock.Millis
	Ping         clock.Millis // initial interval between pings; SetPing changes it
	Redial       clock.Millis // interval between attempts to connect
	// Daemons that start together, for example after a loss of all VMs, dial seeds that
	// have no power yet. For QuickSpan after a daemon became known, an attempt to connect
	// to it times out after QuickDial and is repeated after QuickRedial. With DialTimeout
	// and Redial, daemons would receive the first report of another one only 0.8 s after
	// their start.
	QuickDial, QuickRedial, QuickSpan clock.Millis
	GiveUp                            clock.Millis // time after which an unreachable daemon is forgotten, unless it is a seed
	QueueLength                       int          // maximum number of messages queued for a peer; beyond it the connection is closed
	BufferBytes                       int          // size of the read buffer and of the write buffer of a connection
	MessageBytes                      int64        // maximum size of a message
}

// DefaultOptions returns options for daemons with round-trip times of a few milliseconds.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 500, WriteTimeout: 500, Ping: 500, Redial: 300, GiveUp: clock.Minute,
		QuickDial: 150, QuickRedial: 50, QuickSpan: 2 * clock.Second,
		QueueLength: 64, BufferBytes: 1024, MessageBytes: 16 << 20,
	}
}

// Handler receives the messages and connection events of peers. Its methods must return
// quickly.
type Handler interface {
	// Received handles a message. Its sender is the daemon named by the last Update on the
	// same connection.
	Received(from string, message Message)
	// Connected reports that a new connection to the peer at an address is open, over which
	// nothing has been sent yet.
	Connected(address string)
	// Refused reports that a connection from an address was closed because of an invalid
	// message.
	Refused(from string, err error)
}

// Network maintains the connections to all peers, and accepts those of peers as an
// http.Handler.
type Network struct {
	options Options
	self    string
	handler Handler
	group   *task.Group
	ping    atomic.Int64       // ping interval in milliseconds; pings detect dead connections
	mutex   sync.Mutex         // guards peers and traffic
	peers   map[string]*peer   // by address
	traffic map[string]Traffic // by data centre; empty name: unknown
}

// maxUnansweredPings is the number of unanswered pings after which a connection is closed;
// pongMargin is additional time for the last pong to arrive.
const (
	maxUnansweredPings = 2
	pongMargin         = 200 * time.Millisecond
)

// SetPing sets the interval between pings on each connection.
func (network *Network) SetPing(interval clock.Millis) {
	network.ping.Store(int64(interval))
}

func (network *Network) pingInterval() time.Duration {
	return clock.Millis(network.ping.Load()).Duration()
}

// peer is a daemon that a connection is kept or attempted to.
type peer struct {
	daemon          topology.Daemon
	dataCentre      string             // empty for a seed until it is discovered
	stop            context.CancelFunc // stops the goroutine that maintains the connection
	redial          chan struct{}      // holds a token when the next attempt to connect is to be made at once
	queue           chan []byte        // nil while not connected
	closeConnection context.CancelFunc // closes the current connection; nil while not connected
}

// New returns a network without peers for the daemon self. Its goroutines belong to group.
func New(options Options, self string, handler Handler, group *task.Group) *Network {
	network := &Network{options: options, self: self, handler: handler, group: group, peers: make(map[string]*peer), traffic: make(map[string]Traffic)}
	network.SetPing(options.Ping)
	return network
}

// Add starts to maintain a connection to a daemon, unless there is a peer at its address
// already or it is this daemon. A daemon without a name is a seed, which is dialled until
// Retain drops it. Others are forgotten when they cannot be reached for Options.GiveUp, and
// may be added again.
func (network *Network) Add(daemon topology.Daemon) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if daemon.Name == network.self {
		return
	}
	if known, ok := network.peers[daemon.Address]; ok {
		known.dataCentre = cmp.Or(daemon.DataCentre, known.dataCentre)
		return
	}
	stopped, stop := context.WithCancel(network.group.Context())
	added := &peer{daemon: daemon, dataCentre: daemon.DataCentre, stop: stop, redial: make(chan struct{}, 1)}
	network.peers[daemon.Address] = added
	network.group.Go("peer "+daemon.Address, func(context.Context) error {
		defer stop()
		return network.maintain(stopped, added)
	})
}

// Redial has the next attempt to connect to the daemon at an address be made at once, if there is no connection. A daemon that has
// started again receives nothing before.
func (network *Network) Redial(address string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	peer, ok := network.peers[address]
	if !ok || peer.queue != nil {
		return
	}
	select {
	case peer.redial <- struct{}{}:
	default:
	}
}

// Retain maintains connections to the given daemons only, and closes all others.
func (network *Network) Retain(daemons []topology.Daemon) {
	kept := make(map[string]bool, len(daemons))
	for _, daemon := range daemons {
		kept[daemon.Address] = true
		network.Add(daemon)
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for address, peer := range network.peers {
		if !kept[address] {
			peer.stop()
			delete(network.peers, address)
		}
	}
}

// Count returns the number of daemons that connections are maintained or attempted to.
func (network *Network) Count() int {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return len(network.peers)
}

// remove drops a peer, unless another one has replaced it at the same address.
func (network *Network) remove(gone *peer) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.peers[gone.daemon.Address] == gone {
		delete(network.peers, gone.daemon.Address)
	}
}

// ConnectedAddresses returns the addresses of the connected peers.
func (network *Network) ConnectedAddresses() []string {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	var addresses []string
	for address, peer := range network.peers {
		if peer.queue != nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Send queues a message for the daemon at an address. It reports false if there is no
// connection. A queued message may still be lost with its connection.
func (network *Network) Send(address string, message Message) (bool, error) {
	encoded, err := Encode(message)
	if err != nil {
		return false, err
	}
	return network.SendEncoded(address, encoded), nil
}

// SendEncoded is like Send, for a message that is already encoded. If the peer's queue is full,
// it closes the connection and reports false.
func (network *Network) SendEncoded(address string, encoded []byte) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	peer, ok := network.peers[address]
	if !ok || peer.queue == nil {
		return false
	}
	select {
	case peer.queue <- encoded:
		return true
	default:
		peer.closeConnection() // the state is sent again over the next connection
		return false
	}
}

// maintain reconnects to a peer until the context is cancelled or, unless the peer is a seed,
// it could not be reached for Options.GiveUp.
func (network *Network) maintain(ctx context.Context, to *peer) error {
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
		if to.daemon.Name != "" && time.Since(reachedAt) >= network.options.GiveUp.Duration() {
			network.remove(to)
			return nil
		}
		select {
		case <-ctx.Done():
		case <-to.redial:
		case <-time.After(pause.Duration()):
		}
	}
	return nil
}

// connect opens a connection, sends messages on it until it fails, and reports whether it was
// opened.
// Errors are not logged here: a silent peer is logged where it changes the state of the
// daemon.
func (network *Network) connect(ctx context.Context, to *peer, dial clock.Millis) bool {
	dialer := websocket.Dialer{
		HandshakeTimeout: network.options.DialTimeout.Duration(),
		ReadBufferSize:   network.options.BufferBytes, WriteBufferSize: network.options.BufferBytes,
		NetDialContext: (&net.Dialer{Timeout: dial.Duration()}).DialContext,
	}
	conn, response, err := dialer.DialContext(ctx, "ws://"+to.daemon.Address+Path, nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	queue := make(chan []byte, network.options.QueueLength)
	network.setQueue(to, queue, cancel)
	defer network.setQueue(to, nil, nil)
	network.group.Go("pongs "+to.daemon.Address, func(context.Context) error { return network.readPongs(conn, cancel) })
	network.handler.Connected(to.daemon.Address)
	network.write(ctx, to, conn, queue)
	_ = conn.Close()
	return true
}

// setQueue sets the queue of a peer and the function that closes its connection; both are nil
// while it is not connected.
func (network *Network) setQueue(to *peer, queue chan []byte, closeConnection context.CancelFunc) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	to.queue = queue
	to.closeConnection = closeConnection
}

// readPongs reads pongs until the connection fails or pongs are overdue.
func (network *Network) readPongs(conn *websocket.Conn, closeConnection context.CancelFunc) error {
	defer closeConnection()
	alive := func(string) error {
		return conn.SetReadDeadline(time.Now().Add(maxUnansweredPings*network.pingInterval() + pongMargin))
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

// write sends pings and queued messages until the connection fails or is closed.
func (network *Network) write(ctx context.Context, to *peer, conn *websocket.Conn, queue chan []byte) {
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
		network.recordSent(to, len(encoded))
	}
}

// errInvalidMessage is the cause of a connection closed for a message that cannot be decoded.
var errInvalidMessage = errors.New("message refused")

// ServeHTTP accepts a connection of a peer and reads messages from it until it fails.
func (network *Network) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upgrader := websocket.Upgrader{
		HandshakeTimeout: network.options.DialTimeout.Duration(),
		ReadBufferSize:   network.options.BufferBytes, WriteBufferSize: network.options.BufferBytes,
	}
	conn, err := upgrader.Upgrade(writer, request, nil)
	if err != nil {
		return // the upgrader has sent the error response
	}
	stop := context.AfterFunc(network.group.Context(), func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	conn.SetReadLimit(network.options.MessageBytes)
	if err := network.read(conn); errors.Is(err, errInvalidMessage) {
		network.handler.Refused(request.RemoteAddr, err)
	} // after other errors, the peer reconnects
}

// read passes the messages of a connection to the handler. It drops messages before the first
// Update, which names the sender.
func (network *Network) read(conn *websocket.Conn) error {
	from, dataCentre := "", ""
	for {
		_, encoded, err := conn.ReadMessage()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		message, err := Decode(encoded)
		if err != nil {
			return errors.Wrap(errInvalidMessage, err.Error())
		}
		if message.Update != nil {
			from, dataCentre = message.Update.Name, message.Update.DataCentre
		}
		network.recordReceived(dataCentre, len(encoded))
		if from != "" {
			network.handler.Received(from, message)
		}
	}
}
