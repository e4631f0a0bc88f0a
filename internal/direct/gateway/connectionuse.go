package gateway

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"teaselmoor/internal/direct/upstream"
)

// useFields returns the fields of a log line that tell which connection a request was sent on. There are none for a request
// that was not sent.
func useFields(use upstream.Use) []any {
	if use.Connection == 0 {
		return nil
	}
	fields := []any{"Connection", use.Connection, "Use", use.Request}
	if use.Skipped > 0 {
		fields = append(fields, "Skipped", use.Skipped)
	}
	return fields
}

// writeStrays writes the metrics of answers that were skipped on connections to servers or peers.
func writeStrays(out io.Writer, from string, strays map[upstream.Match]int64) {
	for _, match := range slices.Sorted(maps.Keys(strays)) {
		_, _ = fmt.Fprintf(out, "teaselmoor_stray_answers_total{from=%q,match=%q} %d\n", from, string(match), strays[match]) // memory
	}
}
