package command

import (
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/decide/outcome"
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
			"while it still holds it.",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.StringFlag{Name: "request", Usage: "explain the request with this `ID`"},
			&cli.StringFlag{Name: "audience", Usage: "write for a member, employer or regulator", Value: string(explain.Member)},
			jsonFlag(),
		},
		Action: showExplanation,
	}
}

// explanation is the JSON form of the command's answer.
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
	return errors.Wrap(err, "write")
}

func readRecord(invocation *cli.Context) (outcome.Record, error) {
	if request := invocation.String("request"); request != "" {
		return fetchRecord(invocation, request)
	}
	var text []byte
	var err error
	if path := invocation.Args().First(); path != "" && path != "-" {
		text, err = os.ReadFile(path)
	} else {
		text, err = io.ReadAll(invocation.App.Reader)
	}
	if err != nil {
		return outcome.Record{}, errors.Wrap(err, "read decision record")
	}
	record, err := explain.Parse(text)
	return record, withCode(ExitMistakes, err)
}

func fetchRecord(invocation *cli.Context, request string) (outcome.Record, error) {
	address, err := operatorAddress(invocation)
	if err != nil {
		return outcome.Record{}, err
	}
	var record outcome.Record
	err = fetch(invocation.Context, address, operators.RecordsPath+url.PathEscape(request), 0, &record)
	return record, err
}
