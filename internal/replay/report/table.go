package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table prints one line for each figure and one column for each summary:
// the mean, and the spread where several seeds were replayed.
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
			fmt.Fprintf(table, "%s\t", cell(summary.Mean[i], summary.Spread[i]))
		}
		fmt.Fprintln(table)
	}
	return errors.Wrap(table.Flush(), "write table")
}

func cell(mean, spread float64) string {
	if spread == 0 {
		return short(mean)
	}
	return short(mean) + "±" + short(spread)
}

// short prints three significant digits of small figures and none after the
// point of large ones.
func short(value float64) string {
	if value >= 100 || value == float64(int(value)) {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

// CSV writes a line for each summary, with mean and spread of each figure.
func CSV(to io.Writer, columns []Column, summaries []Summary) error {
	writer := csv.NewWriter(to)
	head := []string{"Site", "Policy", "Rate", "Seeds"}
	for _, column := range columns {
		head = append(head, column.Name, column.Name+" spread")
	}
	lines := [][]string{head}
	for _, summary := range summaries {
		line := []string{summary.Site, summary.Policy, exact(summary.Rate), strconv.Itoa(summary.Seeds)}
		for i := range columns {
			line = append(line, exact(summary.Mean[i]), exact(summary.Spread[i]))
		}
		lines = append(lines, line)
	}
	return errors.Wrap(writer.WriteAll(lines), "write CSV")
}

func exact(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
