package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table writes one line for each figure and one column for each summary: the mean,
// and the spread unless it is 0.
func Table(to io.Writer, columns []Column, summaries []Summary) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "\t")
	for _, summary := range summaries {
		fmt.Fprintf(table, "%s\t", summary.Policy)
	}
	fmt.Fprint(table, "\nrate /s\t")
	for _, summary := range summaries {
		fmt.Fprintf(table, "%.2f\t", summary.Rate)
	}
	fmt.Fprintln(table)
	for i, column := range columns {
		fmt.Fprintf(table, "%s\t", column.Name)
		for _, summary := range summaries {
			fmt.Fprintf(table, "%s\t", formatCell(summary.Mean[i], summary.Spread[i]))
		}
		fmt.Fprintln(table)
	}
	return errors.Wrap(table.Flush(), "write table")
}

func formatCell(mean, spread float64) string {
	if spread == 0 {
		return formatShort(mean)
	}
	return formatShort(mean) + "±" + formatShort(spread)
}

// formatShort formats a value below 100 with three significant digits, and a larger
// or whole one without decimals.
func formatShort(value float64) string {
	if value >= 100 || value == float64(int(value)) {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

// CSV writes a line for each summary, with the mean and spread of each figure.
func CSV(to io.Writer, columns []Column, summaries []Summary) error {
	writer := csv.NewWriter(to)
	header := []string{"Site", "Policy", "Rate", "Seeds"}
	for _, column := range columns {
		header = append(header, column.Name, column.Name+" spread")
	}
	lines := [][]string{header}
	for _, summary := range summaries {
		line := []string{summary.Site, summary.Policy, formatExact(summary.Rate), strconv.Itoa(summary.Seeds)}
		for i := range columns {
			line = append(line, formatExact(summary.Mean[i]), formatExact(summary.Spread[i]))
		}
		lines = append(lines, line)
	}
	return errors.Wrap(writer.WriteAll(lines), "write CSV")
}

func formatExact(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
