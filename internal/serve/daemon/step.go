package daemon

import (
	"context"
	"os"
	"runtime/debug"
	"sync"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
)

// exitBroken is the exit code after a broken invariant; the command line has the
// lower ones.
const exitBroken = 6

// step is one event that the node has taken in, and what it asked for.
type step struct {
	now     clock.Millis
	event   node.Event
	effects []effect.Effect
}

// outbox holds steps whose effects are not carried out yet. They are carried
// out in the order of the steps, whichever worker comes first: a Cancel must not
// overtake the Submit that it is for. Safe for concurrent use.
type outbox struct {
	mutex   sync.Mutex // guards waiting
	waiting []step

	turn sync.Mutex // held while effects are carried out; taken before mutex
}

func (outbox *outbox) add(next step) {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	outbox.waiting = append(outbox.waiting, next)
}

func (outbox *outbox) take() []step {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	taken := outbox.waiting
	outbox.waiting = nil
	return taken
}

// flush carries out everything that was added before it was called, and returns
// when that is done, by this goroutine or another.
func (outbox *outbox) flush(carry func(step)) {
	outbox.turn.Lock()
	defer outbox.turn.Unlock()
	for _, next := range outbox.take() {
		carry(next)
	}
}

// work steps the node with queued events until the queue closes.
func (daemon *Daemon) work(context.Context) error {
	for daemon.jobs.wait() {
		daemon.workOnce()
	}
	return nil
}

// workOnce steps the node with the next job, if there is one.
func (daemon *Daemon) workOnce() {
	daemon.exclusive(func() {
		for _, event := range daemon.jobs.take() {
			daemon.stepLocked(event)
		}
	})
	daemon.flush()
}

// step feeds one event to the node and returns once its effects are carried out.
func (daemon *Daemon) step(event node.Event) {
	daemon.exclusive(func() { daemon.stepLocked(event) })
	daemon.flush()
}

// exclusive runs do with the node's lock held.
func (daemon *Daemon) exclusive(do func()) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	defer daemon.stopOnPanic()
	do()
}

// stopOnPanic ends the process when an invariant was broken. Callers may run in
// a handler of an HTTP server, which would recover the panic and go on.
func (daemon *Daemon) stopOnPanic() {
	if broken := recover(); broken != nil {
		daemon.options.Log.Error("invariant broken, the process ends", "Cause", broken, "Stack", string(debug.Stack()))
		os.Exit(exitBroken)
	}
}

// stepLocked steps the node, whose lock is held.
func (daemon *Daemon) stepLocked(event node.Event) {
	now := daemon.options.Now()
	daemon.outbox.add(step{now: now, event: event, effects: daemon.node.Step(now, event)})
	if snapshot := daemon.node.Config(); snapshot != daemon.snapshot.Load() {
		daemon.snapshot.Store(snapshot)
	}
}

// flush counts steps and carries out their effects.
func (daemon *Daemon) flush() {
	defer daemon.stopOnPanic()
	daemon.outbox.flush(func(next step) {
		daemon.options.Observer.Step(next.now, next.event, next.effects)
		for _, each := range next.effects {
			daemon.perform(each)
		}
	})
}
