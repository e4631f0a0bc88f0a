// Package metrics counts what a daemon does, from the events that its decision
// machines take in and the effects that they return; the machines themselves
// observe nothing. The counters are go-metrics counters in a registry, and Write
// puts them out in the text exposition format that common collectors read.
//
// Spans are histograms with fixed buckets in milliseconds, so that a collector
// can add the daemons of a fleet together, which quantiles do not allow.
package metrics

import (
	"fmt"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// family is a set of series that differ in their labels.
type family struct {
	name string
	help string
	kind string
}

// Kinds of family in the exposition format.
const (
	counterKind   = "counter"
	gaugeKind     = "gauge"
	histogramKind = "histogram"
)

// Families of counters, in the order in which they are written.
var (
	requests      = family{"teaselmoor_requests_total", "Requests ended at this entry, by class, outcome and reason.", counterKind}
	requestSpan   = family{"teaselmoor_request_milliseconds", "Span from arrival to the end of the answer, by class and outcome.", histogramKind}
	firstChunk    = family{"teaselmoor_first_chunk_milliseconds", "Span from arrival to the begin of the answer, by class.", histogramKind}
	loadStall     = family{"teaselmoor_load_stall_milliseconds", "Span that a request waited for its adapter to load, by class.", histogramKind}
	loads         = family{"teaselmoor_loads_total", "Adapter loads that this owner ordered, by result.", counterKind}
	changes       = family{"teaselmoor_changes_total", "Audited changes, by kind.", counterKind}
	messages      = family{"teaselmoor_messages_total", "Messages between daemons, by direction and lane.", counterKind}
	relayed       = family{"teaselmoor_relayed_bytes_total", "Bytes of answers relayed by this owner, by lane.", counterKind}
	lateFrames    = family{"teaselmoor_late_frames_total", "Frames dropped because their stream had ended or moved.", counterKind}
	familiesOrder = []family{requests, requestSpan, firstChunk, loadStall, loads, changes, messages, relayed, lateFrames}
)

// Names lists every metric, for the page that explains them.
func Names() []string {
	var names []string
	for _, each := range familiesOrder {
		names = append(names, each.name)
	}
	for _, each := range gaugesOrder {
		names = append(names, each.name)
	}
	return names
}

// bounds are the upper bounds of the buckets of a histogram, in milliseconds.
var bounds = []int64{1, 2, 5, 10, 20, 50, 100, 200, 380, 500, 1000, 2000, 5000, 10_000, 20_000, 60_000}

// Metrics holds the counters of one daemon. Safe for concurrent use.
type Metrics struct {
	registry gometrics.Registry

	mutex    sync.RWMutex // guards all below
	counters map[seriesKey]gometrics.Counter
	spans    map[seriesKey]*span
	byName   map[string]gometrics.Counter
	order    map[string][]string // full names of a family's series, as created
}

// New returns counters that have counted nothing.
func New() *Metrics {
	return &Metrics{
		registry: gometrics.NewRegistry(),
		counters: map[seriesKey]gometrics.Counter{},
		spans:    map[seriesKey]*span{},
		byName:   map[string]gometrics.Counter{},
		order:    map[string][]string{},
	}
}

// Registry gives the counters to other go-metrics reporters.
func (metrics *Metrics) Registry() gometrics.Registry {
	return metrics.registry
}

// label is one label of a series.
type label struct {
	name  string
	value string
}

// series is the full name of a series: name{label="value",...}.
func series(name string, labels ...label) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, 0, len(labels))
	for _, each := range labels {
		parts = append(parts, fmt.Sprintf("%s=%q", each.name, each.value))
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

// maxLabels is the largest number of labels of a series.
const maxLabels = 3

// seriesKey finds a series without building its name. A family's series have the
// same labels, so that their values suffice.
type seriesKey struct {
	family string
	values [maxLabels]string
}

func keyOf(of family, labels []label) seriesKey {
	key := seriesKey{family: of.name}
	for i, each := range labels {
		key.values[i] = each.value
	}
	return key
}

// counter returns a family's counter with the given labels, new at first use.
func (metrics *Metrics) counter(of family, labels ...label) gometrics.Counter {
	key := keyOf(of, labels)
	metrics.mutex.RLock()
	found := metrics.counters[key]
	metrics.mutex.RUnlock()
	if found != nil {
		return found
	}
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	added := metrics.addCounter(of, series(of.name, labels...))
	metrics.counters[key] = added
	return added
}

// addCounter returns the counter with a full name. The caller holds the lock.
func (metrics *Metrics) addCounter(of family, name string) gometrics.Counter {
	if found := metrics.byName[name]; found != nil {
		return found
	}
	added := gometrics.NewRegisteredCounter(name, metrics.registry)
	metrics.byName[name] = added
	metrics.order[of.name] = append(metrics.order[of.name], name)
	return added
}

// span is a histogram of spans in milliseconds.
type span struct {
	buckets []gometrics.Counter // cumulative, by index of bounds, the last for +Inf
	sum     gometrics.Counter
	count   gometrics.Counter
}

// span returns a family's histogram with the given labels, new at first use.
func (metrics *Metrics) span(of family, labels ...label) *span {
	key := keyOf(of, labels)
	metrics.mutex.RLock()
	found := metrics.spans[key]
	metrics.mutex.RUnlock()
	if found != nil {
		return found
	}
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	if found := metrics.spans[key]; found != nil {
		return found
	}
	added := &span{}
	for i := 0; i <= len(bounds); i++ {
		bucket := append(append([]label{}, labels...), label{"le", boundName(i)})
		added.buckets = append(added.buckets, metrics.addCounter(of, series(of.name+"_bucket", bucket...)))
	}
	added.sum = metrics.addCounter(of, series(of.name+"_sum", labels...))
	added.count = metrics.addCounter(of, series(of.name+"_count", labels...))
	metrics.spans[key] = added
	return added
}

func boundName(index int) string {
	if index == len(bounds) {
		return "+Inf"
	}
	return fmt.Sprint(bounds[index])
}

// add counts one span.
func (span *span) add(millis int64) {
	for i, bucket := range span.buckets {
		if i == len(bounds) || millis <= bounds[i] {
			bucket.Inc(1)
		}
	}
	span.sum.Inc(millis)
	span.count.Inc(1)
}
