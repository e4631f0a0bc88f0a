// Package owner decides for one model engine: which waiting request it runs
// next, which adapter it loads and which it evicts. An engine's owner is the
// single writer of the engine's slots, pins and queue.
//
// The machine does no I/O. Every method takes the current time and returns the
// effects to carry out. Two rules are asserted: an adapter with an unfinished
// run is never unloaded, and a run is dispatched only to a ready adapter.
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
	// QueueLimits bounds the waiting requests of each class.
	QueueLimits [config.ClassCount]int
	// UrgentReserve is the number of runs kept free for urgent requests.
	UrgentReserve int
	// LoadBackoff is the span during which an adapter is not loaded again after
	// a failed load, doubled with each failure in a row.
	LoadBackoff clock.Millis
	// LoadTries is the number of failed loads after which waiting requests are refused.
	LoadTries int
	// ResumeTries is the number of times a lost run is resumed at the engine.
	ResumeTries int
	// CancelInterval is the span after which an unconfirmed cancel is repeated.
	CancelInterval clock.Millis
	// AskInterval is the span after which the broker is asked again for a load
	// that it has not granted: it may have been lost with its queue.
	AskInterval clock.Millis
	// RoutineFloor is the number of urgent runs dispatched in a row after which a
	// routine one that is ready goes next.
	RoutineFloor int
	// RoomWait is the span that a routine request waits for a slot to become idle
	// before a slot takes no further runs for its sake; 0 lets no slot yield.
	RoomWait clock.Millis
	// Eviction ranks the adapters that could give up their slot.
	Eviction Eviction
	// HalfLife is the span after which a request counts half for eviction.
	HalfLife clock.Millis
}

// DefaultOptions returns the limits used when settings name none.
func DefaultOptions() Options {
	return Options{
		QueueLimits:   [config.ClassCount]int{config.Urgent: 256, config.Routine: 1024},
		UrgentReserve: 1,
		LoadBackoff:   500 * clock.Millisecond,
		LoadTries:     3,
		ResumeTries:   2,

		CancelInterval: clock.Second,
		AskInterval:    3 * clock.Second,
		RoutineFloor:   16,
		RoomWait:       2 * clock.Second,
		Eviction:       DecayedFrequency{},
		HalfLife:       5 * clock.Minute,
	}
}

// Owner is the state that an owner keeps of its engine.
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
	failures    map[ident.Adapter]failure
	frequency   frequency
	running     int
	// urgentRun is the number of urgent runs dispatched in a row while routine
	// requests were ready.
	urgentRun int
	version   uint64
	// reportedAt is when the engine took the report last heard of.
	reportedAt clock.Millis
	takeover   takeover
	effects    []effect.Effect
}

// New returns the owner of an engine whose state is not known yet: nothing is
// dispatched before the first report.
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
		failures: map[ident.Adapter]failure{},

		frequency: newFrequency(options.HalfLife),
	}
}

func (owner *Owner) emit(next effect.Effect) {
	owner.effects = append(owner.effects, next)
}

// take returns the effects gathered since the last call.
func (owner *Owner) take() []effect.Effect {
	effects := owner.effects
	owner.effects = nil
	return effects
}

// Tick expires waiting requests, repeats unconfirmed cancels and starts what
// has become possible.
func (owner *Owner) Tick(now clock.Millis) []effect.Effect {
	owner.repeatCancels(now)
	owner.advance(now)
	return owner.take()
}

// Busy reports whether any run here has not ended.
func (owner *Owner) Busy() bool {
	return len(owner.runs) > 0
}

// Known reports whether the engine has reported to this owner yet.
func (owner *Owner) Known() bool {
	return owner.boot != ""
}

// State is the owner's word on its engine, for placement elsewhere.
func (owner *Owner) State(now clock.Millis) message.EngineState {
	state := message.EngineState{
		Engine:       owner.Engine.Name,
		Owner:        owner.Self,
		Fence:        owner.Fence,
		Version:      owner.version,
		Resident:     make([]ident.Adapter, 0, len(owner.resident)),
		Wanted:       owner.backlog.wantsInOrder(),
		Spare:        owner.spare(now),
		Queued:       owner.backlog.bound.Total(),
		Running:      owner.running,
		LoadsWaiting: len(owner.backlog.wants),
		ReportAge:    now - owner.reportedAt,
		Quarantined:  owner.quarantined,
		Leaving:      owner.draining,
		Boot:         owner.boot,
	}
	for i := range owner.slots {
		if owner.slots[i].serves() && !owner.slots[i].yielding {
			state.Resident = append(state.Resident, owner.slots[i].adapter)
		}
	}
	return state
}

// usable reports whether the engine may be given work now.
func (owner *Owner) usable() bool {
	return owner.reportedAt != 0 && !owner.quarantined && !owner.takeover.suspended
}

// advance does, in this order, what time and room allow: expire, dispatch, ask
// for loads. It looks at every wanted adapter; events that concern one request
// use a shorter way.
func (owner *Owner) advance(now clock.Millis) {
	owner.version++
	owner.expire(now)
	if !owner.usable() {
		return
	}
	owner.keepSlots()
	owner.settle()
	owner.dispatchReady(now)
	owner.seekLoads(now)
}

// room reports whether a request of the class may join the engine's batch now.
func (owner *Owner) room(class config.Class) bool {
	limit := owner.Engine.MaxRuns
	if class != config.Urgent {
		limit = max(1, limit-owner.options.UrgentReserve)
	}
	return owner.running < limit
}

// advanceOne does what an event that concerns one adapter allows.
func (owner *Owner) advanceOne(now clock.Millis, adapter ident.Adapter) {
	owner.version++
	if !owner.usable() {
		return
	}
	owner.dispatchReady(now)
	owner.seekLoad(now, adapter)
}
