package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/direct/mirror"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/upstream"
)

// Platform is what a daemon needs of the platform that it runs on.
type Platform struct {
	Store    platformapi.Store
	Decoder  platformapi.Decoder
	Protocol platformapi.Protocol
	Servers  platformapi.ServerClient
}

// Gateway is a daemon that serves callers.
type Gateway struct {
	settings Settings
	options  Options
	store    platformapi.Store
	protocol platformapi.Protocol
	servers  platformapi.ServerClient
	core     *core
	pool     *upstream.Pool
	mesh     *peers.Network
	telling  sync.Mutex // held while digests are made and sent; taken before the core's
	group    *task.Group
	counters *counters
	log      *slog.Logger
}

// New returns a daemon whose goroutines end with the context.
func New(ctx context.Context, settings Settings, options Options, platform Platform, log *slog.Logger) *Gateway {
	gateway := &Gateway{
		settings: settings, options: options, store: platform.Store, protocol: platform.Protocol, servers: platform.Servers,
		pool: upstream.New(options.Upstream), group: task.New(ctx), counters: newCounters(), log: log,
	}
	gateway.core = newCore(settings, options, platform.Decoder, clock.Steady(), clock.System, log)
	gateway.mesh = peers.New(options.Peers, settings.Name, gateway, gateway.group)
	return gateway
}

// Serve serves until stop is closed, then lets requests in progress end.
func (gateway *Gateway) Serve(stop <-chan struct{}) error {
	listeners, err := gateway.listen()
	if err != nil {
		return err
	}
	callers := &http.Server{
		Handler: gateway, IdleTimeout: gateway.options.IdleTimeout.Duration(),
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(gateway.log.Handler(), slog.LevelDebug),
	}
	gateway.log.Info("started", "Name", gateway.settings.Name, "DataCentre", gateway.settings.DataCentre,
		"Callers", gateway.settings.CallerAddress, "Peers", gateway.settings.PeerAddress, "Incarnation", gateway.core.born)
	gateway.start(listeners, callers)
	gateway.group.Go("leave", func(ctx context.Context) error { return gateway.leave(ctx, stop, callers) })
	var failed error
	gateway.group.Reap(func(end task.End) {
		if end.Err != nil {
			failed = errors.Wrap(end.Err, end.Name)
			gateway.group.Stop()
		}
	})
	gateway.log.Info("stopped")
	return failed
}

// Limits of callers' requests while no configuration says so. The platform's
// configuration asks for 3 s and 16 KiB.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 32 << 10
)

// listeners are the sockets of a daemon.
type listeners struct {
	callers, ready, peers, metrics net.Listener
}

func (gateway *Gateway) listen() (listeners, error) {
	var opened listeners
	for _, each := range []struct {
		address  string
		listener *net.Listener
	}{
		{gateway.settings.CallerAddress, &opened.callers},
		{gateway.settings.ReadyAddress, &opened.ready},
		{gateway.settings.PeerAddress, &opened.peers},
		{gateway.settings.MetricsAddress, &opened.metrics},
	} {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return opened, errors.Wrap(err, "listen")
		}
		*each.listener = listener
	}
	return opened, nil
}

func (gateway *Gateway) start(opened listeners, callers *http.Server) {
	gateway.serve("callers", opened.callers, callers)
	gateway.serve("ready", opened.ready, &http.Server{Handler: http.HandlerFunc(gateway.serveReady), ReadHeaderTimeout: headerTimeout})
	peerMux := http.NewServeMux()
	peerMux.Handle(peers.Path, gateway.mesh)
	gateway.serve("peers", opened.peers, &http.Server{Handler: peerMux, ReadHeaderTimeout: headerTimeout})
	gateway.serve("metrics", opened.metrics, &http.Server{Handler: http.HandlerFunc(gateway.serveMetrics), ReadHeaderTimeout: headerTimeout})
	reader := mirror.New(gateway.options.Mirror, gateway.store, gateway.core.decoder.Prefix(), gateway.core)
	gateway.group.Go("mirror", reader.Run)
	gateway.relink()
	gateway.group.Go("news", gateway.tellNews)
	gateway.group.Go("work", gateway.tellWork)
	gateway.repeat("reading", gateway.tellReadings)
	gateway.group.Go("usage", gateway.tellUsages)
	gateway.every("updates", gateway.options.UpdateInterval, gateway.tellUpdates)
	gateway.every("ticks", tickInterval, func() { gateway.tick(gateway.core.now()) })
	gateway.every("sweep", sweepInterval, gateway.pool.CloseExpired)
}

func (gateway *Gateway) serve(name string, listener net.Listener, server *http.Server) {
	gateway.group.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serve %s", name)
	})
}

// sweepInterval is how often expired connections are looked for.
const sweepInterval = clock.Second

// tickInterval is how often the daemon looks at what passing time calls for. It
// is well below the gap that counts as a pause.
const tickInterval = 100 * clock.Millisecond

// every does something at intervals until the daemon ends.
func (gateway *Gateway) every(name string, interval clock.Millis, do func()) {
	gateway.group.Go(name, func(ctx context.Context) error {
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

// repeat does something until the daemon ends, each time after as long as it returned.
func (gateway *Gateway) repeat(name string, do func() clock.Millis) {
	gateway.group.Go(name, func(ctx context.Context) error {
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
	if !gateway.core.ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// leave stops the daemon: it is not ready any more, takes the connections that
// still come, and ends once the requests in progress have. It gives up its servers
// at once: the later they change hands, the more of them have no orders while daemons
// are replaced in turn.
func (gateway *Gateway) leave(ctx context.Context, stop <-chan struct{}, callers *http.Server) error {
	defer gateway.group.Stop()
	select {
	case <-stop:
	case <-ctx.Done():
		return nil
	}
	core := gateway.core
	core.mutex.Lock()
	core.leaving = true
	core.tenure.Release()
	core.members.Leave()
	core.mutex.Unlock()
	gateway.tellUpdate(core.now(), gateway.mesh.ConnectedAddresses())
	gateway.log.Info("stopping")
	time.Sleep(gateway.options.LeaveSpan.Duration())
	core.mutex.Lock()
	grace := core.settings.Grace
	core.mutex.Unlock()
	rest := grace - gateway.options.LeaveSpan - gateway.options.ExitMargin
	ctx, cancel := context.WithTimeout(ctx, rest.Duration())
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		gateway.log.Warn("requests cut off by the end of the grace span", "Error", err.Error())
	}
	return nil
}
