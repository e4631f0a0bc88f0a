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
			path, err := requiredFlag(invocation, "settings")
			if err != nil {
				return err
			}
			loaded, err := settings.Load(path)
			if err != nil {
				return withMistakesCode(err)
			}
			ctx, stop := signal.NotifyContext(invocation.Context, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			// the handler accepts every level; program.Serve applies the level in the settings
			handler := slog.NewJSONHandler(invocation.App.Writer, &slog.HandlerOptions{Level: slog.LevelDebug})
			return program.Serve(ctx, loaded, slog.New(handler))
		},
	}
}

// withMistakesCode adds ExitMistakes to an error that lists mistakes in a file.
// Other errors stay as they are.
func withMistakesCode(err error) error {
	var mistakes document.Mistakes
	if errors.As(err, &mistakes) {
		return withCode(ExitMistakes, err)
	}
	return err
}
