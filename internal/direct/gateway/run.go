package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/direct/footprint"
	"teaselmoor/internal/direct/intake"
	"teaselmoor/internal/direct/lease"
	"teaselmoor/internal/direct/mirror"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/takeup"
	"teaselmoor/internal/direct/topology"
	"teaselmoor/internal/direct/upstream"
)

// Platform holds the interfaces to the platform that a daemon runs on.
type Platform struct {
	Store    platformapi.Store
	History  platformapi.StoreHistory
	Decoder  platformapi.Decoder
	Protocol platformapi.Protocol
	Servers  platformapi.ServerClient
}

// peerNetwork carries messages to peers. It is a peers.Network, except in tests.
type peerNetwork interface {
	http.Handler
	ConnectedAddresses() []string
	Redial(address string)
	Retain(daemons []topology.Daemon)
	Send(address string, message peers.Message) (bool, error)
	SendEncoded(address string, encoded []byte) bool
	SetPing(interval clock.Millis)
	Traffic() map[string]peers.Traffic
}

// Gateway is a daemon that serves callers' requests.
type Gateway struct {
	settings Settings
	options  Options
	store    platformapi.Store
	history  platformapi.StoreHistory
	protocol platformapi.Protocol
	servers  platformapi.ServerClient
	core     *core
	pool     *upstream.Pool // connections to servers
	peerPool *upstream.Pool // connections to peers for requests, of this daemon's callers and its own
	// lastMessageAt is when a message of a peer last came, in milliseconds of the daemon's clock.
	lastMessageAt atomic.Int64
	// peerSends is the number of requests sent to peers.
	peerSends   atomic.Int64
	takenUp     takenUpRuns
	entryLeases entryLeases
	heartbeats  heartbeatTargets
	// proxiedRequests is the number of requests of peers' callers in progress.
	proxiedRequests atomic.Int64
	network         peerNetwork
	deltaMutex      sync.Mutex // held while deltas are encoded and sent; acquired before core.mutex
	intake          *intake.Intake
	readers         *intake.Readers
	kept            *keptBudget // of answers that are kept until they are whole
	footprint       *footprint.Account
	answerTimes     *answerTimes
	tasks           *task.Group
	counters        *counters
	log             *slog.Logger
}

// New returns a daemon whose goroutines end when the context does.
func New(ctx context.Context, settings Settings, options Options, platform Platform, log *slog.Logger) *Gateway {
	gateway := &Gateway{
		settings: settings, options: options, store: platform.Store, history: platform.History, protocol: platform.Protocol, servers: platform.Servers,
		pool: upstream.New(options.Upstream), peerPool: upstream.New(options.Upstream), tasks: task.New(ctx), counters: newCounters(), log: log,
	}
	gateway.core = newCore(settings, options, platform.Decoder, clock.Monotonic(), clock.System, log)
	processors := runtime.GOMAXPROCS(0)
	gateway.intake = intake.New(options.Intake, processors, gateway.core.now)
	gateway.readers = intake.NewReaders(options.Intake, processors, gateway.intake)
	gateway.answerTimes = newAnswerTimes()
	gateway.takenUp.runs = takeup.NewRuns()
	gateway.entryLeases.leases = lease.New(options.Leases)
	gateway.heartbeats.targets = make(map[string]*heartbeatsTarget)
	gateway.kept = newKeptBudget(settings.MemoryMB)
	gateway.footprint = footprint.New(options.Footprint, footprint.LimitsOf(settings.MemoryMB, settings.MaxFDs), gateway.core.now, func() int {
		return gateway.pool.OpenCount() + gateway.peerPool.OpenCount()
	})
	gateway.network = peers.New(options.Peers, settings.Name, gateway, gateway.tasks)
	return gateway
}

// Serve serves requests until stop is closed, then lets requests in progress finish.
func (gateway *Gateway) Serve(stop <-chan struct{}) error {
	listeners, err := gateway.listen()
	if err != nil {
		return err
	}
	callers := &http.Server{
		Handler: gateway, IdleTimeout: gateway.options.IdleTimeout.Duration(),
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: keepConn, ConnState: watchCallers, ErrorLog: slog.NewLogLogger(gateway.log.Handler(), slog.LevelDebug),
	}
	gateway.log.Info("started", "Name", gateway.settings.Name, "DataCentre", gateway.settings.DataCentre,
		"Callers", gateway.settings.CallerAddress, "Peers", gateway.settings.PeerAddress, "Incarnation", gateway.core.incarnation)
	gateway.start(listeners, callers)
	gateway.tasks.Go("leave", func(ctx context.Context) error { return gateway.shutDown(ctx, stop, callers) })
	var failed error
	gateway.tasks.Reap(func(end task.End) {
		if end.Err != nil {
			failed = errors.Wrap(end.Err, end.Name)
			gateway.tasks.Stop()
		}
	})
	gateway.log.Info("stopped")
	return failed
}

// Limits on callers' requests, unless the configuration sets shorter ones.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 32 << 10
)

// listeners holds the listening sockets of a daemon.
type listeners struct {
	callers, ready, peers, metrics net.Listener
}

func (gateway *Gateway) listen() (listeners, error) {
	var opened listeners
	for _, each := range []struct {
		address  string
		listener *net.Listener
		buffer   int
	}{
		{gateway.settings.CallerAddress, &opened.callers, callerReceiveBuffer},
		{gateway.settings.ReadyAddress, &opened.ready, callerReceiveBuffer},
		{gateway.settings.PeerAddress, &opened.peers, peerReceiveBuffer},
		{gateway.settings.MetricsAddress, &opened.metrics, callerReceiveBuffer},
	} {
		listener, err := listenTCP(each.address, each.buffer)
		if err != nil {
			return opened, errors.Wrap(err, "listen")
		}
		*each.listener = listener
	}
	return opened, nil
}

func (gateway *Gateway) start(opened listeners, callers *http.Server) {
	gateway.serve("callers", &callerListener{Listener: opened.callers, readers: gateway.readers, footprint: gateway.footprint, limits: gateway.core.callerLimits, guard: newCrowdGuard(gateway), counters: gateway.counters, log: gateway.log}, callers)
	gateway.serve("ready", opened.ready, &http.Server{Handler: http.HandlerFunc(gateway.serveReady), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes})
	peerMux := http.NewServeMux()
	peerMux.Handle(peers.Path, gateway.network)
	peerMux.HandleFunc(linksPath, gateway.serveLinks)
	peerMux.HandleFunc(peers.HeartbeatPath, gateway.serveHeartbeats)
	peerMux.HandleFunc("POST "+trialsPath, gateway.serveTrials)
	peerMux.HandleFunc("DELETE "+trialsPath, gateway.serveTrials)
	gateway.serve("peers", opened.peers, &http.Server{Handler: gateway.handlePeerConnections(peerMux), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: keepConn})
	gateway.serve("metrics", opened.metrics, &http.Server{Handler: http.HandlerFunc(gateway.serveMetrics), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes})
	reader := mirror.New(gateway.options.Mirror, gateway.store, gateway.core.decoder.Prefix(), gateway.core)
	gateway.tasks.Go("mirror", reader.Run)
	gateway.tasks.Go("version history", gateway.readVersionHistory)
	gateway.updateConnections()
	gateway.tasks.Go("news", gateway.sendDeltasLoop)
	gateway.tasks.Go("work", gateway.sendWorkLoop)
	gateway.tasks.Go("turns", gateway.grantLoop)
	gateway.repeat("reading", gateway.sendReadingsIfMesh)
	gateway.tasks.Go("origins", gateway.replicateOriginsLoop)
	gateway.tasks.Go("usage", gateway.sendUsageLoop)
	gateway.every("updates", gateway.options.UpdateInterval, gateway.sendDueUpdates)
	gateway.every("ticks", tickInterval, func() { gateway.tick(gateway.core.now()) })
	gateway.every("speeds", speedInterval, gateway.updateSpeeds)
	gateway.every("links", linkCheckInterval, gateway.checkLinks)
	gateway.every("sweep", sweepInterval, gateway.closeExpired)
	gateway.every("footprint", sweepInterval, newFootprintLog(gateway).logChanges)
}

func (gateway *Gateway) serve(name string, listener net.Listener, server *http.Server) {
	gateway.tasks.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serve %s", name)
	})
}

// sweepInterval is the time between two removals of expired connections.
const sweepInterval = clock.Second

// closeExpired closes connections that have been idle for too long.
func (gateway *Gateway) closeExpired() {
	gateway.pool.CloseExpired()
	gateway.peerPool.CloseExpired()
	gateway.servers.CloseExpired()
}

// tickInterval is the time between two calls of tick. It is well below the gap between ticks
// that is treated as a pause of the process.
const tickInterval = 100 * clock.Millisecond

// every calls a function at intervals until the daemon ends.
func (gateway *Gateway) every(name string, interval clock.Millis, do func()) {
	gateway.tasks.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				do()
			}
		}
	})
}

// repeat calls a function until the daemon ends, each time after the wait that the last call
// returned.
func (gateway *Gateway) repeat(name string, do func() clock.Millis) {
	gateway.tasks.Go(name, func(ctx context.Context) error {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(do().Duration()):
			}
		}
		return nil
	})
}

func (gateway *Gateway) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !gateway.core.isReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// shutDown stops the daemon once stop is closed. The daemon reports that it is not ready, still
// accepts connections for LeaveSpan, and exits when the requests in progress have ended, or
// shortly before the end of the grace period. It releases its servers at once: the later their
// owners change, the more servers are without an owner while daemons are replaced one after
// another.
func (gateway *Gateway) shutDown(ctx context.Context, stop <-chan struct{}, callers *http.Server) error {
	defer gateway.tasks.Stop()
	select {
	case <-stop:
	case <-ctx.Done():
		return nil
	}
	core := gateway.core
	core.beginStopping()
	gateway.sendUpdate(core.now(), gateway.network.ConnectedAddresses())
	gateway.log.Info("stopping")
	time.Sleep(gateway.options.LeaveSpan.Duration())
	ctx, cancel := context.WithTimeout(ctx, (core.ends() - core.now()).Duration())
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		gateway.log.Warn("requests cut off by the end of the grace span", "Error", err.Error())
	}
	gateway.awaitProxied(ctx)
	return nil
}
