// Package loading plans which adapters a model engine holds. One planner stands
// for one server, at the one daemon that gives it orders. It does no I/O and
// reads no clock: Next says what to order, Done what came of it.
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
	ModelTime    map[string]clock.Millis // that a base model takes from the weight store
	AdapterMB    map[string]float64      // by model
}

// Options are the times of a planner.
type Options struct {
	// ReportLag is how old a server's report may be. A report counts only if it was
	// read that long after the last order that the server may have accepted.
	ReportLag clock.Millis
	// CheckInterval is the time between two questions whether a load has ended.
	CheckInterval clock.Millis
	// ModelCheckInterval is the same for a base model, which takes seconds.
	ModelCheckInterval clock.Millis
	// Backoff is the wait after an order that failed.
	Backoff clock.Millis
	// Settle is how long after its last use an adapter is not evicted: other
	// daemons' requests become known that late.
	Settle clock.Millis
	// MostIncoming is how many adapters a server takes at a time. While the weight
	// store is crowded a server gets CrowdedIncoming only: loads one after another
	// end sooner, on average, than the same loads side by side.
	MostIncoming, CrowdedIncoming int
	// HalfLife is the time in which the count of an adapter's uses halves.
	HalfLife clock.Millis
	// MostChecks is how many checks a load gets before the server's report is
	// read anew.
	MostChecks int
}

// DefaultOptions returns the options for the platform's engines.
func DefaultOptions() Options {
	return Options{
		ReportLag: 500, CheckInterval: 15, ModelCheckInterval: 250, Backoff: 100,
		Settle: 300, MostIncoming: 4, CrowdedIncoming: 1, HalfLife: 10 * clock.Second, MostChecks: 120,
	}
}

type slot struct {
	version int
	loading bool
	leaving bool         // an unload was accepted and waits for runs to end
	checkAt clock.Millis // when to ask whether the load or unload has ended
	checks  int
	began   clock.Millis // the load that is on its way; 0: it is not known when
	onWay   int          // loads on their way then
	seenFor clock.Millis // from began until it was last found on its way
	score   float64      // uses, halved each HalfLife
	usedAt  clock.Millis
}

type want struct {
	version int
	rank    int // of the most urgent request; 0 first
	since   clock.Millis
	until   clock.Millis // the last request gives up
}

// Planner plans the adapters of one server.
type Planner struct {
	options Options
	limits  Limits
	rate    *LoadRate                      // of the daemon's planners together
	atHand  func(platformapi.Adapter) bool // whether the server held an adapter of late
	shown   bool                           // the server has seen this daemon's fencing number
	known   bool                           // a report was read since
	ordered clock.Millis                   // when the server may last have accepted an order
	models  map[string]bool
	coming  map[string]modelLoad // base models being loaded
	slots   map[platformapi.Adapter]*slot
	wants   map[platformapi.Adapter]*want
	waitTo  clock.Millis
	number  int64 // rises with each change of the slots
}

// modelLoad is a base model on its way.
type modelLoad struct {
	since   clock.Millis
	checkAt clock.Millis
	stuck   bool // it takes so long that other servers' models do not wait for it any more
}

// New returns a planner that knows nothing of its server yet. It learns the rate of the
// weight store together with the daemon's others. AtHand tells whether the server held
// an adapter of late.
func New(options Options, limits Limits, rate *LoadRate, atHand func(platformapi.Adapter) bool) *Planner {
	return &Planner{
		options: options, limits: limits, rate: rate, atHand: atHand, models: make(map[string]bool),
		coming: make(map[string]modelLoad),
		slots:  make(map[platformapi.Adapter]*slot), wants: make(map[platformapi.Adapter]*want),
	}
}

// NeedsReport reports whether the server's report must be read before anything
// else, and from when on it can be relied on. Before that the server has to see
// this daemon's fencing number: until then another daemon's orders may be accepted
// that the report does not show.
func (planner *Planner) NeedsReport() (bool, clock.Millis) {
	return planner.shown && !planner.known, planner.ordered + planner.options.ReportLag
}

// HoldingsKnown reports whether the planner knows what its server holds: it has read its report,
// or the server has just accepted to load its base model, and so holds nothing.
func (planner *Planner) HoldingsKnown() bool {
	return planner.known || len(planner.coming) > 0
}

// InvalidateReport makes the planner read the report again: the server may have restarted.
func (planner *Planner) InvalidateReport() {
	planner.known = false
}

// SetLimits replaces the limits, after a change of the configuration.
func (planner *Planner) SetLimits(limits Limits) {
	planner.limits = limits
}

// SetReport takes the server's word for what it holds.
func (planner *Planner) SetReport(now clock.Millis, report platformapi.Report) {
	former := planner.slots
	planner.known = true
	planner.number++
	planner.models = make(map[string]bool)
	planner.slots = make(map[platformapi.Adapter]*slot)
	for _, holding := range report.Models {
		planner.models[holding.Model] = true
		delete(planner.coming, holding.Model)
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
		clear(planner.coming)
	} else if order, ok := planner.firstModel(); ok && len(planner.models) == 0 && len(planner.coming) == 0 {
		planner.coming[order.Adapter.Model] = modelLoad{since: now, checkAt: now} // ordered by another daemon
	}
}

// RequestAdapter asks for an adapter on behalf of a request that gives up at until.
func (planner *Planner) RequestAdapter(now clock.Millis, adapter platformapi.Adapter, version, rank int, until clock.Millis) {
	wanted, ok := planner.wants[adapter]
	if !ok {
		planner.wants[adapter] = &want{version: version, rank: rank, since: now, until: until}
		planner.number++
		return
	}
	wanted.version = max(wanted.version, version)
	wanted.rank = min(wanted.rank, rank)
	wanted.until = max(wanted.until, until)
}

// RecordUse counts a use of an adapter.
func (planner *Planner) RecordUse(now clock.Millis, adapter platformapi.Adapter, uses int) {
	held, ok := planner.slots[adapter]
	if !ok {
		return
	}
	held.score = planner.score(now, held) + float64(uses)
	held.usedAt = now
}

func (planner *Planner) score(now clock.Millis, held *slot) float64 {
	return held.score * math.Exp2(-float64(now-held.usedAt)/float64(planner.options.HalfLife))
}

// MarkMissing notes that the server refused a request because it lacks the adapter, or
// holds another version of it. The adapter keeps its place, as one being loaded, until
// its load was ordered again and answered: a place given away too early has the server
// ordered to load one adapter too many, and crash.
func (planner *Planner) MarkMissing(now clock.Millis, adapter platformapi.Adapter) {
	if held, ok := planner.slots[adapter]; ok && !held.loading && !held.leaving {
		held.loading = true
		held.checks = 0
		held.checkAt = now
		planner.number++
	}
}

// Table returns what the server holds, to be told to the other daemons. What is
// wanted counts as coming, so that other requests for it wait at the same server
// instead of having it loaded at a second one.
func (planner *Planner) Table() (number int64, models []string, slots []fleet.Slot) {
	models = slices.Sorted(maps.Keys(planner.models))
	for adapter, held := range planner.slots {
		slots = append(slots, fleet.Slot{Adapter: adapter, Version: held.version, Coming: held.loading || held.leaving})
	}
	for adapter, wanted := range planner.wants {
		if _, held := planner.slots[adapter]; !held {
			slots = append(slots, fleet.Slot{Adapter: adapter, Version: wanted.version, Coming: true, Queued: true})
		}
	}
	for model, load := range planner.coming {
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
