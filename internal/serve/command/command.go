// Package command is the command line of teaselmoor.
package command

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/serve/program"
)

// New returns the command line application.
func New() *cli.App {
	return &cli.App{
		Name:  "teaselmoor",
		Usage: "serve LoRA adapters on shared model engines",
		Commands: []*cli.Command{
			serveCommand(),
		},
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run a daemon",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`", Required: true},
		},
		Action: func(invocation *cli.Context) error {
			loaded, err := settings.Load(invocation.String("settings"))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(invocation.Context, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			log := slog.New(slog.NewJSONHandler(os.Stdout, nil))
			return program.Serve(ctx, loaded, log)
		},
	}
}
