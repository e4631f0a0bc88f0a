// Package loading plans which adapters a model engine holds. There is one planner for each
// server, at the daemon that owns it. A planner returns the orders to send and is given their
// results. The package also estimates how fast the weight store sends adapters and base
// models, how many copies an adapter needs, and which server loads its base model next. It
// does no I/O and reads no clock, and does not choose the server for a request: that is
// package choose.
package loading

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
)

// Limits are what a server can hold.
type Limits struct {
	AdapterSlots int
	MemoryMB     float64
	ModelMB      map[string]float64
	ModelTime    map[string]clock.Millis // time to load a base model from the weight store
	AdapterMB    map[string]float64      // by model
}

// Options are the parameters of a planner.
type Options struct {
	// ReportLag is how stale a server's report may be. A report is used only if it was
	// read at least this long after the last order that the server may have accepted.
	ReportLag clock.Millis
	// CheckInterval is the interval at which the server is asked whether a load has ended.
	CheckInterval clock.Millis
	// ModelCheckInterval is the same for a base model, whose load takes seconds.
	ModelCheckInterval clock.Millis
	// Backoff is the wait after an order that failed.
	Backoff clock.Millis
	// Settle is the time after its last use for which an adapter is not evicted, as
	// requests of other daemons become known with a delay.
	Settle clock.Millis
	// MostIncoming is the maximum number of concurrent loads at a server. While the weight
	// store is saturated it is CrowdedIncoming: on average, loads one after another end
	// sooner than the same loads in parallel.
	MostIncoming, CrowdedIncoming int
	// HalfLife is the time in which the count of an adapter's uses halves.
	HalfLife clock.Millis
	// MostChecks is the number of checks of a load after which the server's report is
	// read again.
	MostChecks int
}

// DefaultOptions returns the options for the platform's model engines.
func DefaultOptions() Options {
	return Options{
		ReportLag: 500, CheckInterval: 15, ModelCheckInterval: 250, Backoff: 100,
		Settle: 300, MostIncoming: 4, CrowdedIncoming: 1, HalfLife: 10 * clock.Second, MostChecks: 120,
	}
}

// slot is an adapter that takes an adapter slot of the server.
type slot struct {
	version       int
	loading       bool
	unloading     bool         // an unload was accepted and waits for requests to end
	checkAt       clock.Millis // when to check whether the load or unload has ended
	checks        int
	began         clock.Millis // start of the load in progress; 0: not known
	inFlight      int          // loads in flight at that time, itself included
	lastSeenAfter clock.Millis // from began until the load was last found in progress
	score         float64      // uses, halved each HalfLife
	usedAt        clock.Millis
}

// requestedAdapter is an adapter that requests of callers wait for.
type requestedAdapter struct {
	version int
	rank    int // of the most urgent request; 0 is the most urgent
	since   clock.Millis
	until   clock.Millis // when the last request gives up
}

// Planner plans the adapters of one server.
type Planner struct {
	options      Options
	limits       Limits
	rate         *LoadRate                      // shared by all planners of the daemon
	recentlyHeld func(platformapi.Adapter) bool // whether the server held an adapter recently
	fenceKnown   bool                           // the server has seen this daemon's fencing number
	reportValid  bool                           // a report was read since then, and is still valid
	unanswered   bool                           // the last order has had no answer: the server may carry it out until it accepts a later one
	lastOrderAt  clock.Millis                   // when the server may last have accepted an order
	models       map[string]bool
	modelLoads   map[string]modelLoad // base models being loaded
	slots        map[platformapi.Adapter]*slot
	requested    map[platformapi.Adapter]*requestedAdapter
	waitUntil    clock.Millis // no order before this time
	number       int64        // increases with each change of the table
}

// modelLoad is the load of a base model.
type modelLoad struct {
	since   clock.Millis
	checkAt clock.Millis
	stuck   bool // it takes so long that other servers' models no longer wait for it
}

// New returns a planner that does not know yet what its server holds. Rate is shared by all
// planners of the daemon. RecentlyHeld reports whether the server held an adapter recently.
func New(options Options, limits Limits, rate *LoadRate, recentlyHeld func(platformapi.Adapter) bool) *Planner {
	return &Planner{
		options: options, limits: limits, rate: rate, recentlyHeld: recentlyHeld, models: make(map[string]bool),
		modelLoads: make(map[string]modelLoad),
		slots:      make(map[platformapi.Adapter]*slot), requested: make(map[platformapi.Adapter]*requestedAdapter),
	}
}

// NeedsReport reports whether the server's report must be read before anything else, and the
// time from which a report is reliable. The server must have seen this daemon's fencing
// number before: until then it may accept orders of another daemon that the report does
// not show, or an earlier one of this daemon that has had no answer.
func (planner *Planner) NeedsReport() (bool, clock.Millis) {
	return !planner.mustFence() && !planner.reportValid, planner.lastOrderAt + planner.options.ReportLag
}

// mustFence reports whether the server must see this daemon's fencing number before anything else.
func (planner *Planner) mustFence() bool {
	return !planner.fenceKnown || planner.unanswered && !planner.reportValid
}

// HoldingsKnown reports whether the planner knows what its server holds: it has read the
// report, or the server has accepted the load of its base model and so holds nothing yet.
// An order to load it that was not answered counts as accepted.
func (planner *Planner) HoldingsKnown() bool {
	return planner.reportValid || len(planner.modelLoads) > 0
}

// InvalidateReport makes the planner read the report again, as the server may have restarted.
func (planner *Planner) InvalidateReport() {
	planner.reportValid = false
}

// SetLimits replaces the limits after a change of the configuration.
func (planner *Planner) SetLimits(limits Limits) {
	planner.limits = limits
}

// SetReport replaces what the planner knows by the server's report of what it holds.
func (planner *Planner) SetReport(now clock.Millis, report platformapi.Report) {
	former := planner.slots
	planner.reportValid = true
	planner.number++
	planner.models = make(map[string]bool)
	planner.slots = make(map[platformapi.Adapter]*slot)
	for _, holding := range report.Models {
		planner.models[holding.Model] = true
		delete(planner.modelLoads, holding.Model)
		for name, version := range holding.Adapters {
			planner.slots[platformapi.Adapter{Model: holding.Model, Name: name}] = &slot{version: version}
		}
	}
	for _, adapter := range report.Incoming {
		planner.slots[adapter] = &slot{loading: true, checkAt: now}
	}
	for adapter, before := range former {
		if after, ok := planner.slots[adapter]; ok {
			after.score, after.usedAt = before.score, before.usedAt
		}
	}
	if !report.Busy {
		clear(planner.modelLoads)
	} else if order, ok := planner.firstModel(); ok && len(planner.models) == 0 && len(planner.modelLoads) == 0 {
		planner.modelLoads[order.Adapter.Model] = modelLoad{since: now, checkAt: now} // ordered by another daemon
	}
}

// RequestAdapter requests an adapter for a request that gives up at until.
func (planner *Planner) RequestAdapter(now clock.Millis, adapter platformapi.Adapter, version, rank int, until clock.Millis) {
	requested, ok := planner.requested[adapter]
	if !ok {
		planner.requested[adapter] = &requestedAdapter{version: version, rank: rank, since: now, until: until}
		planner.number++
		return
	}
	requested.version = max(requested.version, version)
	requested.rank = min(requested.rank, rank)
	requested.until = max(requested.until, until)
}

// RecordUse adds to the count of an adapter's uses.
func (planner *Planner) RecordUse(now clock.Millis, adapter platformapi.Adapter, uses int) {
	entry, ok := planner.slots[adapter]
	if !ok {
		return
	}
	entry.score = planner.score(now, entry) + float64(uses)
	entry.usedAt = now
}

// score returns the count of an adapter's uses, halved for each HalfLife since the last one.
func (planner *Planner) score(now clock.Millis, entry *slot) float64 {
	return entry.score * math.Exp2(-float64(now-entry.usedAt)/float64(planner.options.HalfLife))
}

// MarkMissing records that the server refused a request because it does not hold the adapter or
// holds another version of it. The adapter keeps its adapter slot, as if being loaded, until
// its load has been ordered again and answered. Were the slot reused too early, the server
// could be ordered to load one adapter too many and crash.
func (planner *Planner) MarkMissing(now clock.Millis, adapter platformapi.Adapter) {
	if entry, ok := planner.slots[adapter]; ok && !entry.loading && !entry.unloading {
		entry.loading = true
		entry.checks = 0
		entry.checkAt = now
		planner.number++
	}
}

// Table returns what the server holds, to be sent to the other daemons. Requested adapters
// are included as coming, so that other requests for them wait at the same server instead of
// having them loaded at a second one.
func (planner *Planner) Table() (number int64, models []string, slots []fleet.Slot) {
	models = slices.Sorted(maps.Keys(planner.models))
	for adapter, entry := range planner.slots {
		slots = append(slots, fleet.Slot{Adapter: adapter, Version: entry.version, Coming: entry.loading || entry.unloading})
	}
	for adapter, requested := range planner.requested {
		if _, held := planner.slots[adapter]; !held {
			slots = append(slots, fleet.Slot{Adapter: adapter, Version: requested.version, Coming: true, Queued: true})
		}
	}
	for model, load := range planner.modelLoads {
		if !load.stuck {
			slots = append(slots, fleet.Slot{Adapter: platformapi.Adapter{Model: model}, Coming: true})
		}
	}
	slices.SortFunc(slots, func(a, b fleet.Slot) int { return byName(a.Adapter, b.Adapter) })
	return planner.number, models, slots
}

func byName(a, b platformapi.Adapter) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
}
