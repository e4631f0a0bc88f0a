package nodetest

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/owner"
)

// EngineOptions describe the fake engines and the weight store that they load from.
type EngineOptions struct {
	// RunDuration is how long a run takes.
	RunDuration clock.Millis
	// LoadDuration is how long the store takes for a load.
	LoadDuration clock.Millis
	// ReportLag is the age of a state report.
	ReportLag clock.Millis
	// FailLoadShare is the share of loads that fail, from 0 to 1.
	FailLoadShare float64
	// Step describes continuous batching.
	Step StepOptions
}

// Engine is a fake model engine. Tests check its runs and violations.
type Engine struct {
	// RunsStarted counts the runs started, by request id.
	RunsStarted map[string]int
	// Violations lists orders that broke a guarantee, such as an unload of an
	// adapter in use.
	Violations []string

	network *Network
	config  config.Engine
	options EngineOptions
	boots   int
	fence   ident.Fence
	loaded  map[ident.Adapter]bool
	runs    map[ident.StreamID]*run
	reports []timedReport

	batch    []*run
	stepping bool
}

type run struct {
	adapter   ident.Adapter
	request   string
	ended     bool
	cancelled bool
	// tokensLeft is the number of remaining steps; used with batching.
	tokensLeft int
	// waiters are called when the run ends; used with batching.
	waiters []func()
}

type timedReport struct {
	at     clock.Millis
	report owner.Report
}

// store serves one load at a time.
type store struct {
	freeAt clock.Millis
	loads  int
}

func newEngine(network *Network, engine config.Engine, options EngineOptions) *Engine {
	fake := &Engine{RunsStarted: map[string]int{}, network: network, config: engine, options: options}
	fake.Restart()
	return fake
}

// SetRunDuration changes how long a run takes.
func (engine *Engine) SetRunDuration(duration clock.Millis) {
	engine.options.RunDuration = duration
}

// Restart empties the slots and discards the runs, as a cold start does.
func (engine *Engine) Restart() {
	lostRuns := engine.runs
	engine.boots++
	engine.loaded = map[ident.Adapter]bool{}
	engine.runs = map[ident.StreamID]*run{}
	engine.reports = nil
	engine.batch = nil
	engine.stepping = false
	for _, stream := range slices.SortedFunc(maps.Keys(lostRuns), ident.StreamID.Compare) {
		engine.notifyWaiters(lostRuns[stream])
	}
}

func (engine *Engine) boot() ident.BootID {
	return ident.BootID(fmt.Sprintf("%s-%d", engine.config.Name, engine.boots))
}

// rejectsFence records an order's fencing number and reports whether the engine
// rejects it.
func (engine *Engine) rejectsFence(fence ident.Fence) bool {
	if fence < engine.fence && engine.config.ChecksFencing {
		return true
	}
	if fence < engine.fence {
		engine.Violations = append(engine.Violations, fmt.Sprintf(
			"%s: an order with number %d came after one with %d", engine.config.Name, fence, engine.fence))
	}
	engine.fence = max(engine.fence, fence)
	return false
}

// afterDelay calls a function after the transit time of an order.
func (engine *Engine) afterDelay(do func()) {
	engine.network.after(engine.network.options.Delay, do)
}

func (engine *Engine) reply(host *Host, event node.Event) {
	generation := host.generation
	engine.network.after(engine.network.options.Delay, func() {
		if host.generation == generation {
			engine.network.HandleEvent(host, event)
		}
	})
}

func (engine *Engine) replyRun(host *Host, stream ident.StreamID, result owner.Result) {
	engine.reply(host, node.RunEnded{
		Engine: engine.config.Name, Result: owner.RunResult{Stream: stream, Result: result},
	})
}

func (engine *Engine) start(host *Host, start effect.StartRun) {
	engine.afterDelay(func() {
		run, known := engine.runs[start.Stream]
		switch {
		case start.Resume && engine.config.ChecksFencing && start.Fence < engine.fence, !start.Resume && engine.rejectsFence(start.Fence):
			engine.replyRun(host, start.Stream, owner.ResultFenced)
		case known && run.cancelled:
			engine.replyRun(host, start.Stream, owner.ResultCancelled)
		case known && run.ended:
			engine.replyRun(host, start.Stream, owner.ResultComplete)
		case known:
			engine.reportEnd(host, start.Stream, run)
		case start.Resume:
			engine.replyRun(host, start.Stream, owner.ResultUnknownRun)
		case !engine.loaded[start.Request.Adapter]:
			engine.replyRun(host, start.Stream, owner.ResultRefused)
		default:
			engine.begin(host, start)
		}
	})
}

func (engine *Engine) begin(host *Host, start effect.StartRun) {
	run := &run{adapter: start.Request.Adapter, request: start.Request.ID}
	engine.runs[start.Stream] = run
	engine.RunsStarted[start.Request.ID]++
	engine.network.options.Observer.runStarted(engine.network.Now, start.Request.ID, engine.config.Name)
	if engine.options.Step.Base > 0 {
		run.tokensLeft = tokensOf(start.Request.Body)
		engine.reportEnd(host, start.Stream, run)
		engine.addToBatch(run)
		return
	}
	boots := engine.boots
	engine.network.after(engine.options.RunDuration, func() {
		if engine.boots == boots {
			run.ended = true
		}
	})
	engine.reportEnd(host, start.Stream, run)
}

// reportEnd reports the end of a run to a host, or its loss in a restart.
func (engine *Engine) reportEnd(host *Host, stream ident.StreamID, run *run) {
	boots := engine.boots
	onEnd := func() {
		switch {
		case engine.boots != boots:
			engine.replyRun(host, stream, owner.ResultLost)
		case run.cancelled:
			engine.replyRun(host, stream, owner.ResultCancelled)
		default:
			engine.replyRun(host, stream, owner.ResultComplete)
		}
	}
	if engine.options.Step.Base > 0 {
		run.waiters = append(run.waiters, onEnd)
		return
	}
	engine.network.after(engine.options.RunDuration, onEnd)
}

func (engine *Engine) cancel(host *Host, cancel effect.CancelRun) {
	engine.afterDelay(func() {
		if engine.config.ChecksFencing && engine.rejectsFence(cancel.Fence) {
			return // rejected orders are not confirmed
		}
		target, known := engine.runs[cancel.Stream]
		if !known {
			target = &run{}
			engine.runs[cancel.Stream] = target
		}
		target.cancelled = target.cancelled || !target.ended
		target.ended = true
		engine.notifyWaiters(target)
		engine.replyRun(host, cancel.Stream, owner.ResultCancelled)
	})
}

func (engine *Engine) load(host *Host, load effect.Load) {
	engine.afterDelay(func() {
		if engine.rejectsFence(load.Fence) {
			engine.reply(host, node.LoadEnded{Engine: engine.config.Name, Adapter: load.Adapter, Failed: true, Fenced: true})
			return
		}
		store := &engine.network.store
		store.freeAt = max(store.freeAt, engine.network.Now) + engine.options.LoadDuration
		store.loads++
		boots := engine.boots
		engine.network.after(store.freeAt-engine.network.Now, func() {
			failed := engine.boots != boots ||
				engine.network.random.Float64() < engine.options.FailLoadShare ||
				!engine.loaded[load.Adapter] && len(engine.loaded) >= engine.config.Slots
			if !failed {
				engine.loaded[load.Adapter] = true
			}
			engine.network.options.Observer.loadEnded(engine.network.Now, engine.config.Name, load.Adapter, failed)
			engine.reply(host, node.LoadEnded{Engine: engine.config.Name, Adapter: load.Adapter, Failed: failed})
		})
	})
}

func (engine *Engine) unload(host *Host, unload effect.Unload) {
	engine.afterDelay(func() {
		failed := engine.rejectsFence(unload.Fence)
		if !failed {
			engine.checkUnload(host, unload)
			delete(engine.loaded, unload.Adapter)
			engine.network.options.Observer.adapterUnloaded(engine.network.Now, engine.config.Name, unload.Adapter)
		}
		engine.reply(host, node.UnloadEnded{Engine: engine.config.Name, Adapter: unload.Adapter, Failed: failed, Fenced: failed})
	})
}

func (engine *Engine) checkUnload(host *Host, unload effect.Unload) {
	for stream, run := range engine.runs {
		if !run.ended && run.adapter == unload.Adapter {
			engine.Violations = append(engine.Violations, fmt.Sprintf(
				"%s unloaded %s from %s while run %s used it", host.Name, unload.Adapter, engine.config.Name, stream))
		}
	}
}

func (engine *Engine) read(host *Host, read effect.ReadEngine) {
	engine.afterDelay(func() {
		now := engine.network.Now
		engine.reports = append(engine.reports, timedReport{at: now, report: engine.report()})
		first := 0
		for i, report := range engine.reports {
			if now-report.at >= engine.options.ReportLag {
				first = i
			}
		}
		engine.reports = engine.reports[first:]
		report := engine.reports[0].report
		report.Age = now - engine.reports[0].at
		engine.reply(host, node.EngineReported{Engine: engine.config.Name, Report: report, AskedAt: read.At})
	})
}

func (engine *Engine) report() owner.Report {
	report := owner.Report{Boot: engine.boot()}
	report.Resident = slices.SortedFunc(maps.Keys(engine.loaded), func(a, b ident.Adapter) int {
		return strings.Compare(a.String(), b.String())
	})
	for _, stream := range slices.SortedFunc(maps.Keys(engine.runs), ident.StreamID.Compare) {
		if run := engine.runs[stream]; !run.ended {
			report.Runs = append(report.Runs, owner.ReportedRun{Run: stream.String(), Adapter: run.adapter})
		}
	}
	return report
}
