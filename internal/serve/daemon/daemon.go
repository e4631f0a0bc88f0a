// Package daemon carries out what the decision machines ask for: it joins a
// node with connections, engine and service clients, the platform and timers.
//
// Events go through a pool of workers, urgent ones first; the reader of a lane
// takes the next job itself after queueing what it read. Whoever steps holds the
// node's lock for one step and carries out the effects after letting it go, in
// the order of the steps. Lock order: node, then outbox, then streams, then the
// locks of a single inbox, window or connection. No lock but that of the VM list reader is held during I/O.
package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselmoor/internal/backend/engine"
	"teaselmoor/internal/backend/platform"
	"teaselmoor/internal/backend/service"
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/inner/link"
	"teaselmoor/internal/serve/metrics"
)

// Options are the parts and limits of a daemon.
type Options struct {
	Node     node.Options
	Now      clock.Source
	Engines  engine.Client
	Services *service.Client
	Platform *platform.Client
	Timing   link.Timing
	Log      *slog.Logger
	// Audit takes in every change and every refusal.
	Audit *audit.Trail
	// Observer counts what the daemon does.
	Observer *metrics.Observer
	// Workers is the number of goroutines that step the node.
	Workers int
	// TickInterval is the span between two ticks of the node.
	TickInterval clock.Millis
	// ListInterval is the span between two reads of the VM list.
	ListInterval clock.Millis
}

// Daemon is one running daemon.
type Daemon struct {
	options Options
	tasks   *task.Group
	links   *link.Set
	jobs    *jobQueue
	streams *streamTable
	list    listReader

	outbox  outbox
	reading engineSet
	// snapshot is the configuration in force, for lookups that must not wait
	// for the node's lock.
	snapshot atomic.Pointer[config.Snapshot]

	mutex sync.Mutex // guards node
	node  *node.Node
}

// New returns a daemon that does nothing before Run.
func New(ctx context.Context, options Options) *Daemon {
	daemon := &Daemon{
		options: options,
		tasks:   task.New(ctx),
		jobs:    newJobQueue(),
		streams: newStreamTable(),
		node:    node.New(options.Node),
	}
	daemon.links = link.New(daemon.tasks, options.Node.Self, &peerHandler{daemon: daemon}, options.Timing, options.Log)
	return daemon
}

// Inner accepts connections of other daemons.
func (daemon *Daemon) Inner() http.Handler {
	return daemon.links
}

// Run works until the context ends and every goroutine has.
func (daemon *Daemon) Run() {
	for range daemon.options.Workers {
		daemon.tasks.Go("worker", daemon.work)
	}
	daemon.tasks.Go("ticker", daemon.tick)
	daemon.tasks.Go("VM list", daemon.readList)
	daemon.tasks.Go("job queue closer", func(ctx context.Context) error {
		<-ctx.Done()
		daemon.jobs.close()
		return nil
	})
	daemon.tasks.Reap(func(end task.End) {
		if end.Err != nil {
			daemon.options.Log.Error("task failed", "Task", end.Name, "Cause", end.Err)
		}
	})
}

// Config returns the configuration in force, nil before the first.
func (daemon *Daemon) Config() *config.Snapshot {
	return daemon.snapshot.Load()
}

// Ready reports whether the daemon can serve callers.
func (daemon *Daemon) Ready() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.node.Ready()
}

// Status is what a daemon knows, with the peers that it is connected to.
type Status struct {
	node.Status
	Ready bool
	// ConfigAge is the span since the configuration in force was accepted.
	ConfigAge clock.Millis
	// ConfigContactAge is the span since this daemon, or a peer that it heard
	// from, last had an answer of the configuration service.
	ConfigContactAge clock.Millis
	// Peers have a live control connection, in order of name.
	Peers []ident.DaemonID
}

// Status describes the daemon, for operators.
func (daemon *Daemon) Status() Status {
	peers := daemon.links.Peers()
	slices.Sort(peers)
	now, times := daemon.options.Now(), daemon.options.Observer.Config()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return Status{
		Status: daemon.node.Status(now), Ready: daemon.node.Ready(), Peers: peers,
		ConfigAge: ageOf(times.AcceptedAt, now), ConfigContactAge: ageOf(times.ContactAt, now),
	}
}

// ageOf returns the span since a point in time, 0 when there is none.
func ageOf(at, now clock.Millis) clock.Millis {
	if at == 0 {
		return 0
	}
	return max(0, now-at)
}

// Drain refuses new requests and waits until those in progress have ended, or
// the context has.
func (daemon *Daemon) Drain(ctx context.Context) {
	// The node must know before it is asked whether it is idle: until then it
	// counts as idle whenever no request is open.
	daemon.step(node.Shutdown{})
	for !daemon.idle() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPoll):
		}
	}
}

const drainPoll = 20 * time.Millisecond

func (daemon *Daemon) idle() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.node.Idle()
}

func (daemon *Daemon) enqueue(lane jobLane, events ...node.Event) {
	daemon.jobs.push(lane, events)
}

func (daemon *Daemon) tick(ctx context.Context) error {
	return every(ctx, daemon.options.TickInterval, func() {
		daemon.enqueue(promptLane, node.Tick{})
	})
}

// every calls do at once and then at each interval until the context ends.
func every(ctx context.Context, interval clock.Millis, do func()) error {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		do()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Self returns the daemon's name.
func (daemon *Daemon) Self() ident.DaemonID {
	return daemon.options.Node.Self
}
