package quota

import (
	"cmp"
	"math"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// Ledger counts the usage of accounts. The zero value is not usable; use New.
type Ledger struct {
	started      clock.Millis
	tolerance    Tolerance
	reserveShare float64 // see SetReserveShare
	limits       *account.Directory
	accounts     map[string]*usage
	lastNumber   int64 // number of the usage created last
	site         Site
	incarnations map[string]int64 // by source: start of its process
	hubReported  bool             // a hub has reported the usage of other daemons
	recordedAt   clock.Millis     // when the histories were last extended

	// silentShare is the share of the silent sources' daemons that no live source reports for.
	silentShare float64
	overdue     []string // live sources whose next report is overdue
}

// New returns an empty ledger of a daemon that starts now.
func New(now clock.Millis, tolerance Tolerance) *Ledger {
	ledger := &Ledger{started: now, accounts: make(map[string]*usage), incarnations: make(map[string]int64)}
	ledger.SetTolerance(tolerance)
	return ledger
}

// SetTolerance replaces the tolerance.
func (ledger *Ledger) SetTolerance(tolerance Tolerance) {
	if tolerance.Window <= 0 {
		tolerance.Window = DefaultWindow
	}
	ledger.tolerance = tolerance
}

// SetLimits replaces the limits. Earlier usage stays counted.
func (ledger *Ledger) SetLimits(now clock.Millis, limits *account.Directory) {
	for name, usage := range ledger.accounts {
		ledger.advance(now, usage, ledger.limits.Limit(name))
	}
	ledger.limits = limits
	for name, usage := range ledger.accounts {
		ledger.advance(now, usage, limits.Limit(name))
	}
}

// SetSite replaces what is known of the other daemons. When more of them are missing than
// before, it splits what the accounts have left.
func (ledger *Ledger) SetSite(now clock.Millis, site Site) {
	if !site.splitsLike(ledger.site) {
		for name, usage := range ledger.accounts {
			ledger.advance(now, usage, ledger.limits.Limit(name))
		}
	}
	moreMissing := site.missing() > ledger.site.missing()
	ledger.site = site
	ledger.silentShare = site.silentShare()
	ledger.overdue = site.overdue(now)
	if moreMissing {
		ledger.splitLevels(now)
	}
	ledger.recordHistory(now)
}

// Site returns what is known of the other daemons.
func (ledger *Ledger) Site() Site {
	return ledger.site
}

// Decision says whether a request is within its account's limit, and the figures behind that.
type Decision struct {
	Allowed    bool
	RetryAfter clock.Millis // how long the caller should wait before a retry, if it is not
	Cost       float64      // units
	Left       float64      // units before the request
	Reserve    float64      // units that the request must leave for more urgent ones
	Reserved   bool         // only the reserve was in its way
	Lacking    float64      // units that must be added before it can be admitted; set if refused
	Rate       float64      // units a second that the daemons counted together may use
	Share      float64      // part of Rate that this daemon's callers use, at least an equal part; set if refused
	Reached    int          // daemons that are counted together, this one included
	Daemons    int          // of the site
}

// Isolated reports whether the daemon that decided received reports from none of the others.
func (decision Decision) Isolated() bool {
	return decision.Reached <= 1 && decision.Daemons > 1
}

// Take charges a request to its account if enough units are left, and returns the decision.
func (ledger *Ledger) Take(now clock.Millis, name string, cost float64, rank Rank) Decision {
	limit := ledger.limits.Limit(name)
	if !limit.Limited() {
		return Decision{Allowed: true, Cost: cost}
	}
	usage := ledger.usageOf(now, name, limit)
	split := ledger.advance(now, usage, limit)
	decision := Decision{
		Cost: cost, Left: usage.level, Rate: split.reachableRate(),
		Reached: ledger.site.Reached, Daemons: ledger.site.Daemons,
	}
	required := ledger.required(cost, split)
	// A request that needs more than a full bucket together with its reserve needs a full one.
	needed := min(required+ledger.reserve(usage, split, rank), max(required, split.depth))
	decision.Reserve = needed - required
	enough := usage.level >= required
	decision.Allowed = usage.level >= needed || enough && usage.hasMinimum(rank)
	if !decision.Allowed {
		decision.Reserved = enough
		decision.Lacking = needed - usage.level
		decision.RetryAfter = ledger.retryAfter(decision.Lacking, decision.Rate)
		decision.Share = ledger.ownShare(now, usage)
		return decision
	}
	ledger.charge(now, usage, cost)
	ledger.countMinimum(usage, limit, rank, cost)
	return decision
}

// ownShare returns the part of the recent use of an account that this daemon admitted, at least an
// equal part of the daemons counted together.
func (ledger *Ledger) ownShare(now clock.Millis, usage *usage) float64 {
	equal := 1 / float64(max(1, ledger.site.Reached))
	own, all := usage.own.recent.decayed(now), usage.all.recent.decayed(now)
	if all <= 0 {
		return equal
	}
	return min(max(own/all, equal), 1)
}

// required returns the units that must be left for a request. One that costs more than the
// bucket holds needs a full bucket. An isolated daemon refuses such a request, as each of
// many isolated daemons would otherwise admit one.
func (ledger *Ledger) required(cost float64, split split) float64 {
	if ledger.isolated() {
		return cost
	}
	return min(cost, split.depth)
}

// Waits after which refused callers should retry, and their bounds. The upper bound is
// short enough for callers to notice a raised limit. A caller refused by an isolated daemon
// retries soon, as the retry may reach another daemon.
const (
	minWait      = 100 * clock.Millisecond
	isolatedWait = 500 * clock.Millisecond
	maxWait      = 5 * clock.Second
)

// retryAfter returns how long it takes until the given units have been added at a rate.
func (ledger *Ledger) retryAfter(units, rate float64) clock.Millis {
	if ledger.isolated() {
		return isolatedWait
	}
	if rate <= 0 {
		return maxWait
	}
	millis := clock.Millis(math.Ceil(units / rate * float64(clock.Second)))
	return min(max(minWait, millis), maxWait)
}

// charge takes units from an account and counts them as admitted by this daemon.
func (ledger *Ledger) charge(now clock.Millis, usage *usage, units float64) {
	usage.level -= units
	usage.own.add(now, units)
	usage.group.add(now, units)
	usage.all.add(now, units)
}

// Return gives back the units of a request that no server ran.
func (ledger *Ledger) Return(now clock.Millis, name string, cost float64) {
	usage, ok := ledger.accounts[name]
	if !ok {
		return
	}
	ledger.advance(now, usage, ledger.limits.Limit(name))
	ledger.charge(now, usage, -cost)
}

// startupSlackShare is the share of the slack that an account has left beside its burst at a
// daemon that has just started, as the daemon does not know the site's earlier usage.
const startupSlackShare = 0.25

// usageOf returns the usage of an account. A new one begins with a full bucket, or with less
// while the window reaches back to before this daemon's start.
func (ledger *Ledger) usageOf(now clock.Millis, name string, limit account.Limit) *usage {
	known, ok := ledger.accounts[name]
	if !ok {
		ledger.lastNumber++
		known = &usage{number: ledger.lastNumber, updatedAt: now, sources: make(map[string]*sourceUsage)}
		known.level = ledger.splitOf(known, limit).depth
		if now-ledger.started < ledger.tolerance.Window {
			known.level = min(known.level, limit.Burst+startupSlackShare*ledger.tolerance.Slack)
		}
		ledger.accounts[name] = known
	}
	return known
}

// Limited reports whether any account has a limit.
func (ledger *Ledger) Limited() bool {
	return ledger.limits.Limited()
}

// Prune removes accounts without a limit, and those without recent usage whose bucket is
// full.
func (ledger *Ledger) Prune(now clock.Millis) {
	for name, usage := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		split := ledger.advance(now, usage, limit)
		idle := usage.all.recent.decayed(now) < 1 && usage.level >= split.depth
		if !limit.Limited() || idle {
			delete(ledger.accounts, name)
		}
	}
}

// Status is the usage of an account as this daemon knows it.
type Status struct {
	Account string
	Rate    float64 // recent usage by all daemons, in units a second
	Limit   float64 // units a second
	Left    float64 // units
}

// Statuses returns at most the given number of accounts in use, those that use the largest
// share of their limits first.
func (ledger *Ledger) Statuses(now clock.Millis, maximum int) []Status {
	statuses := make([]Status, 0, len(ledger.accounts))
	for name, usage := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		ledger.advance(now, usage, limit)
		statuses = append(statuses, Status{Account: name, Rate: usage.all.recent.rate(now), Limit: limit.Rate, Left: usage.level})
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Rate*a.Limit, a.Rate*b.Limit), cmp.Compare(a.Account, b.Account))
	})
	return statuses[:min(maximum, len(statuses))]
}
