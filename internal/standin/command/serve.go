package command

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/task"
	"teaselmoor/internal/standin/modelengine"
	"teaselmoor/internal/standin/platform"
	"teaselmoor/internal/standin/records"
	"teaselmoor/internal/standin/weightstore"
)

const headerTimeout = 10 * time.Second

func addressFlag(name, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage + " at `IP:PORT`", Required: true}
}

func engineCommand() *cli.Command {
	defaults := modelengine.DefaultOptions()
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: []cli.Flag{
			addressFlag("address", "serve daemons"),
			addressFlag("admin", "serve faults, restart and the ledger"),
			&cli.IntFlag{Name: "slots", Value: defaults.Slots, Usage: "adapter slots"},
			&cli.IntFlag{Name: "max-runs", Value: defaults.MaxRuns, Usage: "runs that share a step at most"},
			&cli.DurationFlag{Name: "step", Value: defaults.StepInterval, Usage: "span of one step"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
			&cli.BoolFlag{Name: "obeys-unload", Usage: "unload an adapter in use when told to, and note it"},
			&cli.StringFlag{Name: "store", Usage: "load weights from the store at `IP:PORT`"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age of state reports"},
			&cli.DurationFlag{Name: "event-lag", Usage: "age at which cache events are shown"},
			&cli.IntFlag{Name: "event-gap", Usage: "lose one cache event in that many"},
		},
		Action: func(invocation *cli.Context) error {
			engine := modelengine.New(engineOptions(invocation))
			return serve(invocation, []endpoint{
				{address: invocation.String("address"), handler: engine},
				{address: invocation.String("admin"), handler: engine.Admin()},
			}, engine.Run)
		},
	}
}

func engineOptions(invocation *cli.Context) modelengine.Options {
	options := modelengine.DefaultOptions()
	options.Slots = invocation.Int("slots")
	options.MaxRuns = invocation.Int("max-runs")
	options.StepInterval = invocation.Duration("step")
	options.ChecksFencing = invocation.Bool("checks-fencing")
	options.AllowsUnloadInUse = invocation.Bool("obeys-unload")
	options.ReportLag = invocation.Duration("report-lag")
	options.EventLag = invocation.Duration("event-lag")
	options.EventLossInterval = invocation.Int("event-gap")
	if store := invocation.String("store"); store != "" {
		options.StoreURL = "http://" + store + weightstore.LoadPath
	}
	return options
}

func weightStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "weight-store",
		Usage: "run a weight store that serves one load at a time",
		Flags: []cli.Flag{
			addressFlag("address", "serve engines"),
			&cli.DurationFlag{Name: "span", Value: 500 * time.Millisecond, Usage: "span of one load"},
		},
		Action: func(invocation *cli.Context) error {
			store := weightstore.New(invocation.Duration("span"))
			return serve(invocation, []endpoint{{address: invocation.String("address"), handler: store}})
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the configuration service and the VM list",
		Flags: []cli.Flag{
			addressFlag("address", "serve readers"),
			addressFlag("admin", "take in published values, VM lists and modes"),
			&cli.DurationFlag{Name: "list-lag", Usage: "lag of the VM list"},
		},
		Action: func(invocation *cli.Context) error {
			standIn := platform.New(invocation.Duration("list-lag"))
			return serve(invocation, []endpoint{
				{address: invocation.String("address"), handler: standIn},
				{address: invocation.String("admin"), handler: standIn.Admin()},
			})
		},
	}
}

func recordsCommand() *cli.Command {
	return &cli.Command{
		Name:  "records",
		Usage: "run a plain service that keeps a ledger",
		Flags: []cli.Flag{
			addressFlag("address", "serve calls and the ledger"),
			&cli.DurationFlag{Name: "span", Usage: "span of one call"},
		},
		Action: func(invocation *cli.Context) error {
			service := records.New(invocation.Duration("span"))
			return serve(invocation, []endpoint{{address: invocation.String("address"), handler: service}})
		},
	}
}

// endpoint is a handler and the address at which it listens.
type endpoint struct {
	address string
	handler http.Handler
}

// serve runs the endpoints and loops until a signal arrives or one of them ends,
// and returns the error that ended it, if any.
func serve(invocation *cli.Context, endpoints []endpoint, loops ...func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(invocation.Context, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	tasks := task.New(ctx)
	for _, endpoint := range endpoints {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		server := &http.Server{Handler: endpoint.handler, ReadHeaderTimeout: headerTimeout}
		tasks.Go("server", func(context.Context) error { return server.Serve(listener) })
		tasks.Go("closer", func(ctx context.Context) error { <-ctx.Done(); return server.Close() })
	}
	for _, loop := range loops {
		tasks.Go("loop", loop)
	}
	var failure error
	tasks.Reap(func(end task.End) {
		if end.Err != nil && !errors.Is(end.Err, http.ErrServerClosed) {
			failure = errors.Wrap(end.Err, end.Name)
		}
		tasks.Stop()
	})
	return failure
}
