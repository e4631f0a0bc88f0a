// Package daemon is the runtime of a node. It feeds the node's decision state machines
// with events from other daemons, engines, services, the platform and timers, and carries
// out the effects that they return.
//
// Events are queued as jobs and processed by a pool of workers, urgent jobs first. A
// goroutine that reads from a peer's connection queues the message that it read and then
// runs the next job itself. A goroutine that steps the node holds the node's lock during
// the steps of one job and carries out the effects after releasing it. Effects are carried
// out in the order of the steps.
//
// Locks are taken in this order: node, effect queue, job queue, streams, and then the lock
// of a single inbox, window or connection. No lock except that of the VM list is held
// during network I/O.
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

// Options holds the components and limits of a daemon.
type Options struct {
	Node     node.Options
	Now      clock.Source
	Engines  engine.Client
	Services *service.Client
	Platform *platform.Client
	Timing   link.Timing
	Log      *slog.Logger
	// Audit receives every audited change and every refusal.
	Audit *audit.Trail
	// Observer updates the daemon's metrics.
	Observer *metrics.Observer
	// Workers is the number of goroutines that run queued jobs.
	Workers int
	// TickInterval is the time between two Tick events.
	TickInterval clock.Millis
	// VMListInterval is the time between two reads of the VM list.
	VMListInterval clock.Millis
}

// Daemon is a node with everything that it needs to run.
type Daemon struct {
	options Options
	tasks   *task.Group
	links   *link.Set
	jobs    *jobQueue
	streams *streamTable
	vmList  vmListState

	effectQueue effectQueue
	reportReads engineSet // engines whose report is being read
	// snapshot is the configuration in force. Lookups read it here because they must not
	// wait for the node's lock.
	snapshot atomic.Pointer[config.Snapshot]

	mutex sync.Mutex // guards node
	node  *node.Node
}

// New returns a daemon, which does nothing until Run is called.
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

// PeerHandler returns the handler that accepts the connections of other daemons.
func (daemon *Daemon) PeerHandler() http.Handler {
	return daemon.links
}

// Run runs the daemon. It returns when the context given to New has ended and all of the
// daemon's goroutines have returned.
func (daemon *Daemon) Run() {
	for range daemon.options.Workers {
		daemon.tasks.Go("worker", daemon.runWorker)
	}
	daemon.tasks.Go("ticker", daemon.tick)
	daemon.tasks.Go("VM list", daemon.pollVMList)
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

// Config returns the configuration in force, or nil if none has been accepted yet.
func (daemon *Daemon) Config() *config.Snapshot {
	return daemon.snapshot.Load()
}

// Ready reports whether the daemon can serve callers.
func (daemon *Daemon) Ready() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.node.Ready()
}

// Status is the state of a daemon's node, with the age of its configuration and its peers.
type Status struct {
	node.Status
	Ready bool
	// ConfigAge is the time since the configuration in force was accepted.
	ConfigAge clock.Millis
	// ConfigContactAge is the time since the configuration service last answered this
	// daemon, or a peer that reported it to this daemon.
	ConfigContactAge clock.Millis
	// Peers are the daemons with an open control connection, sorted by name.
	Peers []ident.DaemonID
}

// Status returns the daemon's status, for operators.
func (daemon *Daemon) Status() Status {
	peers := daemon.links.ConnectedPeers()
	slices.Sort(peers)
	now, times := daemon.options.Now(), daemon.options.Observer.ConfigTimes()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return Status{
		Status: daemon.node.Status(now), Ready: daemon.node.Ready(), Peers: peers,
		ConfigAge: ageOf(times.AcceptedAt, now), ConfigContactAge: ageOf(times.ContactAt, now),
	}
}

// ageOf returns the time from at until now, or 0 if at is not set.
func ageOf(at, now clock.Millis) clock.Millis {
	if at == 0 {
		return 0
	}
	return max(0, now-at)
}

// Drain makes the node refuse new requests, and waits until the requests in progress have
// ended or the context is done.
func (daemon *Daemon) Drain(ctx context.Context) {
	// The node must process the shutdown before it is asked whether it is idle: until
	// then it reports that it is idle whenever no request is open.
	daemon.step(node.Shutdown{})
	for !daemon.idle() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

const drainPollInterval = 20 * time.Millisecond

func (daemon *Daemon) idle() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.node.Idle()
}

func (daemon *Daemon) enqueue(priority jobPriority, events ...node.Event) {
	daemon.jobs.push(priority, events)
}

func (daemon *Daemon) tick(ctx context.Context) error {
	return runEvery(ctx, daemon.options.TickInterval, func() {
		daemon.enqueue(highPriority, node.Tick{})
	})
}

// runEvery calls do immediately and then at every interval until the context ends.
func runEvery(ctx context.Context, interval clock.Millis, do func()) error {
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

// Self returns the name of this daemon.
func (daemon *Daemon) Self() ident.DaemonID {
	return daemon.options.Node.Self
}
