package command

import (
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/document"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/serve/program"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run a daemon until a signal asks it to end",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`"},
		},
		Action: func(invocation *cli.Context) error {
			path, err := need(invocation, "settings")
			if err != nil {
				return err
			}
			loaded, err := settings.Load(path)
			if err != nil {
				return mistakesError(err)
			}
			ctx, stop := signal.NotifyContext(invocation.Context, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			// the settings' level is applied by the program
			handler := slog.NewJSONHandler(invocation.App.Writer, &slog.HandlerOptions{Level: slog.LevelDebug})
			return program.Serve(ctx, loaded, slog.New(handler))
		},
	}
}

// mistakesError gives the exit code for mistakes to an error that lists some.
func mistakesError(err error) error {
	var mistakes document.Mistakes
	if errors.As(err, &mistakes) {
		return withCode(ExitMistakes, err)
	}
	return err
}
