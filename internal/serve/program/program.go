// Package program turns settings into a running daemon with its three servers:
// for callers, for other daemons and for operators.
package program

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/backend/engine"
	"teaselmoor/internal/backend/platform"
	"teaselmoor/internal/backend/service"
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/inner/link"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/operators"
)

const (
	workers         = 8
	tickInterval    = 50 * clock.Millisecond
	listInterval    = clock.Second
	platformTimeout = 5 * clock.Second
	drainTimeout    = 2 * time.Minute
	headerTimeout   = 10 * time.Second
	idleTimeout     = 2 * time.Minute
)

// Serve runs a daemon until the context ends, then lets the requests in
// progress end before it returns.
func Serve(ctx context.Context, settings settings.Settings, log *slog.Logger) error {
	log = log.With("Daemon", settings.Name)
	life, endLife := context.WithCancel(context.WithoutCancel(ctx))
	defer endLife()
	serving := daemon.New(life, daemonOptions(settings, log))
	servers, err := listen(settings, serving, log)
	if err != nil {
		return err
	}
	running := task.New(life)
	running.Go("daemon", func(context.Context) error { serving.Run(); return nil })
	for _, server := range servers {
		running.Go("server", func(context.Context) error { return server.serve() })
	}
	running.Go("shutdown", func(context.Context) error {
		<-ctx.Done()
		drain(serving, servers)
		endLife()
		return nil
	})
	running.Reap(func(end task.End) {
		if end.Err != nil {
			log.Error("task failed", "Task", end.Name, "Cause", end.Err)
			endLife()
		}
	})
	return nil
}

// drain refuses new requests, waits for those in progress and closes the servers.
func drain(serving *daemon.Daemon, servers []*server) {
	limit, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	serving.Drain(limit)
	for _, server := range servers {
		_ = server.http.Shutdown(limit)
	}
}

func daemonOptions(settings settings.Settings, log *slog.Logger) daemon.Options {
	options := node.DefaultOptions()
	options.Self = ident.DaemonID(settings.Name)
	options.DataCentre = settings.DataCentre
	options.Region = settings.Region
	options.StartedAt = clock.System()
	options.Incarnation = ident.Incarnation(options.StartedAt)
	return daemon.Options{
		Node:         options,
		Now:          clock.System,
		Engines:      engine.New(engine.DefaultOptions()),
		Services:     service.New(service.DefaultOptions()),
		Platform:     platform.New(settings.ConfigAddress, settings.VMListAddress, platformTimeout),
		Timing:       link.DefaultTiming(),
		Log:          log,
		Workers:      workers,
		TickInterval: tickInterval,
		ListInterval: listInterval,
	}
}

// server is one HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (server *server) serve() error {
	err := server.http.Serve(server.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", server.listener.Addr())
}

// listen opens the three listeners, so that a taken address stops the start.
func listen(settings settings.Settings, serving *daemon.Daemon, log *slog.Logger) ([]*server, error) {
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{settings.CallerAddress, callers.New(serving, callers.DefaultOptions(), log)},
		{settings.InnerAddress, serving.Inner()},
		{settings.OperatorAddress, operators.New(serving)},
	}
	servers := make([]*server, 0, len(handlers))
	for _, each := range handlers {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		servers = append(servers, &server{listener: listener, http: &http.Server{
			Handler: each.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		}})
	}
	return servers, nil
}
