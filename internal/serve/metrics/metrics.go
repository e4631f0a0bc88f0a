// Package metrics counts what a daemon does. It derives the counters from the events
// that the daemon's decision code receives and the effects that it returns, so that
// the decision code itself contains no metrics. The counters are go-metrics counters
// in a registry, and Write writes them in the text exposition format that common
// collectors read.
//
// Durations are histograms with fixed buckets in milliseconds, so that a collector
// can aggregate the daemons of a fleet, which quantiles do not allow.
package metrics

import (
	"fmt"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// family is a metric: a set of series with the same name and different labels.
type family struct {
	name string
	help string
	kind string // counterKind, gaugeKind or histogramKind
}

// Kinds of family in the exposition format.
const (
	counterKind   = "counter"
	gaugeKind     = "gauge"
	histogramKind = "histogram"
)

// Families of counters and histograms. counterFamilies is the order in which they
// are written.
var (
	requests        = family{"teaselmoor_requests_total", "Requests ended at this entry, by class, outcome and reason.", counterKind}
	requestDuration = family{"teaselmoor_request_milliseconds", "Span from arrival to the end of the answer, by class and outcome.", histogramKind}
	firstChunk      = family{"teaselmoor_first_chunk_milliseconds", "Span from arrival to the begin of the answer, by class.", histogramKind}
	loadStall       = family{"teaselmoor_load_stall_milliseconds", "Span that a request waited for its adapter to load, by class.", histogramKind}
	loads           = family{"teaselmoor_loads_total", "Adapter loads that this owner ordered, by result.", counterKind}
	changes         = family{"teaselmoor_changes_total", "Audited changes, by kind.", counterKind}
	messages        = family{"teaselmoor_messages_total", "Messages between daemons, by direction and lane.", counterKind}
	relayed         = family{"teaselmoor_relayed_bytes_total", "Bytes of answers relayed by this owner, by lane.", counterKind}
	lateFrames      = family{"teaselmoor_late_frames_total", "Frames dropped because their stream had ended or moved.", counterKind}
	counterFamilies = []family{requests, requestDuration, firstChunk, loadStall, loads, changes, messages, relayed, lateFrames}
)

// Names returns the names of all metrics. A test compares them with the page that
// documents them.
func Names() []string {
	var names []string
	for _, each := range counterFamilies {
		names = append(names, each.name)
	}
	for _, each := range gaugeFamilies {
		names = append(names, each.name)
	}
	return names
}

// bounds are the upper bounds of the buckets of a histogram, in milliseconds.
var bounds = []int64{1, 2, 5, 10, 20, 50, 100, 200, 380, 500, 1000, 2000, 5000, 10_000, 20_000, 60_000}

// Metrics holds the counters of one daemon. It is safe for concurrent use.
type Metrics struct {
	registry gometrics.Registry

	mutex      sync.RWMutex // guards all below
	counters   map[seriesKey]gometrics.Counter
	histograms map[seriesKey]*histogram
	byName     map[string]gometrics.Counter // by the full name of the series
	order      map[string][]string          // full names of the series by family, in order of creation
}

// New returns metrics without any series.
func New() *Metrics {
	return &Metrics{
		registry:   gometrics.NewRegistry(),
		counters:   map[seriesKey]gometrics.Counter{},
		histograms: map[seriesKey]*histogram{},
		byName:     map[string]gometrics.Counter{},
		order:      map[string][]string{},
	}
}

// Registry returns the registry of the counters, for other go-metrics reporters.
func (metrics *Metrics) Registry() gometrics.Registry {
	return metrics.registry
}

// label is one label of a series.
type label struct {
	name  string
	value string
}

// seriesName returns the full name of a series: name{label="value",...}.
func seriesName(name string, labels ...label) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, 0, len(labels))
	for _, each := range labels {
		parts = append(parts, fmt.Sprintf("%s=%q", each.name, each.value))
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

// maxLabels is the maximum number of labels of a series, without the label le of
// histogram buckets.
const maxLabels = 3

// seriesKey identifies a series, so that it can be found without building its full
// name. The label names are left out, as all series of a family have the same ones.
type seriesKey struct {
	family string
	values [maxLabels]string
}

func keyOf(family family, labels []label) seriesKey {
	key := seriesKey{family: family.name}
	for i, each := range labels {
		key.values[i] = each.value
	}
	return key
}

// counter returns a family's counter with the given labels. It creates the counter
// at first use.
func (metrics *Metrics) counter(family family, labels ...label) gometrics.Counter {
	key := keyOf(family, labels)
	metrics.mutex.RLock()
	found := metrics.counters[key]
	metrics.mutex.RUnlock()
	if found != nil {
		return found
	}
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	added := metrics.addCounter(family, seriesName(family.name, labels...))
	metrics.counters[key] = added
	return added
}

// addCounter returns the counter with a full name, which it creates if necessary.
// The caller must hold the lock.
func (metrics *Metrics) addCounter(family family, name string) gometrics.Counter {
	if found := metrics.byName[name]; found != nil {
		return found
	}
	added := gometrics.NewRegisteredCounter(name, metrics.registry)
	metrics.byName[name] = added
	metrics.order[family.name] = append(metrics.order[family.name], name)
	return added
}

// histogram counts durations in milliseconds by bucket.
type histogram struct {
	buckets []gometrics.Counter // cumulative, in the order of bounds; the last one is +Inf
	sum     gometrics.Counter
	count   gometrics.Counter
}

// histogram returns a family's histogram with the given labels. It creates the
// histogram at first use.
func (metrics *Metrics) histogram(family family, labels ...label) *histogram {
	key := keyOf(family, labels)
	metrics.mutex.RLock()
	found := metrics.histograms[key]
	metrics.mutex.RUnlock()
	if found != nil {
		return found
	}
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	if found := metrics.histograms[key]; found != nil {
		return found
	}
	added := &histogram{}
	for i := 0; i <= len(bounds); i++ {
		bucket := append(append([]label{}, labels...), label{"le", boundName(i)})
		added.buckets = append(added.buckets, metrics.addCounter(family, seriesName(family.name+"_bucket", bucket...)))
	}
	added.sum = metrics.addCounter(family, seriesName(family.name+"_sum", labels...))
	added.count = metrics.addCounter(family, seriesName(family.name+"_count", labels...))
	metrics.histograms[key] = added
	return added
}

// boundName returns the value of the label le of a bucket.
func boundName(index int) string {
	if index == len(bounds) {
		return "+Inf"
	}
	return fmt.Sprint(bounds[index])
}

// record counts one duration.
func (histogram *histogram) record(millis int64) {
	for i, bucket := range histogram.buckets {
		if i == len(bounds) || millis <= bounds[i] {
			bucket.Inc(1)
		}
	}
	histogram.sum.Inc(millis)
	histogram.count.Inc(1)
}
