// Package command is the command line of teaselmoor. Commands read, check and
// write files, or read from one daemon's operator address; none acts on a
// daemon or an engine, because operators act through the configuration that they
// publish.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

// Exit codes of the program.
const (
	ExitDone        = 0
	ExitFailed      = 1 // something failed that is none of the below
	ExitUsage       = 2 // an unknown command or flag, or one missing
	ExitMistakes    = 3 // a checked file holds mistakes
	ExitUnreachable = 4 // the daemon asked did not answer
	ExitNotFound    = 5 // what was asked for does not exist
	// A daemon that a broken invariant stopped exits with 6.
)

// exitError is an error with the exit code that it calls for.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (failed *exitError) Error() string { return failed.err.Error() }

// Unwrap returns the error without its exit code.
func (failed *exitError) Unwrap() error { return failed.err }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// ExitCode returns the exit code for the error of a run.
func ExitCode(err error) int {
	var failed *exitError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &failed):
		return failed.code
	}
	return ExitFailed
}

// New returns the command line application.
func New() *cli.App {
	return &cli.App{
		Name:                 "teaselmoor",
		Usage:                "serve LoRA adapters on shared model engines",
		Description:          "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 mistakes in a checked file, 4 daemon did not answer, 5 not found, 6 a broken invariant stopped the daemon.",
		HideVersion:          true,
		EnableBashCompletion: true,
		Suggest:              true,
		Action:               withoutCommand,
		OnUsageError:         usageError,
		ExitErrHandler:       func(*cli.Context, error) {}, // main exits
		Commands: withUsageErrors(
			serveCommand(), checkCommand(), publishPackCommand(),
			statusCommand(), auditCommand(), explainCommand(),
			settingsCommand(), versionCommand(), completionCommand(),
		),
	}
}

// Run runs the program with the given arguments and streams and returns its
// exit code.
func Run(ctx context.Context, arguments []string, in io.Reader, out, errOut io.Writer) int {
	app := New()
	app.Reader, app.Writer, app.ErrWriter = in, out, errOut
	err := app.RunContext(ctx, arguments)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "teaselmoor:", err)
	}
	return ExitCode(err)
}

func withoutCommand(invocation *cli.Context) error {
	if name := invocation.Args().First(); name != "" {
		return withCode(ExitUsage, errors.Errorf("unknown command %q; teaselmoor help lists them", name))
	}
	return cli.ShowAppHelp(invocation)
}

func usageError(_ *cli.Context, err error, _ bool) error {
	return withCode(ExitUsage, err)
}

func withUsageErrors(commands ...*cli.Command) []*cli.Command {
	for _, command := range commands {
		command.OnUsageError = usageError
	}
	return commands
}

// need returns a flag that must be given.
func need(invocation *cli.Context, name string) (string, error) {
	value := invocation.String(name)
	if value == "" {
		return "", withCode(ExitUsage, errors.Errorf("flag -%s must be given", name))
	}
	return value, nil
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "write JSON"}
}

func writeJSON(invocation *cli.Context, value any) error {
	encoder := json.NewEncoder(invocation.App.Writer)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write")
}

// writeLine writes a line. A reader that has gone away is not an error.
func writeLine(invocation *cli.Context, format string, arguments ...any) {
	_, _ = fmt.Fprintf(invocation.App.Writer, format+"\n", arguments...)
}
