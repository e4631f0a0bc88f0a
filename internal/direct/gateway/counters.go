package gateway

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
)

// maxSeries bounds the number of label sets, so that names made up by callers or
// many routes do not grow the memory.
const maxSeries = 200

// counters count how requests end.
type counters struct {
	mutex   sync.Mutex // guards both maps
	ends    map[endLabels]int64
	latency map[string]*hdrhistogram.Histogram // by service, milliseconds
}

type endLabels struct {
	Service string
	Status  int
	Reason  ending.Reason
}

func newCounters() *counters {
	return &counters{ends: make(map[endLabels]int64), latency: make(map[string]*hdrhistogram.Histogram)}
}

func (counters *counters) ended(job *job, status int, why ending.Reason, now clock.Millis) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	labels := endLabels{Service: job.service, Status: status, Reason: why}
	if _, known := counters.ends[labels]; !known && len(counters.ends) >= maxSeries {
		labels.Service = "other"
	}
	counters.ends[labels]++
	if status/100 != 2 {
		return
	}
	at := now
	if job.firstAt > 0 {
		at = job.firstAt
	}
	counters.observe(job.service, int64(at-job.arrived))
}

// latencyRange is the highest latency that is told apart, in milliseconds, at
// two significant figures.
const latencyRange = 60_000

func (counters *counters) observe(service string, millis int64) {
	histogram, ok := counters.latency[service]
	if !ok {
		if len(counters.latency) >= maxSeries {
			return
		}
		histogram = hdrhistogram.New(1, latencyRange, 2)
		counters.latency[service] = histogram
	}
	_ = histogram.RecordValue(min(max(millis, 1), latencyRange)) // always in range
}

// write writes the counters as text that common collectors read.
func (counters *counters) write(out io.Writer) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	for labels, count := range counters.ends {
		_, _ = fmt.Fprintf(out, "teaselmoor_requests_total{service=%q,status=\"%d\",reason=%q} %d\n", labels.Service, labels.Status, labels.Reason, count)
	}
	for _, service := range slices.Sorted(maps.Keys(counters.latency)) {
		histogram := counters.latency[service]
		for _, quantile := range []float64{50, 95, 99} {
			_, _ = fmt.Fprintf(out, "teaselmoor_latency_millis{service=%q,quantile=\"%g\"} %d\n", service, quantile/100, histogram.ValueAtQuantile(quantile))
		}
		_, _ = fmt.Fprintf(out, "teaselmoor_latency_millis_count{service=%q} %d\n", service, histogram.TotalCount())
	}
}
