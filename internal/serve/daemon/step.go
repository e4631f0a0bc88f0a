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

// exitInvariantBroken is the exit code after a broken invariant. The command line uses
// the lower codes.
const exitInvariantBroken = 6

// stepResult is an event that the node has processed, with the effects that it returned.
type stepResult struct {
	now     clock.Millis
	event   node.Event
	effects []effect.Effect
}

// effectQueue holds steps whose effects have not been carried out yet. Effects are
// carried out in the order of the steps, whichever worker does it, because a Cancel must
// not overtake the Submit that it refers to. It is safe for concurrent use.
type effectQueue struct {
	mutex   sync.Mutex // guards waiting
	waiting []stepResult

	performing sync.Mutex // held while effects are carried out; taken before mutex
}

func (queue *effectQueue) add(next stepResult) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.waiting = append(queue.waiting, next)
}

func (queue *effectQueue) take() []stepResult {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	taken := queue.waiting
	queue.waiting = nil
	return taken
}

// performAll calls perform for every step in the queue. When it returns, the effects of
// all steps that were added before the call have been carried out, by this goroutine or
// by another.
func (queue *effectQueue) performAll(perform func(stepResult)) {
	queue.performing.Lock()
	defer queue.performing.Unlock()
	for _, next := range queue.take() {
		perform(next)
	}
}

// runWorker runs queued jobs until the queue is closed.
func (daemon *Daemon) runWorker(context.Context) error {
	for daemon.jobs.wait() {
		daemon.runNextJob()
	}
	return nil
}

// runNextJob steps the node with the events of the next job, if there is one, and
// carries out the effects.
func (daemon *Daemon) runNextJob() {
	daemon.withNode(func() {
		for _, event := range daemon.jobs.take() {
			daemon.stepLocked(event)
		}
	})
	daemon.performEffects()
}

// step steps the node with one event and returns when its effects have been carried out.
func (daemon *Daemon) step(event node.Event) {
	daemon.withNode(func() { daemon.stepLocked(event) })
	daemon.performEffects()
}

// withNode calls do with the node's lock held.
func (daemon *Daemon) withNode(do func()) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	defer daemon.exitOnPanic()
	do()
}

// exitOnPanic is deferred and ends the process after a panic, such as that of a broken
// invariant. Without it, the panic could be recovered by an HTTP server, whose handlers
// step the node too, and the daemon would continue in an invalid state.
func (daemon *Daemon) exitOnPanic() {
	if broken := recover(); broken != nil {
		daemon.options.Log.Error("panic while stepping the node or carrying out effects; the process exits", "Cause", broken, "Stack", string(debug.Stack()))
		os.Exit(exitInvariantBroken)
	}
}

// stepLocked steps the node with one event and queues the effects. The caller holds the
// node's lock.
func (daemon *Daemon) stepLocked(event node.Event) {
	now := daemon.options.Now()
	daemon.effectQueue.add(stepResult{now: now, event: event, effects: daemon.node.Step(now, event)})
	if snapshot := daemon.node.Config(); snapshot != daemon.snapshot.Load() {
		daemon.snapshot.Store(snapshot)
	}
}

// performEffects counts the queued steps and carries out their effects.
func (daemon *Daemon) performEffects() {
	defer daemon.exitOnPanic()
	daemon.effectQueue.performAll(func(next stepResult) {
		daemon.options.Observer.Step(next.now, next.event, next.effects)
		for _, each := range next.effects {
			daemon.perform(each)
		}
	})
}
