// Package program builds a daemon from its settings and runs it with its three
// HTTP servers: for callers, for other daemons and for operators.
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

// Serve runs a daemon until ctx is cancelled. It then stops accepting requests,
// waits up to the drain timeout for those in progress, and returns. The handler of
// log must accept every level: Serve filters the daemon's log by the level in the
// settings, while the audit trail is always written.
func Serve(ctx context.Context, settings settings.Settings, log *slog.Logger) error {
	log = log.With("Daemon", settings.Name)
	taskContext, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	trail := audit.New(OptionsFromSettings(settings).Audit, log)
	log = slog.New(levelHandler{Handler: log.Handler(), minLevel: levels[settings.Operators.LogLevel]})
	counters := metrics.New()
	observer := metrics.NewObserver(counters)
	daemon := daemon.New(taskContext, daemonOptions(settings, log, trail, observer))
	operatorAPI := operators.New(daemon, trail, counters, observer, operators.Options{Profiling: settings.Operators.Profiling})
	servers, err := listen(endpoints(settings, daemon, operatorAPI, log), settings.Callers)
	if err != nil {
		return err
	}
	tasks := task.New(taskContext)
	tasks.Go("daemon", func(context.Context) error { daemon.Run(); return nil })
	tasks.Go("audit lines", trail.Run)
	for _, server := range servers {
		tasks.Go("server", func(context.Context) error { return server.serve() })
	}
	tasks.Go("shutdown", func(context.Context) error {
		<-ctx.Done()
		drain(daemon, servers, settings.Runtime.DrainTimeoutMillis)
		stopTasks()
		return nil
	})
	tasks.Reap(func(end task.End) {
		if end.Err != nil {
			log.Error("task failed", "Task", end.Name, "Cause", end.Err)
			stopTasks()
		}
	})
	return nil
}

// drain refuses new requests, waits for those in progress and closes the servers.
// It waits no longer than timeout.
func drain(daemon *daemon.Daemon, servers []*server, timeout clock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	daemon.Drain(ctx)
	for _, server := range servers {
		_ = server.http.Shutdown(ctx)
	}
}

func daemonOptions(settings settings.Settings, log *slog.Logger, trail *audit.Trail, observer *metrics.Observer) daemon.Options {
	options := OptionsFromSettings(settings)
	return daemon.Options{
		Node:           withStart(options.Node),
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

// endpoints returns the addresses that the daemon serves, with their handlers.
func endpoints(settings settings.Settings, daemon *daemon.Daemon, operatorAPI http.Handler, log *slog.Logger) []endpoint {
	return []endpoint{
		{
			address: settings.CallerAddress, handler: callers.New(daemon, OptionsFromSettings(settings).Callers, log),
			maxConnections: settings.Callers.MaxConnections,
		},
		{address: settings.InnerAddress, handler: daemon.PeerHandler()},
		{address: settings.OperatorAddress, handler: operatorAPI, maxConnections: settings.Operators.MaxConnections},
	}
}
