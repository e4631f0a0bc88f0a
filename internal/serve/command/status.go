package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/operators"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what a daemon knows, how old that is, and the engines that it owns; or what a gateway believes",
		Flags: []cli.Flag{daemonFlag(), gatewayFlag(), jsonFlag()},
		Action: func(invocation *cli.Context) error {
			if gateway := invocation.String("gateway"); gateway != "" {
				return showGatewayStatus(invocation, gateway)
			}
			address, err := operatorAddress(invocation)
			if err != nil {
				return err
			}
			var status daemon.Status
			if err := fetch(invocation.Context, address, operators.StatusPath, 0, &status); err != nil {
				return err
			}
			if invocation.Bool("json") {
				return writeJSON(invocation, status)
			}
			printStatus(invocation, status)
			return nil
		},
	}
}

func printStatus(invocation *cli.Context, status daemon.Status) {
	state := "not ready"
	switch {
	case status.Draining:
		state = "shutting down"
	case status.Ready:
		state = "ready"
	}
	writeLine(invocation, "daemon %s in %s, %s: %s", status.Daemon, status.DataCentre, status.Region, state)
	writeLine(invocation, "configuration version %d, accepted %s ago; the service last answered %s ago",
		status.ConfigVersion, formatAge(status.ConfigAge), formatAge(status.ConfigContactAge))
	writeLine(invocation, "VM list version %d, read %s ago", status.VMListVersion, formatAge(status.VMListAge))
	peers := make([]string, 0, len(status.Peers))
	for _, peer := range status.Peers {
		peers = append(peers, string(peer))
	}
	writeLine(invocation, "%d requests in progress, %d idempotency keys, %d peers connected: %s",
		status.Requests, status.Keys, len(peers), orNone(strings.Join(peers, " ")))
	printMembers(invocation, status)
	printOwned(invocation, status)
	printKnown(invocation, status)
}

func printMembers(invocation *cli.Context, status daemon.Status) {
	writeLine(invocation, "\nother daemons of the region:")
	table := newTable(invocation)
	table.row("DAEMON", "DATA CENTRE", "LISTED", "CONFIGURATION", "LAST HEARD", "STATE")
	for _, member := range status.Members {
		heard, state := "never", "silent so far"
		if member.Heard {
			heard, state = formatAge(member.Age)+" ago", "heard"
		}
		switch {
		case member.Leaving:
			state = "leaving"
		case member.Lost:
			state = "connection lost"
		}
		table.row(member.Daemon, member.DataCentre, member.Listed, member.ConfigVersion, heard, state)
	}
	table.flush()
}

func printOwned(invocation *cli.Context, status daemon.Status) {
	writeLine(invocation, "\nowned engines:")
	table := newTable(invocation)
	table.row("ENGINE", "FENCE", "QUEUED", "RUNNING", "LOADS WAITING", "REPORT AGE", "STATE", "ADAPTERS IN SLOTS")
	for _, owned := range status.Owned {
		adapters := make([]string, 0, len(owned.Resident))
		for _, adapter := range owned.Resident {
			adapters = append(adapters, adapter.String())
		}
		table.row(owned.Engine, owned.Fence, owned.Queued, owned.Running, owned.LoadsWaiting, formatAge(owned.ReportAge),
			quarantineState(owned.Quarantined), strings.Join(adapters, " "))
	}
	table.flush()
}

func printKnown(invocation *cli.Context, status daemon.Status) {
	writeLine(invocation, "\nknown engines:")
	table := newTable(invocation)
	table.row("ENGINE", "OWNER", "QUEUED", "RUNNING", "ADAPTERS", "STATE", "AGE")
	for _, known := range status.Known {
		table.row(known.State.Engine, known.State.Owner, known.State.Queued, known.State.Running,
			len(known.State.Resident), quarantineState(known.State.Quarantined), formatAge(known.Age))
	}
	table.flush()
}

func quarantineState(quarantined bool) string {
	if quarantined {
		return "quarantined"
	}
	return "in service"
}

func formatAge(age clock.Millis) string {
	return age.Duration().String()
}

// table writes rows of cells in aligned columns.
type table struct {
	writer *tabwriter.Writer
}

const columnGap = 2 // spaces between columns

func newTable(invocation *cli.Context) *table {
	return &table{writer: tabwriter.NewWriter(invocation.App.Writer, 0, 0, columnGap, ' ', 0)}
}

func (table *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(table.writer, "  "+strings.Join(texts, "\t"))
}

func (table *table) flush() {
	_ = table.writer.Flush()
}
