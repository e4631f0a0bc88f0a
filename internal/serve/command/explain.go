package command

import (
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/direct/requestlog"
	"teaselmoor/internal/serve/explain"
	"teaselmoor/internal/serve/operators"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain a refusal to a member, an employer or a regulator",
		ArgsUsage: "[FILE]",
		Description: "The record comes from FILE or standard input: the error body that the caller got, a line of the audit " +
			"trail, or the record alone. With -daemon and -request it comes from the daemon that refused the request, " +
			"while it still holds it. With -log and -request the text is the log of one or more gateways.",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.BoolFlag{Name: "log", Usage: "the text is a log of gateways"},
			&cli.StringFlag{Name: "request", Usage: "explain the request with this `ID`"},
			&cli.StringFlag{Name: "audience", Usage: "write for a member, employer or regulator", Value: string(explain.Member)},
			jsonFlag(),
		},
		Action: showExplanation,
	}
}

// explanation is the JSON output of the explain command.
type explanation struct {
	Audience explain.Audience
	Text     string
	Record   outcome.Record
}

func showExplanation(invocation *cli.Context) error {
	audience, err := explain.ParseAudience(invocation.String("audience"))
	if err != nil {
		return withCode(ExitUsage, err)
	}
	record, err := readRecord(invocation)
	if err != nil {
		return err
	}
	text := explain.Render(record, audience)
	if invocation.Bool("json") {
		return writeJSON(invocation, explanation{Audience: audience, Text: text, Record: record})
	}
	_, err = fmt.Fprint(invocation.App.Writer, text)
	return errors.Wrap(err, "write output")
}

// readRecord reads the decision record from the source that the flags and
// arguments name: a daemon, a log, a file or standard input.
func readRecord(invocation *cli.Context) (outcome.Record, error) {
	request := invocation.String("request")
	if request != "" && !invocation.Bool("log") {
		return fetchRecord(invocation, request)
	}
	input, err := openInput(invocation)
	if err != nil {
		return outcome.Record{}, err
	}
	defer func() { _ = input.Close() }()
	if invocation.Bool("log") {
		return recordFromLog(invocation, input)
	}
	text, err := io.ReadAll(input)
	if err != nil {
		return outcome.Record{}, errors.Wrap(err, "read decision record")
	}
	record, err := explain.Parse(text)
	return record, withCode(ExitMistakes, err)
}

// openInput opens the file in the first argument, or standard input when there is
// no argument or it is -.
func openInput(invocation *cli.Context) (io.ReadCloser, error) {
	path := invocation.Args().First()
	if path == "" || path == "-" {
		return io.NopCloser(invocation.App.Reader), nil
	}
	file, err := os.Open(path)
	return file, errors.Wrap(err, "open input")
}

// recordFromLog builds the decision record of a request from the log lines of
// gateways.
func recordFromLog(invocation *cli.Context, log io.Reader) (outcome.Record, error) {
	request, err := requiredFlag(invocation, "request")
	if err != nil {
		return outcome.Record{}, err
	}
	record, err := requestlog.Read(log, request)
	if errors.Is(err, requestlog.ErrNotFound) {
		return record, withCode(ExitNotFound, err)
	}
	return record, withCode(ExitMistakes, err)
}

// fetchRecord reads the decision record of a request from a daemon.
func fetchRecord(invocation *cli.Context, request string) (outcome.Record, error) {
	address, err := operatorAddress(invocation)
	if err != nil {
		return outcome.Record{}, err
	}
	var record outcome.Record
	err = fetch(invocation.Context, address, operators.RecordsPath+url.PathEscape(request), 0, &record)
	return record, err
}
