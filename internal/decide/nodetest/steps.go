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

// span returns how long a step of the batch takes.
func (options StepOptions) span(runs, adapters int) clock.Millis {
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

// join adds a run to the batch and starts stepping if the engine was idle.
func (engine *Engine) join(joined *run) {
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
	engine.network.options.Observer.batchStepped(engine.config.Name, len(engine.batch), engine.config.MaxRuns)
	stepped := append([]*run(nil), engine.batch...)
	boots := engine.boots
	engine.network.after(engine.options.Step.span(len(stepped), len(adapters)), func() {
		if engine.boots != boots {
			return
		}
		for _, running := range stepped {
			engine.token(running)
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

// token gives a run one token; the last one ends it.
func (engine *Engine) token(running *run) {
	if running.ended {
		return
	}
	running.tokens--
	if running.tokens <= 0 {
		running.ended = true
		engine.wake(running)
	}
}

// wake tells those who await a run that it has ended.
func (engine *Engine) wake(ended *run) {
	waiters := ended.waiters
	ended.waiters = nil
	for _, waiter := range waiters {
		waiter()
	}
}
