// Package command is the command line of teaselmoor. Apart from serve, which runs
// a daemon, its commands read, check and write files, or read from one daemon or
// gateway. None of them changes the state of a daemon, a gateway or an engine:
// operators make changes by publishing a configuration.
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
	ExitFailed      = 1 // any failure without a code of its own
	ExitUsage       = 2 // an unknown command or flag, or a missing one
	ExitMistakes    = 3 // a file that was read has mistakes
	ExitUnreachable = 4 // the daemon or gateway did not answer
	ExitNotFound    = 5 // the requested object does not exist
	// A daemon that stops because of a broken invariant exits with 6; see package daemon.
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (failed *exitError) Error() string { return failed.err.Error() }

// Unwrap returns the error without its exit code.
func (failed *exitError) Unwrap() error { return failed.err }

// withCode adds an exit code to an error. It returns nil when err is nil.
func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// exitCode returns the exit code for the error that Run got from the application.
func exitCode(err error) int {
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
		Action:               runWithoutCommand,
		OnUsageError:         usageError,
		ExitErrHandler:       func(*cli.Context, error) {}, // main exits with the code that Run returns
		Commands: withUsageErrors(
			serveCommand(), checkCommand(), publishPackCommand(),
			statusCommand(), auditCommand(), explainCommand(),
			settingsCommand(), versionCommand(), completionCommand(),
		),
	}
}

// Run runs the command line in arguments, whose first element is the name of the
// program, and returns the exit code.
func Run(ctx context.Context, arguments []string, in io.Reader, out, errOut io.Writer) int {
	app := New()
	app.Reader, app.Writer, app.ErrWriter = in, out, errOut
	err := app.RunContext(ctx, arguments)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "teaselmoor:", err)
	}
	return exitCode(err)
}

// runWithoutCommand shows the help when no command is given. Any argument is then
// the name of an unknown command.
func runWithoutCommand(invocation *cli.Context) error {
	if name := invocation.Args().First(); name != "" {
		return withCode(ExitUsage, errors.Errorf("unknown command %q; teaselmoor help lists them", name))
	}
	return cli.ShowAppHelp(invocation)
}

func usageError(_ *cli.Context, err error, _ bool) error {
	return withCode(ExitUsage, err)
}

// withUsageErrors makes wrong flags of the commands exit with ExitUsage.
func withUsageErrors(commands ...*cli.Command) []*cli.Command {
	for _, command := range commands {
		command.OnUsageError = usageError
	}
	return commands
}

// requiredFlag returns the value of a flag, or a usage error when it is empty.
func requiredFlag(invocation *cli.Context, name string) (string, error) {
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
	return errors.Wrap(encoder.Encode(value), "write output")
}

// writeLine writes a line of output. It ignores errors, so that the command does
// not fail when the reader of a pipe ends early.
func writeLine(invocation *cli.Context, format string, arguments ...any) {
	_, _ = fmt.Fprintf(invocation.App.Writer, format+"\n", arguments...)
}
