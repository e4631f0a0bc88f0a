// Package owner decides for one model engine which waiting request runs next, which
// adapter is loaded and which one is evicted. Only the engine's owner changes the
// engine's slots, pins and queue. Which daemon owns the engine is decided by package
// ownership, and which engine a request is sent to by package placement.
//
// The state machine does no I/O. The methods that handle an event return the effects
// to carry out. Among the invariants that are checked are these two: an adapter with
// an unfinished run is never unloaded, and a waiting run is dispatched only to a ready
// adapter.
package owner

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
)

// Options are the limits of an owner.
type Options struct {
	// QueueLimits is the maximum number of waiting requests of each class.
	QueueLimits [config.ClassCount]int
	// UrgentReserve is the number of places in the engine's batch that are reserved
	// for urgent requests.
	UrgentReserve int
	// LoadBackoff is the time before an adapter is loaded again after a failed load.
	// It doubles with each consecutive failure, up to LoadTries times.
	LoadBackoff clock.Millis
	// LoadTries is the number of consecutive failed loads after which the requests
	// that wait for the adapter are refused.
	LoadTries int
	// ResumeTries is the maximum number of times that a run is resumed after its
	// connection to the engine was lost.
	ResumeTries int
	// CancelInterval is the time after which an unconfirmed cancel is repeated.
	CancelInterval clock.Millis
	// LoadRequestInterval is the time after which a load request that was not granted is
	// repeated, because the broker may have restarted and lost its queue.
	LoadRequestInterval clock.Millis
	// MaxUrgentInRow is the number of urgent dispatches in a row after which a ready
	// routine request goes next.
	MaxUrgentInRow int
	// YieldDelay is the time that a routine request waits for an idle slot before a
	// slot yields, that is, gets no further runs so that it becomes idle. With 0 no
	// slot ever yields, not even for an urgent request.
	YieldDelay clock.Millis
	// Eviction ranks the adapters that could be evicted.
	Eviction EvictionPolicy
	// HalfLife is the half-life of a request in the decaying request counts of
	// adapters.
	HalfLife clock.Millis
}

// DefaultOptions returns the limits used if the settings do not set them.
func DefaultOptions() Options {
	return Options{
		QueueLimits:   [config.ClassCount]int{config.Urgent: 256, config.Routine: 1024},
		UrgentReserve: 1,
		LoadBackoff:   500 * clock.Millisecond,
		LoadTries:     3,
		ResumeTries:   2,

		CancelInterval:      clock.Second,
		LoadRequestInterval: 3 * clock.Second,
		MaxUrgentInRow:      16,
		YieldDelay:          2 * clock.Second,
		Eviction:            DecayedFrequency{},
		HalfLife:            5 * clock.Minute,
	}
}

// Owner is the state of an engine's owner.
type Owner struct {
	Engine  config.Engine
	Self    ident.DaemonID
	Fence   ident.Fence
	options Options

	boot        ident.BootID
	quarantined bool
	draining    bool
	slots       []slot
	resident    map[ident.Adapter]int // index into slots
	backlog     backlog
	runs        map[ident.StreamID]*run
	failures    map[ident.Adapter]loadFailures
	frequency   frequency
	running     int // runs in the engine's batch, including those of former owners
	// urgentInRow is the number of urgent dispatches in a row while routine requests
	// were ready.
	urgentInRow int
	version     uint64
	// reportedAt is when the engine created the last report.
	reportedAt clock.Millis
	takeover   takeover
	effects    []effect.Effect
}

// New returns the owner of an engine whose state is not known yet. Waiting requests
// are not dispatched before the first report.
func New(self ident.DaemonID, engine config.Engine, fence ident.Fence, options Options) *Owner {
	return &Owner{
		Engine:   engine,
		Self:     self,
		Fence:    fence,
		options:  options,
		slots:    make([]slot, engine.Slots),
		resident: map[ident.Adapter]int{},
		backlog:  newBacklog(options.QueueLimits),
		runs:     map[ident.StreamID]*run{},
		failures: map[ident.Adapter]loadFailures{},

		frequency: newFrequency(options.HalfLife),
	}
}

func (owner *Owner) emit(next effect.Effect) {
	owner.effects = append(owner.effects, next)
}

// takeEffects returns and clears the collected effects.
func (owner *Owner) takeEffects() []effect.Effect {
	effects := owner.effects
	owner.effects = nil
	return effects
}

// Tick repeats unconfirmed cancels, refuses expired requests, and starts the runs and
// requests the loads that have become possible.
func (owner *Owner) Tick(now clock.Millis) []effect.Effect {
	owner.repeatCancels(now)
	owner.advance(now)
	return owner.takeEffects()
}

// Busy reports whether there are waiting or unfinished runs.
func (owner *Owner) Busy() bool {
	return len(owner.runs) > 0
}

// HasReport reports whether the engine has reported to this owner yet.
func (owner *Owner) HasReport() bool {
	return owner.boot != ""
}

// State returns the engine's state, which other daemons use for placement.
func (owner *Owner) State(now clock.Millis) message.EngineState {
	state := message.EngineState{
		Engine:       owner.Engine.Name,
		Owner:        owner.Self,
		Fence:        owner.Fence,
		Version:      owner.version,
		Resident:     make([]ident.Adapter, 0, len(owner.resident)),
		Wanted:       owner.backlog.wantedInOrder(),
		Spare:        owner.spare(now),
		Queued:       owner.backlog.bound.Total(),
		Running:      owner.running,
		LoadsWaiting: len(owner.backlog.wanted),
		ReportAge:    now - owner.reportedAt,
		Quarantined:  owner.quarantined,
		Leaving:      owner.draining,
		Boot:         owner.boot,
	}
	for i := range owner.slots {
		if owner.slots[i].isLoadedOrLoading() && !owner.slots[i].yielding {
			state.Resident = append(state.Resident, owner.slots[i].adapter)
		}
	}
	return state
}

// usable reports whether runs and loads may be started at the engine now.
func (owner *Owner) usable() bool {
	return owner.reportedAt != 0 && !owner.quarantined && !owner.takeover.suspended
}

// advance refuses expired requests, dispatches ready ones and requests loads. It
// processes all wanted adapters; events that affect a single adapter use
// advanceAdapter, which is cheaper.
func (owner *Owner) advance(now clock.Millis) {
	owner.version++
	owner.refuseExpired(now)
	if !owner.usable() {
		return
	}
	owner.endYield()
	owner.moveAllReady()
	owner.dispatchReady(now)
	owner.requestLoads(now)
}

// batchHasRoom reports whether a request of the class may join the engine's batch
// now.
func (owner *Owner) batchHasRoom(class config.Class) bool {
	limit := owner.Engine.MaxRuns
	if class != config.Urgent {
		limit = max(1, limit-owner.options.UrgentReserve)
	}
	return owner.running < limit
}

// advanceAdapter dispatches ready requests and requests the load of one adapter
// after an event that affects only that adapter.
func (owner *Owner) advanceAdapter(now clock.Millis, adapter ident.Adapter) {
	owner.version++
	if !owner.usable() {
		return
	}
	owner.dispatchReady(now)
	owner.requestLoad(now, adapter)
}
