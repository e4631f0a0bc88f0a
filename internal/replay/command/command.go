// Package command implements the command line of the replay tool.
package command

import (
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/replay/experiment"
	"teaselmoor/internal/replay/report"
)

// New returns the command line application.
func New() *cli.App {
	return &cli.App{
		Name:   "replay",
		Usage:  "replay request traces through the decisions and print what was measured",
		Action: run,
		Commands: []*cli.Command{{
			Name: "rounds", Usage: "draw a table of measured rounds", ArgsUsage: "TABLE.csv DRAWING.svg", Action: plotRounds,
			Flags: []cli.Flag{&cli.StringFlag{Name: "title", Usage: "`TEXT` over the drawing"}},
		}},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: "cantabrica", Usage: "cantabrica or ramcharan"},
			&cli.StringFlag{Name: "policies", Value: "residency first,product", Usage: "comma-separated `NAMES`; all for every one"},
			&cli.Float64SliceFlag{Name: "rates", Value: cli.NewFloat64Slice(2), Usage: "requests per second"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, from 1 on"},
			&cli.IntFlag{Name: "span", Value: 900, Usage: "length of a trace in seconds"},
			&cli.IntFlag{Name: "workers", Value: 3, Usage: "replays run at a time"},
			&cli.BoolFlag{Name: "faultless", Usage: "leave out the faults"},
			&cli.Float64Flag{Name: "flood", Usage: "add this many routine requests per second"},
			&cli.StringFlag{Name: "csv", Usage: "write the figures to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "draw a figure over the rates to `FILE` (svg or png)"},
			&cli.StringFlag{Name: "figure", Value: "stall mean ms", Usage: "figure to draw"},
			&cli.StringFlag{Name: "only", Usage: "print only figures whose name contains one of these comma-separated `TEXTS`"},
		},
	}
}

func run(invocation *cli.Context) error {
	setups, err := listSetups(invocation)
	if err != nil {
		return err
	}
	results, err := experiment.RunAll(invocation.Context, invocation.Int("workers"), setups)
	if err != nil {
		return err
	}
	columns := report.Columns()
	seeds := invocation.Int("seeds")
	var summaries []report.Summary
	for group := range slices.Chunk(results, seeds) {
		summaries = append(summaries, report.Summarise(columns, group))
	}
	return write(invocation, columns, summaries)
}

func plotRounds(invocation *cli.Context) error {
	if invocation.NArg() != 2 {
		return errors.New("rounds: want two arguments, the paths of the table and of the drawing")
	}
	file, err := os.Open(invocation.Args().Get(0))
	if err != nil {
		return errors.Wrap(err, "rounds")
	}
	defer func() { _ = file.Close() }()
	rounds, err := report.ReadRounds(file)
	if err != nil {
		return err
	}
	return rounds.Plot(invocation.Args().Get(1), invocation.String("title"))
}

func siteNamed(name string) (experiment.Site, error) {
	switch strings.ToLower(name) {
	case "cantabrica":
		return experiment.Cantabrica(), nil
	case "ramcharan":
		return experiment.Ramcharan(), nil
	}
	return experiment.Site{}, errors.Errorf("site %q: want cantabrica or ramcharan", name)
}

// listSetups returns the requested replays, ordered by policy, rate and seed.
func listSetups(invocation *cli.Context) ([]experiment.Setup, error) {
	site, err := siteNamed(invocation.String("site"))
	if err != nil {
		return nil, err
	}
	policies, err := policiesNamed(invocation.String("policies"))
	if err != nil {
		return nil, err
	}
	var setups []experiment.Setup
	for _, policy := range policies {
		for _, rate := range invocation.Float64Slice("rates") {
			for seed := range invocation.Int("seeds") {
				setup := experiment.NewSetup(site, policy, uint64(seed+1), rate)
				setup.SetDuration(clock.Millis(invocation.Int("span")) * clock.Second)
				setup.Flood = invocation.Float64("flood")
				if invocation.Bool("faultless") {
					setup.Faults, setup.FailLoadShare = experiment.Faults{}, 0
				}
				setups = append(setups, setup)
			}
		}
	}
	return setups, nil
}

func policiesNamed(names string) ([]experiment.Policy, error) {
	known := experiment.Policies()
	if names == "all" {
		return known, nil
	}
	var selected []experiment.Policy
	for name := range strings.SplitSeq(names, ",") {
		index := slices.IndexFunc(known, func(policy experiment.Policy) bool { return policy.Name == strings.TrimSpace(name) })
		if index < 0 {
			return nil, errors.Errorf("unknown policy %q; known policies: %s", name, strings.Join(policyNames(known), ", "))
		}
		selected = append(selected, known[index])
	}
	return selected, nil
}

func policyNames(policies []experiment.Policy) []string {
	names := make([]string, 0, len(policies))
	for _, policy := range policies {
		names = append(names, policy.Name)
	}
	return names
}

func write(invocation *cli.Context, columns []report.Column, summaries []report.Summary) error {
	shown, reduced := filterColumns(invocation.String("only"), columns, summaries)
	if err := report.Table(os.Stdout, shown, reduced); err != nil {
		return err
	}
	if path := invocation.String("csv"); path != "" {
		if err := writeCSV(path, columns, summaries); err != nil {
			return err
		}
	}
	path := invocation.String("plot")
	if path == "" {
		return nil
	}
	figure := slices.IndexFunc(columns, func(column report.Column) bool { return column.Name == invocation.String("figure") })
	if figure < 0 {
		return errors.Errorf("figure %q is not known", invocation.String("figure"))
	}
	return report.Plot(path, figure, columns, summaries)
}

func writeCSV(path string, columns []report.Column, summaries []report.Summary) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create CSV file")
	}
	if err := report.CSV(file, columns, summaries); err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close CSV file")
}

// filterColumns returns the columns whose name contains one of the comma-separated
// texts, and the summaries reduced to them.
func filterColumns(texts string, columns []report.Column, summaries []report.Summary) ([]report.Column, []report.Summary) {
	if texts == "" {
		return columns, summaries
	}
	var kept []report.Column
	reduced := make([]report.Summary, len(summaries))
	for i := range summaries {
		reduced[i] = summaries[i]
		reduced[i].Mean, reduced[i].Spread = nil, nil
	}
	for index, column := range columns {
		if !containsAny(column.Name, texts) {
			continue
		}
		kept = append(kept, column)
		for i := range summaries {
			reduced[i].Mean = append(reduced[i].Mean, summaries[i].Mean[index])
			reduced[i].Spread = append(reduced[i].Spread, summaries[i].Spread[index])
		}
	}
	return kept, reduced
}

func containsAny(name, texts string) bool {
	for text := range strings.SplitSeq(texts, ",") {
		if strings.Contains(name, text) {
			return true
		}
	}
	return false
}
