package nodetest

import (
	"strconv"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// StepOptions describe continuous batching: one step gives a token to each run
// of the batch.
type StepOptions struct {
	// Base is the span of a step; 0 leaves batching out, so that every run
	// takes RunSpan.
	Base clock.Millis
	// PerRun and PerAdapter lengthen a step for each run and each distinct
	// adapter of the batch.
	PerRun     clock.Millis
	PerAdapter clock.Millis
}

// stepDuration returns how long a step of the batch takes.
func (options StepOptions) stepDuration(runs, adapters int) clock.Millis {
	return options.Base + options.PerRun*clock.Millis(runs) + options.PerAdapter*clock.Millis(adapters)
}

// tokensOf reads the length of the answer from a request's body, which holds
// it as a decimal number.
func tokensOf(body []byte) int {
	tokens, err := strconv.Atoi(string(body))
	if err != nil || tokens < 1 {
		return 1
	}
	return tokens
}

// addToBatch adds a run to the batch and starts stepping if the engine was idle.
func (engine *Engine) addToBatch(joined *run) {
	engine.batch = append(engine.batch, joined)
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
	for _, running := range engine.batch {
		adapters[running.adapter] = true
	}
	engine.network.options.Observer.stepped(engine.config.Name, len(engine.batch), engine.config.MaxRuns)
	stepped := append([]*run(nil), engine.batch...)
	boots := engine.boots
	engine.network.after(engine.options.Step.stepDuration(len(stepped), len(adapters)), func() {
		if engine.boots != boots {
			return
		}
		for _, running := range stepped {
			engine.generateToken(running)
		}
		engine.step()
	})
}

func (engine *Engine) dropEnded() {
	kept := engine.batch[:0]
	for _, running := range engine.batch {
		if !running.ended {
			kept = append(kept, running)
		}
	}
	clear(engine.batch[len(kept):])
	engine.batch = kept
}

// generateToken gives a run one token; the last one ends it.
func (engine *Engine) generateToken(running *run) {
	if running.ended {
		return
	}
	running.tokensLeft--
	if running.tokensLeft <= 0 {
		running.ended = true
		engine.notifyWaiters(running)
	}
}

// notifyWaiters tells those who await a run that it has ended.
func (engine *Engine) notifyWaiters(ended *run) {
	waiters := ended.waiters
	ended.waiters = nil
	for _, waiter := range waiters {
		waiter()
	}
}
