package modelengine

import (
	"context"
	"sync"
)

// run is one run of the engine. It goes on when its client is gone.
type run struct {
	entry    *LedgerEntry
	priority int
	tokens   int
	padding  string

	mutex   sync.Mutex // guards all below
	form    answerForm
	made    int
	ended   bool
	whole   bool
	changed chan struct{} // closed at each change
}

func newRun(entry *LedgerEntry, asked askedRun) *run {
	return &run{entry: entry, priority: asked.priority, tokens: asked.tokens, changed: make(chan struct{})}
}

// cancelledRun stands for a run that was cancelled before it arrived.
func cancelledRun(id string) *run {
	cancelled := newRun(&LedgerEntry{RunID: id}, askedRun{})
	cancelled.abort(Cancelled)
	return cancelled
}

// setForm keeps the shape of the answer, for a resume.
func (run *run) setForm(form answerForm) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.form = form
}

func (run *run) currentForm() answerForm {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	return run.form
}

// produce makes one token. The engine's lock is held.
func (run *run) produce() {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if run.ended {
		return
	}
	run.made++
	if run.made >= run.tokens {
		run.ended, run.whole = true, true
		run.entry.Ended = Complete
	}
	run.wake()
}

// abort ends the run before its last token. The engine's lock is held.
func (run *run) abort(ending Ending) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if run.ended {
		return
	}
	run.ended = true
	run.entry.Ended = ending
	run.wake()
}

func (run *run) wake() {
	close(run.changed)
	run.changed = make(chan struct{})
}

// progress is what a run has made so far.
type progress struct {
	made  int
	ended bool
	whole bool
}

// wait returns once more than the given number of tokens are made, or the run
// has ended.
func (run *run) wait(ctx context.Context, after int) (progress, error) {
	for {
		run.mutex.Lock()
		now := progress{made: run.made, ended: run.ended, whole: run.whole}
		changed := run.changed
		run.mutex.Unlock()
		if now.made > after || now.ended {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return progress{}, ctx.Err()
		case <-changed:
		}
	}
}
