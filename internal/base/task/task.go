// Package task runs groups of goroutines. Each goroutine takes a context, and its end is
// reported to the owner of the group.
package task

import (
	"context"
	"sync"
)

// End is the report that a goroutine has ended.
type End struct {
	Name string
	// Err is nil if the goroutine completed or was stopped.
	Err error
}

// Group is a set of goroutines with a common context. Its owner must run Reap: a
// goroutine of the group blocks at its end until Reap has received its report.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	ends   chan End

	mutex   sync.Mutex // guards running, stopped
	running int
	stopped bool
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, ends: make(chan End)}
}

// Context returns the context that is passed to the group's goroutines.
func (group *Group) Context() context.Context {
	return group.ctx
}

// Go starts a goroutine. It does nothing once Reap has begun to wait for the last
// goroutines after the group's context has ended.
func (group *Group) Go(name string, run func(ctx context.Context) error) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.stopped {
		return
	}
	group.running++
	go func() { group.ends <- End{Name: name, Err: run(group.ctx)} }()
}

// Reap calls handle for each goroutine that has ended. It returns when the group's
// context has ended and no goroutine is left. The function handle may call Go and Stop.
func (group *Group) Reap(handle func(End)) {
	for {
		select {
		case end := <-group.ends:
			handle(end)
			group.countEnd()
		case <-group.ctx.Done():
			group.drain(handle)
			return
		}
	}
}

func (group *Group) drain(handle func(End)) {
	for group.refuseNew() > 0 {
		handle(<-group.ends)
		group.countEnd()
	}
}

// Stop cancels the group's context, which asks the running goroutines to end.
func (group *Group) Stop() {
	group.cancel()
}

func (group *Group) countEnd() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.running--
}

// refuseNew makes Go start no further goroutine and returns the number of those that are
// left.
func (group *Group) refuseNew() int {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.stopped = true
	return group.running
}
