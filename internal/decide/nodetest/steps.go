package nodetest

import (
	"strconv"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// StepOptions describe continuous batching: each step produces one token for each
// run of the batch.
type StepOptions struct {
	// Base is the minimum duration of a step; 0 disables batching, so that every run
	// takes the same time.
	Base clock.Millis
	// PerRun and PerAdapter are added to a step for each run and each distinct
	// adapter of the batch.
	PerRun     clock.Millis
	PerAdapter clock.Millis
}

// stepDuration returns how long a step of the batch takes.
func (options StepOptions) stepDuration(runs, adapters int) clock.Millis {
	return options.Base + options.PerRun*clock.Millis(runs) + options.PerAdapter*clock.Millis(adapters)
}

// tokensOf returns the length of the answer, which a request's body holds as a
// decimal number.
func tokensOf(body []byte) int {
	tokens, err := strconv.Atoi(string(body))
	if err != nil || tokens < 1 {
		return 1
	}
	return tokens
}

// addToBatch adds a run to the batch and starts stepping if the engine was idle.
func (engine *Engine) addToBatch(run *run) {
	engine.batch = append(engine.batch, run)
	if !engine.stepping {
		engine.stepping = true
		engine.step()
	}
}

// step makes one step, and the next one while the batch is not empty.
func (engine *Engine) step() {
	engine.dropEnded()
	if len(engine.batch) == 0 {
		engine.stepping = false
		return
	}
	adapters := map[ident.Adapter]bool{}
	for _, run := range engine.batch {
		adapters[run.adapter] = true
	}
	engine.network.options.Observer.batchStepped(engine.config.Name, len(engine.batch), engine.config.MaxRuns)
	batch := append([]*run(nil), engine.batch...)
	boots := engine.boots
	engine.network.after(engine.options.Step.stepDuration(len(batch), len(adapters)), func() {
		if engine.boots != boots {
			return
		}
		for _, run := range batch {
			engine.generateToken(run)
		}
		engine.step()
	})
}

func (engine *Engine) dropEnded() {
	kept := engine.batch[:0]
	for _, run := range engine.batch {
		if !run.ended {
			kept = append(kept, run)
		}
	}
	clear(engine.batch[len(kept):])
	engine.batch = kept
}

// generateToken produces one token for a run; the last one ends the run.
func (engine *Engine) generateToken(run *run) {
	if run.ended {
		return
	}
	run.tokensLeft--
	if run.tokensLeft <= 0 {
		run.ended = true
		engine.notifyWaiters(run)
	}
}

// notifyWaiters calls the waiters of a run that has ended.
func (engine *Engine) notifyWaiters(run *run) {
	waiters := run.waiters
	run.waiters = nil
	for _, waiter := range waiters {
		waiter()
	}
}
