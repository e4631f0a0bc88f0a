package modelengine

import (
	"context"
	"sync"
)

// run is one generation of an answer. It continues when its client disconnects.
type run struct {
	entry    *LedgerEntry
	priority int
	tokens   int // length of the whole answer
	padding  string

	mutex    sync.Mutex // guards the fields below
	format   answerFormat
	produced int // tokens so far
	ended    bool
	complete bool          // ended with its last token
	changed  chan struct{} // closed and replaced at each change
}

func newRun(entry *LedgerEntry, request runRequest) *run {
	return &run{entry: entry, priority: request.priority, tokens: request.tokens, changed: make(chan struct{})}
}

// newCancelledRun returns a run that represents one that was cancelled before its
// request arrived.
func newCancelledRun(id string) *run {
	cancelled := newRun(&LedgerEntry{RunID: id}, runRequest{})
	cancelled.abort(Cancelled)
	return cancelled
}

// setFormat stores the format of the answer, which a resume uses again.
func (run *run) setFormat(format answerFormat) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.format = format
}

func (run *run) currentFormat() answerFormat {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	return run.format
}

// produce generates one token. The caller holds the engine's mutex.
func (run *run) produce() {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if run.ended {
		return
	}
	run.produced++
	if run.produced >= run.tokens {
		run.ended, run.complete = true, true
		run.entry.Ended = Complete
	}
	run.notifyWaiters()
}

// abort ends a run that has not ended yet. The caller holds the engine's mutex.
func (run *run) abort(ending Ending) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if run.ended {
		return
	}
	run.ended = true
	run.entry.Ended = ending
	run.notifyWaiters()
}

// notifyWaiters wakes the calls of wait. The caller holds the run's mutex.
func (run *run) notifyWaiters() {
	close(run.changed)
	run.changed = make(chan struct{})
}

// progress is the state of a run at one moment.
type progress struct {
	produced int // tokens so far
	ended    bool
	complete bool // ended with its last token
}

// wait returns the progress once more than after tokens have been produced, or the
// run has ended.
func (run *run) wait(ctx context.Context, after int) (progress, error) {
	for {
		run.mutex.Lock()
		current := progress{produced: run.produced, ended: run.ended, complete: run.complete}
		changed := run.changed
		run.mutex.Unlock()
		if current.produced > after || current.ended {
			return current, nil
		}
		select {
		case <-ctx.Done():
			return progress{}, ctx.Err()
		case <-changed:
		}
	}
}
