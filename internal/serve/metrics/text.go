package metrics

import (
	"bufio"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// ContentType is the media type of the text exposition format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Write writes all counters and the given gauges in the text exposition format. The
// gauges of a family must be next to each other.
func (metrics *Metrics) Write(out io.Writer, gauges []Gauge) error {
	buffered := bufio.NewWriter(out)
	metrics.writeCounters(buffered)
	writeGauges(buffered, gauges)
	return errors.Wrap(buffered.Flush(), "write metrics")
}

func (metrics *Metrics) writeCounters(out *bufio.Writer) {
	metrics.mutex.RLock()
	defer metrics.mutex.RUnlock()
	for _, each := range counterFamilies {
		names := metrics.order[each.name]
		if len(names) == 0 {
			continue
		}
		writeHeader(out, each)
		for _, name := range names {
			fmt.Fprintf(out, "%s %d\n", name, metrics.byName[name].Count())
		}
	}
}

// writeHeader writes the HELP and TYPE lines of a family.
func writeHeader(out *bufio.Writer, family family) {
	fmt.Fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", family.name, family.help, family.name, family.kind)
}

func writeGauges(out *bufio.Writer, gauges []Gauge) {
	written := map[string]bool{}
	for _, gauge := range gauges {
		if !written[gauge.family.name] {
			writeHeader(out, gauge.family)
			written[gauge.family.name] = true
		}
		value := strconv.FormatFloat(gauge.value, 'f', -1, 64)
		fmt.Fprintf(out, "%s %s\n", seriesName(gauge.family.name, gauge.labels...), value)
	}
}
