package experiment

import (
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/replay/workload"
)

const (
	// longestWait is the longest wait that histograms can hold, in milliseconds.
	longestWait = int64(10 * clock.Minute)
	// significantDigits is the precision of histograms.
	significantDigits = 3
)

// ClassResult holds the measurements of one urgency class.
type ClassResult struct {
	Requests int
	// Stall is the wait for an adapter to load, in milliseconds. A request that no
	// engine started counts with its whole deadline.
	Stall *hdrhistogram.Histogram
	// Latency is the wait until an engine started the request, in milliseconds, with
	// the same rule.
	Latency *hdrhistogram.Histogram
	// InTime counts requests that were started by their deadline and answered. Refused
	// counts those that ended as DeadlineUnreachable or QueueFull. Missed counts all
	// others with an outcome.
	InTime, Missed, Refused int
}

// Result holds the measurements of one replay.
type Result struct {
	Setup   Setup
	Classes [config.ClassCount]ClassResult
	// Refusals counts the outcomes other than answers, by reason.
	Refusals map[outcome.Reason]int
	// WithoutOutcome counts requests without an outcome: those whose entry was killed.
	WithoutOutcome int
	// Loads counts all loads that ended between the end of the warm-up and the end of
	// the trace, FailedLoads those that failed, and DuplicateLoads those of an adapter
	// that another engine already held. Evictions covers the same time.
	Loads, FailedLoads, DuplicateLoads int
	Evictions                          int
	// Steps counts engine steps from the start of the trace on, those of the warm-up and
	// of the time after the trace included. BatchShareSum sums the share of the batch
	// that each step used.
	Steps         int
	BatchShareSum float64
	// StoreShare is the share of time in which the weight store was busy.
	StoreShare float64
	// Violations lists orders that violated an engine's rules, such as the unload of
	// an adapter in use.
	Violations []string
}

// BatchEfficiency returns the mean share of the batch capacity that a step used.
func (result Result) BatchEfficiency() float64 {
	if result.Steps == 0 {
		return 0
	}
	return result.BatchShareSum / float64(result.Steps)
}

// Goodput returns the number of answered requests per second that were started by
// their deadline.
func (result Result) Goodput() float64 {
	inTime := 0
	for class := range result.Classes {
		inTime += result.Classes[class].InTime
	}
	return float64(inTime) / (result.Setup.Duration - result.Setup.WarmUp).Seconds()
}

type residency struct {
	engine  ident.EngineID
	adapter ident.Adapter
}

// meter records what happens in a replay, as observer of the network or called by the
// offline bound, and computes the result.
type meter struct {
	setup     Setup
	trace     []workload.Request
	start     clock.Millis
	loadedAt  map[residency]clock.Millis
	replicas  map[ident.Adapter]int
	startedAt []clock.Millis
	stalls    []clock.Millis
	answers   []*effect.Answer
	totals    Result
}

func newMeter(setup Setup, trace []workload.Request) *meter {
	return &meter{
		setup: setup, trace: trace, loadedAt: map[residency]clock.Millis{}, replicas: map[ident.Adapter]int{},
		startedAt: make([]clock.Millis, len(trace)), stalls: make([]clock.Millis, len(trace)),
		answers: make([]*effect.Answer, len(trace)),
		totals:  Result{Setup: setup, Refusals: map[outcome.Reason]int{}},
	}
}

func (meter *meter) observer() nodetest.Observer {
	return nodetest.Observer{
		RunStarted: meter.runStarted, RequestAnswered: meter.requestAnswered, BatchStepped: meter.batchStepped,
		LoadEnded: meter.loadEnded, AdapterUnloaded: meter.adapterUnloaded,
	}
}

// isMeasured reports whether a time lies between the end of the warm-up and the end
// of the trace.
func (meter *meter) isMeasured(at clock.Millis) bool {
	return meter.start > 0 && at >= meter.start+meter.setup.WarmUp && at < meter.start+meter.setup.Duration
}

func (meter *meter) runStarted(at clock.Millis, request string, engine ident.EngineID) {
	index, _ := strconv.Atoi(request)
	if meter.startedAt[index] != 0 {
		return
	}
	meter.startedAt[index] = at
	arrivedAt := meter.start + meter.trace[index].At
	loadedAt := meter.loadedAt[residency{engine: engine, adapter: adapterOf(meter.trace[index].Adapter)}]
	meter.stalls[index] = max(0, loadedAt-arrivedAt)
}

func (meter *meter) requestAnswered(_ clock.Millis, request string, answer effect.Answer) {
	index, _ := strconv.Atoi(request)
	meter.answers[index] = &answer
}

func (meter *meter) batchStepped(_ ident.EngineID, batch, capacity int) {
	if meter.start == 0 {
		return
	}
	meter.totals.Steps++
	meter.totals.BatchShareSum += float64(batch) / float64(capacity)
}

func (meter *meter) loadEnded(at clock.Millis, engine ident.EngineID, adapter ident.Adapter, failed bool) {
	if !failed {
		meter.loadedAt[residency{engine: engine, adapter: adapter}] = at
		meter.replicas[adapter]++
	}
	if !meter.isMeasured(at) {
		return
	}
	meter.totals.Loads++
	if failed {
		meter.totals.FailedLoads++
	} else if meter.replicas[adapter] > 1 {
		meter.totals.DuplicateLoads++
	}
}

func (meter *meter) adapterUnloaded(at clock.Millis, engine ident.EngineID, adapter ident.Adapter) {
	key := residency{engine: engine, adapter: adapter}
	if _, held := meter.loadedAt[key]; held {
		delete(meter.loadedAt, key)
		meter.replicas[adapter]--
	}
	if meter.isMeasured(at) {
		meter.totals.Evictions++
	}
}

// engineRestarted removes the adapters that an engine held before its restart.
func (meter *meter) engineRestarted(engine ident.EngineID) {
	for key := range meter.loadedAt {
		if key.engine == engine {
			delete(meter.loadedAt, key)
			meter.replicas[key.adapter]--
		}
	}
}

func (meter *meter) result() Result {
	for class := range meter.totals.Classes {
		meter.totals.Classes[class].Stall = hdrhistogram.New(1, longestWait, significantDigits)
		meter.totals.Classes[class].Latency = hdrhistogram.New(1, longestWait, significantDigits)
	}
	for index := range meter.trace {
		if meter.trace[index].At >= meter.setup.WarmUp {
			meter.addRequest(index)
		}
	}
	seconds := (meter.setup.Duration - meter.setup.WarmUp).Seconds()
	meter.totals.StoreShare = float64(meter.totals.Loads) / storeLoadsPerSecond / seconds
	return meter.totals
}

// storeLoadsPerSecond is the rate at which the weight store serves loads.
const storeLoadsPerSecond = 2

// addRequest adds one request to the result.
func (meter *meter) addRequest(index int) {
	request, answer := meter.trace[index], meter.answers[index]
	class := &meter.totals.Classes[request.Class]
	deadline := meter.setup.Site.Profile.Deadlines[request.Class]
	class.Requests++
	if answer == nil {
		meter.totals.WithoutOutcome++
		return
	}
	stall, latency := deadline, deadline
	if meter.startedAt[index] != 0 {
		stall = meter.stalls[index]
		latency = meter.startedAt[index] - meter.start - request.At
	}
	_ = class.Stall.RecordValue(int64(stall))
	_ = class.Latency.RecordValue(int64(latency))
	answered := answer.Outcome.Kind == outcome.Answered
	if !answered {
		meter.totals.Refusals[answer.Outcome.Reason]++
	}
	switch {
	case answered && latency <= deadline:
		class.InTime++
	case answer.Outcome.Reason == outcome.DeadlineUnreachable || answer.Outcome.Reason == outcome.QueueFull:
		class.Refused++
	default:
		class.Missed++
	}
}

// AllStalls returns the stalls of all classes in one histogram.
func (result Result) AllStalls() *hdrhistogram.Histogram {
	merged := hdrhistogram.New(1, longestWait, significantDigits)
	for class := range result.Classes {
		merged.Merge(result.Classes[class].Stall)
	}
	return merged
}
