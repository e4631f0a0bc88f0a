package quota

import (
	"cmp"
	"math"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// Ledger counts the use of accounts. The zero value is not usable; use New.
type Ledger struct {
	started   clock.Millis
	tolerance Tolerance
	limits    *account.Directory
	accounts  map[string]*use
	counts    int64 // of accounts that began
	site      Site
	starts    map[string]int64 // of the sources' processes
	followed  bool             // a hub has told of others
	noted     clock.Millis     // when rates were noted last

	// silentPart is the part of the silent sources' daemons that nobody else speaks for.
	silentPart float64
	late       []string // sources that are heard, but whose next word is overdue
}

// New returns a ledger without use, of a daemon that starts now.
func New(now clock.Millis, tolerance Tolerance) *Ledger {
	ledger := &Ledger{started: now, accounts: make(map[string]*use), starts: make(map[string]int64)}
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

// SetLimits replaces the limits. What was used before counts on.
func (ledger *Ledger) SetLimits(now clock.Millis, limits *account.Directory) {
	for name, used := range ledger.accounts {
		ledger.advance(now, used, ledger.limits.Limit(name))
	}
	ledger.limits = limits
	for name, used := range ledger.accounts {
		ledger.advance(now, used, limits.Limit(name))
	}
}

// SetSite replaces what is known of the other daemons.
func (ledger *Ledger) SetSite(now clock.Millis, site Site) {
	if !site.parts(ledger.site) {
		for name, used := range ledger.accounts {
			ledger.advance(now, used, ledger.limits.Limit(name))
		}
	}
	fewer := site.missing() > ledger.site.missing()
	ledger.site = site
	ledger.silentPart = site.silentPart()
	ledger.late = site.late(now)
	if fewer {
		ledger.partLevels(now)
	}
	ledger.note(now)
}

// Site returns what is known of the other daemons.
func (ledger *Ledger) Site() Site {
	return ledger.site
}

// Decision says whether a request is within its account's limit, and by what.
type Decision struct {
	Allowed    bool
	RetryAfter clock.Millis // when there will be room, if it is not
	Cost       float64      // units
	Left       float64      // units before the request
	Rate       float64      // units a second that the daemons that are heard may use
	Reached    int          // daemons that are counted together
	Daemons    int          // of the site
}

// Take takes the units of a request, if there is room for them.
func (ledger *Ledger) Take(now clock.Millis, name string, cost float64) Decision {
	limit := ledger.limits.Limit(name)
	if !limit.Limited() {
		return Decision{Allowed: true, Cost: cost}
	}
	used := ledger.of(now, name, limit)
	parted := ledger.advance(now, used, limit)
	decision := Decision{
		Cost: cost, Left: used.level, Rate: parted.reached(),
		Reached: ledger.site.Reached, Daemons: ledger.site.Daemons,
	}
	need := ledger.need(cost, parted)
	decision.Allowed = used.level >= need
	if !decision.Allowed {
		decision.RetryAfter = ledger.wait(need-used.level, decision.Rate)
		return decision
	}
	ledger.admit(now, used, cost)
	return decision
}

// need is what must be left for a request. One that is larger than the bucket needs a
// full one; but not where a daemon counts alone, as there each of many would admit it.
func (ledger *Ledger) need(cost float64, parted part) float64 {
	if ledger.alone() {
		return cost
	}
	return min(cost, parted.depth)
}

// Waits of refused callers. The longest leaves room for a raised limit. One that is
// refused by a daemon that hears no other soon comes to another.
const (
	leastWait = 100 * clock.Millisecond
	aloneWait = 500 * clock.Millisecond
	mostWait  = 5 * clock.Second
)

// wait is how long units take to flow in.
func (ledger *Ledger) wait(units, rate float64) clock.Millis {
	if ledger.alone() {
		return aloneWait
	}
	if rate <= 0 {
		return mostWait
	}
	millis := clock.Millis(math.Ceil(units / rate * float64(clock.Second)))
	return min(max(leastWait, millis), mostWait)
}

func (ledger *Ledger) admit(now clock.Millis, used *use, units float64) {
	used.level -= units
	used.own.add(now, units)
	used.group.add(now, units)
	used.all.add(now, units)
}

// Return gives back the units of a request that no server ran.
func (ledger *Ledger) Return(now clock.Millis, name string, cost float64) {
	used, ok := ledger.accounts[name]
	if !ok {
		return
	}
	ledger.advance(now, used, ledger.limits.Limit(name))
	ledger.admit(now, used, -cost)
}

// startShare is the part of the slack that an account has left when a daemon that starts
// first hears of it: what was used before, at the site, is not known.
const startShare = 0.25

// of returns the use of an account. One that has not been used has its whole share left,
// or less while the window reaches back to before the start.
func (ledger *Ledger) of(now clock.Millis, name string, limit account.Limit) *use {
	used, ok := ledger.accounts[name]
	if !ok {
		ledger.counts++
		used = &use{number: ledger.counts, at: now, sources: make(map[string]*share)}
		used.level = ledger.partOf(used, limit).depth
		if now-ledger.started < ledger.tolerance.Window {
			used.level = min(used.level, limit.Burst+startShare*ledger.tolerance.Slack)
		}
		ledger.accounts[name] = used
	}
	return used
}

// Limited reports whether any account has a limit.
func (ledger *Ledger) Limited() bool {
	return ledger.limits.Limited()
}

// Prune forgets accounts that have not been used for the window and have their whole
// share left.
func (ledger *Ledger) Prune(now clock.Millis) {
	for name, used := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		parted := ledger.advance(now, used, limit)
		idle := used.all.recent.faded(now) < 1 && used.level >= parted.depth
		if !limit.Limited() || idle {
			delete(ledger.accounts, name)
		}
	}
}

// Status is the use of an account as this daemon knows it.
type Status struct {
	Account string
	Rate    float64 // units a second of late, by all daemons
	Limit   float64 // units a second
	Left    float64 // units
}

// Statuses returns the accounts in use, so many at most, those that use most of their
// limits first.
func (ledger *Ledger) Statuses(now clock.Millis, most int) []Status {
	statuses := make([]Status, 0, len(ledger.accounts))
	for name, used := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		ledger.advance(now, used, limit)
		statuses = append(statuses, Status{Account: name, Rate: used.all.recent.rate(now), Limit: limit.Rate, Left: used.level})
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Rate*a.Limit, a.Rate*b.Limit), cmp.Compare(a.Account, b.Account))
	})
	return statuses[:min(most, len(statuses))]
}
