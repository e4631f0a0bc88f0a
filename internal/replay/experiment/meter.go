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
	// longest is the longest wait that histograms tell apart.
	longest = int64(10 * clock.Minute)
	// digits is the number of significant digits of histograms.
	digits = 3
)

// Class is what was measured for one urgency class.
type Class struct {
	Requests int
	// Stall is the wait for an adapter to load, in milliseconds. A request that
	// never began counts with its whole deadline.
	Stall *hdrhistogram.Histogram
	// Latency is the wait until an engine began the request, with the same rule.
	Latency *hdrhistogram.Histogram
	// InTime counts answers that began by their deadline; Missed counts the
	// requests accepted that did not; Refused counts refusals on arrival.
	InTime, Missed, Refused int
}

// Result is what one replay measured.
type Result struct {
	Setup   Setup
	Classes [config.ClassCount]Class
	// Refusals counts final outcomes other than answers, by reason.
	Refusals map[outcome.Reason]int
	// Silent counts requests without any outcome: those of a lost entry.
	Silent int
	// Loads counts loads, FailedLoads those that failed, and DuplicateLoads
	// those of an adapter that another engine held.
	Loads, FailedLoads, DuplicateLoads int
	Evictions                          int
	// Steps counts engine steps, and StepShare sums the share of each in use.
	Steps     int
	StepShare float64
	// StoreShare is the share of time in which the weight store was in use.
	StoreShare float64
	// Violations lists orders that broke a promise, such as an unload in use.
	Violations []string
}

// BatchEfficiency is the mean share of a step's capacity in use.
func (result Result) BatchEfficiency() float64 {
	if result.Steps == 0 {
		return 0
	}
	return result.StepShare / float64(result.Steps)
}

// Goodput is the number of answers per second that began by their deadline.
func (result Result) Goodput() float64 {
	inTime := 0
	for class := range result.Classes {
		inTime += result.Classes[class].InTime
	}
	return float64(inTime) / (result.Setup.Span - result.Setup.Warm).Seconds()
}

type residency struct {
	engine  ident.EngineID
	adapter ident.Adapter
}

// meter observes a replay.
type meter struct {
	setup    Setup
	trace    []workload.Request
	start    clock.Millis
	loadedAt map[residency]clock.Millis
	copies   map[ident.Adapter]int
	began    []clock.Millis
	stalls   []clock.Millis
	answers  []*effect.Answer
	measured Result
}

func newMeter(setup Setup, trace []workload.Request) *meter {
	return &meter{
		setup: setup, trace: trace, loadedAt: map[residency]clock.Millis{}, copies: map[ident.Adapter]int{},
		began: make([]clock.Millis, len(trace)), stalls: make([]clock.Millis, len(trace)),
		answers:  make([]*effect.Answer, len(trace)),
		measured: Result{Setup: setup, Refusals: map[outcome.Reason]int{}},
	}
}

func (meter *meter) observer() nodetest.Observer {
	return nodetest.Observer{
		RunStarted: meter.runBegan, RequestAnswered: meter.answered, BatchStepped: meter.stepped,
		LoadEnded: meter.loaded, AdapterUnloaded: meter.unloaded,
	}
}

// warm reports whether measuring has begun.
func (meter *meter) warm(at clock.Millis) bool {
	return meter.start > 0 && at >= meter.start+meter.setup.Warm && at < meter.start+meter.setup.Span
}

func (meter *meter) runBegan(at clock.Millis, request string, engine ident.EngineID) {
	index, _ := strconv.Atoi(request)
	if meter.began[index] != 0 {
		return
	}
	meter.began[index] = at
	arrived := meter.start + meter.trace[index].At
	loaded := meter.loadedAt[residency{engine: engine, adapter: adapterOf(meter.trace[index].Adapter)}]
	meter.stalls[index] = max(0, loaded-arrived)
}

func (meter *meter) answered(_ clock.Millis, request string, answer effect.Answer) {
	index, _ := strconv.Atoi(request)
	meter.answers[index] = &answer
}

func (meter *meter) stepped(_ ident.EngineID, batch, capacity int) {
	if meter.start == 0 {
		return
	}
	meter.measured.Steps++
	meter.measured.StepShare += float64(batch) / float64(capacity)
}

func (meter *meter) loaded(at clock.Millis, engine ident.EngineID, adapter ident.Adapter, failed bool) {
	if !failed {
		meter.loadedAt[residency{engine: engine, adapter: adapter}] = at
		meter.copies[adapter]++
	}
	if !meter.warm(at) {
		return
	}
	meter.measured.Loads++
	if failed {
		meter.measured.FailedLoads++
	} else if meter.copies[adapter] > 1 {
		meter.measured.DuplicateLoads++
	}
}

func (meter *meter) unloaded(at clock.Millis, engine ident.EngineID, adapter ident.Adapter) {
	key := residency{engine: engine, adapter: adapter}
	if _, held := meter.loadedAt[key]; held {
		delete(meter.loadedAt, key)
		meter.copies[adapter]--
	}
	if meter.warm(at) {
		meter.measured.Evictions++
	}
}

// restarted forgets what an engine held before its cold restart.
func (meter *meter) restarted(engine ident.EngineID) {
	for key := range meter.loadedAt {
		if key.engine == engine {
			delete(meter.loadedAt, key)
			meter.copies[key.adapter]--
		}
	}
}

func (meter *meter) result() Result {
	for class := range meter.measured.Classes {
		meter.measured.Classes[class].Stall = hdrhistogram.New(1, longest, digits)
		meter.measured.Classes[class].Latency = hdrhistogram.New(1, longest, digits)
	}
	for index := range meter.trace {
		if meter.trace[index].At >= meter.setup.Warm {
			meter.count(index)
		}
	}
	span := (meter.setup.Span - meter.setup.Warm).Seconds()
	meter.measured.StoreShare = float64(meter.measured.Loads) / storeRate / span
	return meter.measured
}

// storeRate is the number of loads per second that the weight store serves.
const storeRate = 2

// count adds one request to the result.
func (meter *meter) count(index int) {
	arrival, answer := meter.trace[index], meter.answers[index]
	class := &meter.measured.Classes[arrival.Class]
	deadline := meter.setup.Site.Profile.Deadlines[arrival.Class]
	class.Requests++
	if answer == nil {
		meter.measured.Silent++
		return
	}
	stall, latency := deadline, deadline
	if meter.began[index] != 0 {
		stall = meter.stalls[index]
		latency = meter.began[index] - meter.start - arrival.At
	}
	_ = class.Stall.RecordValue(int64(stall))
	_ = class.Latency.RecordValue(int64(latency))
	complete := answer.Outcome.Kind == outcome.Answered
	if !complete {
		meter.measured.Refusals[answer.Outcome.Reason]++
	}
	switch {
	case complete && latency <= deadline:
		class.InTime++
	case answer.Outcome.Reason == outcome.DeadlineUnreachable || answer.Outcome.Reason == outcome.QueueFull:
		class.Refused++
	default:
		class.Missed++
	}
}

// AllStalls merges the stalls of all classes.
func (result Result) AllStalls() *hdrhistogram.Histogram {
	merged := hdrhistogram.New(1, longest, digits)
	for class := range result.Classes {
		merged.Merge(result.Classes[class].Stall)
	}
	return merged
}
