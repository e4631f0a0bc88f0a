package metrics

import (
	"maps"
	"runtime"
	"slices"
	"syscall"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/owner"
)

// Gauge is one sample of a series that is read when the metrics are requested. Its
// family may also be a counter whose total is kept elsewhere.
type Gauge struct {
	family family
	labels []label
	value  float64
}

// gauge returns a family of gauges.
func gauge(name, help string) family {
	return family{name, help, gaugeKind}
}

// Families whose values are read when the metrics are requested.
var (
	ready         = gauge("teaselmoor_ready", "1 while the daemon is ready for callers.")
	draining      = gauge("teaselmoor_draining", "1 while the daemon is shutting down.")
	inProgress    = gauge("teaselmoor_requests_in_progress", "Requests at this entry that have not ended.")
	keys          = gauge("teaselmoor_idempotency_keys", "Idempotency keys remembered at this home.")
	configVersion = gauge("teaselmoor_config_version", "Version of the configuration in force.")
	configAge     = gauge("teaselmoor_config_age_milliseconds", "Span since the configuration in force was accepted.")
	contactAge    = gauge("teaselmoor_config_contact_age_milliseconds", "Span since the configuration service last answered this daemon or a peer.")
	listVersion   = gauge("teaselmoor_vm_list_version", "Version of the VM list last read.")
	listAge       = gauge("teaselmoor_vm_list_age_milliseconds", "Span since the VM list was read.")
	peers         = gauge("teaselmoor_peers", "Daemons with a live control connection.")
	ownedEngines  = gauge("teaselmoor_engines_owned", "Engines that this daemon gives orders to.")
	queued        = gauge("teaselmoor_engine_queued", "Requests that wait for an owned engine.")
	running       = gauge("teaselmoor_engine_running", "Runs at an owned engine.")
	loadsWaiting  = gauge("teaselmoor_engine_loads_waiting", "Loads of an owned engine that have not begun.")
	resident      = gauge("teaselmoor_engine_resident", "Adapters in the slots of an owned engine.")
	reportAge     = gauge("teaselmoor_engine_report_age_milliseconds", "Age of an owned engine's own report.")
	quarantined   = gauge("teaselmoor_engine_quarantined", "1 while an owned engine is quarantined.")
	steps         = family{"teaselmoor_engine_steps_total", "Steps of an owned engine since its start.", counterKind}
	stepRuns      = family{"teaselmoor_engine_step_runs_total", "Runs that shared those steps, summed.", counterKind}
	stepCapacity  = gauge("teaselmoor_engine_step_capacity", "Runs that one step of an owned engine can hold.")
	stateAge      = gauge("teaselmoor_engine_state_age_milliseconds", "Age of the oldest knowledge of an engine in use.")
	linesDropped  = family{"teaselmoor_audit_lines_dropped_total", "Lines of the audit trail that were not written.", counterKind}
	goroutines    = gauge("teaselmoor_goroutines", "Goroutines of the process.")
	heapBytes     = gauge("teaselmoor_heap_bytes", "Bytes of the heap in use.")
	processorTime = family{"teaselmoor_processor_milliseconds_total", "Processor time that the process has used.", counterKind}
	gaugeFamilies = []family{
		ready, draining, inProgress, keys, configVersion, configAge, contactAge, listVersion, listAge, peers, ownedEngines, queued, running, loadsWaiting, resident, reportAge, quarantined, steps, stepRuns, stepCapacity, stateAge, linesDropped, goroutines, heapBytes, processorTime,
	}
)

// RuntimeStatus is the part of a daemon's state that its runtime knows and the node's
// status does not contain.
type RuntimeStatus struct {
	Ready            bool
	Peers            int
	ConfigAge        clock.Millis
	ConfigContactAge clock.Millis
	// LinesDropped is the number of audit lines that were not written.
	LinesDropped uint64
}

// StatusGauges returns the gauges of a daemon's state and of the engines that it
// owns.
func StatusGauges(status node.Status, runtimeStatus RuntimeStatus) []Gauge {
	one := func(family family, value float64) Gauge { return Gauge{family: family, value: value} }
	gauges := []Gauge{
		one(ready, boolValue(runtimeStatus.Ready)),
		one(draining, boolValue(status.Draining)),
		one(inProgress, float64(status.Requests)),
		one(keys, float64(status.Keys)),
		one(configVersion, float64(status.ConfigVersion)),
		one(configAge, float64(runtimeStatus.ConfigAge)),
		one(contactAge, float64(runtimeStatus.ConfigContactAge)),
		one(listVersion, float64(status.VMListVersion)),
		one(listAge, float64(status.VMListAge)),
		one(peers, float64(runtimeStatus.Peers)),
		one(ownedEngines, float64(len(status.Owned))),
		one(stateAge, oldestStateAge(status)),
		one(linesDropped, float64(runtimeStatus.LinesDropped)),
	}
	return append(gauges, engineGauges(status.Owned)...)
}

// oldestStateAge returns the age of the oldest state that the daemon knows of an
// engine.
func oldestStateAge(status node.Status) float64 {
	age := 0.0
	for _, known := range status.Known {
		age = max(age, float64(known.Age))
	}
	return age
}

// engineGauges returns the gauges of owned engines. The samples of a family are
// next to each other, as the exposition format requires.
func engineGauges(owned []message.EngineState) []Gauge {
	columns := []struct {
		family family
		value  func(message.EngineState) float64
	}{
		{queued, func(state message.EngineState) float64 { return float64(state.Queued) }},
		{running, func(state message.EngineState) float64 { return float64(state.Running) }},
		{loadsWaiting, func(state message.EngineState) float64 { return float64(state.LoadsWaiting) }},
		{resident, func(state message.EngineState) float64 { return float64(len(state.Resident)) }},
		{reportAge, func(state message.EngineState) float64 { return float64(state.ReportAge) }},
		{quarantined, func(state message.EngineState) float64 { return boolValue(state.Quarantined) }},
	}
	var gauges []Gauge
	for _, column := range columns {
		for _, state := range owned {
			gauges = append(gauges, Gauge{
				family: column.family, value: column.value(state), labels: []label{{"engine", string(state.Engine)}},
			})
		}
	}
	return gauges
}

// StepGauges returns how many steps the owned engines have run and how many runs
// shared them, as the engines last reported.
func (observer *Observer) StepGauges() []Gauge {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	columns := []struct {
		family family
		value  func(owner.Steps) float64
	}{
		{steps, func(steps owner.Steps) float64 { return float64(steps.Count) }},
		{stepRuns, func(steps owner.Steps) float64 { return float64(steps.Runs) }},
		{stepCapacity, func(steps owner.Steps) float64 { return float64(steps.Capacity) }},
	}
	var gauges []Gauge
	for _, column := range columns {
		for _, engine := range slices.Sorted(maps.Keys(observer.steps)) {
			gauges = append(gauges, Gauge{
				family: column.family, value: column.value(observer.steps[engine]), labels: []label{{"engine", string(engine)}},
			})
		}
	}
	return gauges
}

// ProcessGauges returns the gauges of the process: goroutines, heap and processor
// time.
func ProcessGauges() []Gauge {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return []Gauge{
		{family: goroutines, value: float64(runtime.NumGoroutine())},
		{family: heapBytes, value: float64(memory.HeapInuse)},
		{family: processorTime, value: processorMillis()},
	}
}

// processorMillis returns the processor time of the process, or 0 if it cannot be
// read.
func processorMillis() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64((usage.Utime.Nano() + usage.Stime.Nano()) / 1_000_000)
}

func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
