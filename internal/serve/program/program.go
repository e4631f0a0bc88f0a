// Package program turns settings into a running daemon with its three servers:
// for callers, for other daemons and for operators.
package program

import (
	"context"
	"log/slog"
	"net/http"

	"teaselmoor/internal/backend/engine"
	"teaselmoor/internal/backend/platform"
	"teaselmoor/internal/backend/service"
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/metrics"
	"teaselmoor/internal/serve/operators"
)

// Serve runs a daemon until the context ends, then lets the requests in
// progress end before it returns. The log's handler writes every level; the
// settings say what passes, except for the audit trail, which always does.
func Serve(ctx context.Context, settings settings.Settings, log *slog.Logger) error {
	log = log.With("Daemon", settings.Name)
	life, endLife := context.WithCancel(context.WithoutCancel(ctx))
	defer endLife()
	trail := audit.New(OptionsOf(settings).Audit, log)
	log = slog.New(levelHandler{Handler: log.Handler(), least: levels[settings.Operators.LogLevel]})
	counted := metrics.New()
	observer := metrics.NewObserver(counted)
	serving := daemon.New(life, daemonOptions(settings, log, trail, observer))
	watching := operators.New(serving, trail, counted, observer, operators.Options{Profiling: settings.Operators.Profiling})
	servers, err := listen(endpoints(settings, serving, watching, log), settings.Callers)
	if err != nil {
		return err
	}
	running := task.New(life)
	running.Go("daemon", func(context.Context) error { serving.Run(); return nil })
	running.Go("audit lines", trail.Run)
	for _, server := range servers {
		running.Go("server", func(context.Context) error { return server.serve() })
	}
	running.Go("shutdown", func(context.Context) error {
		<-ctx.Done()
		drain(serving, servers, settings.Runtime.DrainTimeoutMillis)
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
func drain(serving *daemon.Daemon, servers []*server, longest clock.Millis) {
	limit, cancel := context.WithTimeout(context.Background(), longest.Duration())
	defer cancel()
	serving.Drain(limit)
	for _, server := range servers {
		_ = server.http.Shutdown(limit)
	}
}

func daemonOptions(settings settings.Settings, log *slog.Logger, trail *audit.Trail, observer *metrics.Observer) daemon.Options {
	options := OptionsOf(settings)
	return daemon.Options{
		Node:           started(options.Node),
		Now:            clock.System,
		Engines:        engine.New(options.Engines),
		Services:       service.New(options.Services),
		Platform:       platform.New(settings.ConfigAddress, settings.VMListAddress, settings.Platform.TimeoutMillis),
		Timing:         options.Timing,
		Log:            log,
		Audit:          trail,
		Observer:       observer,
		Workers:        settings.Runtime.Workers,
		TickInterval:   settings.Runtime.TickIntervalMillis,
		VMListInterval: settings.Platform.ListIntervalMillis,
	}
}

func endpoints(settings settings.Settings, serving *daemon.Daemon, watching http.Handler, log *slog.Logger) []endpoint {
	return []endpoint{
		{
			address: settings.CallerAddress, handler: callers.New(serving, OptionsOf(settings).Callers, log),
			maxConnections: settings.Callers.MaxConnections,
		},
		{address: settings.InnerAddress, handler: serving.PeerHandler()},
		{address: settings.OperatorAddress, handler: watching, maxConnections: settings.Operators.MaxConnections},
	}
}
