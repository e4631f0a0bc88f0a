package command

import (
	"encoding/json"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/serve/operators"
)

// followWait is the maximum time that a daemon may wait for an event in one long poll.
const followWait = 20 * clock.Second

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "show the changes and refusals that a daemon still holds in memory",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.StringFlag{Name: "kind", Usage: "only events of `KIND`, for example RequestRefused"},
			&cli.StringFlag{Name: "object", Usage: "only events whose object contains `TEXT`"},
			&cli.StringFlag{Name: "since", Usage: "only events from `TIME` on: RFC 3339, or a span back such as 10m"},
			&cli.BoolFlag{Name: "follow", Usage: "wait for further events until interrupted"},
			&cli.BoolFlag{Name: "json", Usage: "write each event as a line of JSON"},
		},
		Action: showAudit,
	}
}

func showAudit(invocation *cli.Context) error {
	address, err := operatorAddress(invocation)
	if err != nil {
		return err
	}
	since, err := parseSince(invocation.String("since"), clock.System())
	if err != nil {
		return err
	}
	filter := audit.Filter{
		Since: since, Kind: effect.AuditKind(invocation.String("kind")), Object: invocation.String("object"),
	}
	ctx, stop := signal.NotifyContext(invocation.Context, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	invocation.Context = ctx
	err = printStoredEvents(invocation, address, &filter)
	if err == nil && invocation.Bool("follow") {
		err = followAudit(invocation, address, filter)
	}
	if ctx.Err() != nil {
		return nil // the user interrupted the command
	}
	return err
}

// printStoredEvents prints the events that the daemon holds in memory, page by page. It
// sets filter.After to the end of the last page.
func printStoredEvents(invocation *cli.Context, address string, filter *audit.Filter) error {
	for {
		page, err := fetchAudit(invocation, address, *filter, 0)
		if err != nil {
			return err
		}
		printEvents(invocation, page, filter.After)
		filter.After = page.Next
		if len(page.Events) == 0 {
			return nil
		}
	}
}

// followAudit prints new events until the context is cancelled or a call fails.
func followAudit(invocation *cli.Context, address string, filter audit.Filter) error {
	for {
		page, err := fetchAudit(invocation, address, filter, followWait)
		if err != nil {
			return err
		}
		printEvents(invocation, page, filter.After)
		filter.After = page.Next
	}
}

// fetchAudit reads a page of events. With a wait, an answer without events may
// take that long.
func fetchAudit(invocation *cli.Context, address string, filter audit.Filter, wait clock.Millis) (audit.Page, error) {
	var page audit.Page
	path := operators.AuditPath + "?" + operators.AuditQuery(filter, wait).Encode()
	return page, fetch(invocation.Context, address, path, wait.Duration(), &page)
}

// parseSince parses the -since flag: a point in time, or a duration before now.
func parseSince(text string, now clock.Millis) (clock.Millis, error) {
	if text == "" {
		return 0, nil
	}
	if duration, err := time.ParseDuration(text); err == nil && duration >= 0 {
		return now - clock.FromDuration(duration), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, withCode(ExitUsage, errors.Errorf("-since %q: want a time by RFC 3339 or a span such as 10m", text))
	}
	return clock.Millis(at.UnixMilli()), nil
}

// printEvents prints a page of events, which was read with filter.After set to
// after.
func printEvents(invocation *cli.Context, page audit.Page, after uint64) {
	asJSON := invocation.Bool("json")
	if page.Missed && !asJSON && after > 0 {
		writeLine(invocation, "(events were missed: the daemon holds only the latest)")
	}
	for _, event := range page.Events {
		if asJSON {
			line, _ := json.Marshal(event)
			writeLine(invocation, "%s", line)
			continue
		}
		writeLine(invocation, "%s", eventLine(event))
	}
}

func eventLine(event audit.Event) string {
	line := event.At.Time().Format(time.RFC3339) + " " + string(event.Daemon) + " " + string(event.Kind) + " " + event.Object
	if event.Cause != "" {
		line += " because of " + event.Cause
	}
	if event.Before != "" || event.After != "" {
		line += ": " + orNone(event.Before) + " -> " + orNone(event.After)
	}
	return strings.TrimSpace(line)
}
