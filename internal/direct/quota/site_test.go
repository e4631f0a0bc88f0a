package quota_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
	"teaselmoor/internal/direct/quota"
)

// Intervals of the simulated sites: those of real daemons, rounded to steps.
const (
	stepSpan       = 10 * clock.Millisecond
	reportSpan     = 50 * clock.Millisecond
	fullReportSpan = 250 * clock.Millisecond
)

const caller = "payroll"

// site simulates daemons that share the limit of an account, in virtual time. Sites of up to
// maxMeshDaemons daemons are a mesh; larger ones have hubs.
type site struct {
	random    *rand.Rand
	strategy  strategy
	now       clock.Millis
	limit     account.Limit
	tolerance quota.Tolerance
	daemons   []*daemon
	cut       map[int]bool // isolated daemons
	admitted  []admission
	asked     float64 // units
	refused   float64 // units refused, of those asked for
	reports   int     // sent
	readings  int
	reserve   float64           // share of the depth, of each ledger
	rank      func() quota.Rank // of the next request
}

// strategy is how daemons enforce a limit.
type strategy int

const (
	counted          strategy = iota
	equalShares               // each daemon has an equal share; no reports
	fullLimitEach             // each daemon has the whole limit; no reports
	fullLimitPerSide          // counted, but each side of a partition has the whole limit
)

type admission struct {
	at       clock.Millis
	units    float64
	position int // of the request's rank
}

const maxMeshDaemons = 12

type daemon struct {
	number, hub int // hub is the daemon's own number for a hub, -1 in a mesh
	incarnation int64
	startedAt   clock.Millis
	ledger      *quota.Ledger
	sent        map[int]quota.SentTotals
	reportedAt  map[int]clock.Millis // when the last report of each peer arrived
	reached     map[int]int          // daemons that the last report of each peer covered
	down        bool
	admitted    float64
}

func newSite(seed uint64, count int, limit account.Limit, tolerance quota.Tolerance) *site {
	site := &site{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, tolerance: tolerance, cut: make(map[int]bool), now: 1000, rank: func() quota.Rank { return quota.Rank{} }}
	for number := range count {
		site.daemons = append(site.daemons, &daemon{number: number, hub: hubOf(number, count)})
	}
	for _, each := range site.daemons {
		site.start(each)
	}
	return site
}

// hubOf returns the hub of a daemon: every eighth daemon is one.
func hubOf(number, count int) int {
	if count <= maxMeshDaemons {
		return -1
	}
	return number - number%8
}

func (site *site) directory() *account.Directory {
	directory, err := account.New([]account.Entry{{Account: account.Account{Name: caller, Limit: site.limit}}})
	if err != nil {
		panic(err)
	}
	return directory
}

// start starts or restarts a daemon.
func (site *site) start(each *daemon) {
	each.incarnation++
	each.startedAt = site.now
	each.down = false
	each.ledger = quota.New(site.now, site.tolerance)
	each.ledger.SetReserveShare(site.reserve)
	each.ledger.SetLimits(site.now, site.directory())
	each.sent = make(map[int]quota.SentTotals)
	each.reportedAt = make(map[int]clock.Millis)
	each.reached = make(map[int]int)
	for _, other := range site.daemons {
		delete(other.sent, each.number)
	}
}

func (site *site) setLimit(limit account.Limit) {
	site.limit = limit
	for _, each := range site.daemons {
		each.ledger.SetLimits(site.now, site.directory())
	}
}

// connected reports whether two daemons reach each other now.
func (site *site) connected(a, b *daemon) bool {
	return !a.down && !b.down && !site.cut[a.number] && !site.cut[b.number]
}

// targets returns the daemons that a daemon reports to, with the scope of each report.
func (site *site) targets(from *daemon) map[*daemon]quota.Scope {
	targets := make(map[*daemon]quota.Scope)
	for _, to := range site.daemons {
		switch {
		case to == from:
		case from.hub < 0 || from.hub != from.number && from.hub == to.number:
			targets[to] = quota.Own
		case from.hub == from.number && to.hub == to.number:
			targets[to] = quota.Group
		case from.hub == from.number && to.hub == from.number:
			targets[to] = quota.Others
		}
	}
	return targets
}

// live reports whether the last report of another daemon is recent enough.
func (site *site) live(each *daemon, other int) bool {
	at, ok := each.reportedAt[other]
	return ok && site.now-at < quota.SourceTimeout
}

// view returns what a daemon knows of the others.
func (site *site) view(each *daemon) quota.Site {
	view := quota.Site{Daemons: len(site.daemons), Reached: 1, Sources: make(map[string]quota.Source)}
	switch site.strategy {
	case equalShares:
		return view
	case fullLimitEach:
		return quota.Site{Daemons: 1, Reached: 1}
	case fullLimitPerSide:
		return quota.Site{Daemons: len(site.daemons), Reached: len(site.daemons)}
	}
	if len(each.reportedAt) == 0 {
		view.Daemons = 64
	}
	for other, at := range each.reportedAt {
		live := site.live(each, other)
		covers := max(1, each.reached[other])
		if each.hub == each.number && site.daemons[other].hub == each.number {
			covers = 1
		}
		view.Sources[fmt.Sprint(other)] = quota.Source{Live: live, LastReportAt: at, Daemons: covers}
		if live {
			view.Reached += covers
		}
	}
	if each.hub >= 0 && each.hub != each.number && site.live(each, each.hub) {
		view.Reached = each.reached[each.hub]
	}
	return view
}

// covers returns the number of daemons that a report of a daemon in a scope covers.
func (site *site) covers(each *daemon, scope quota.Scope) int {
	switch scope {
	case quota.Own:
		return 1
	case quota.Others:
		return site.view(each).Reached
	}
	count := 1
	for _, member := range site.daemons {
		if member != each && member.hub == each.number && site.live(each, member.number) {
			count++
		}
	}
	return count
}

// report sends the reports of a daemon to all its targets.
func (site *site) report(from *daemon) {
	if site.strategy == equalShares || site.strategy == fullLimitEach {
		return
	}
	for to, scope := range site.targets(from) {
		sent, ok := from.sent[to.number]
		if !ok {
			sent = make(quota.SentTotals)
			from.sent[to.number] = sent
		}
		sharers := map[quota.Scope]int{quota.Own: len(site.daemons), quota.Group: len(site.daemons)/8 + 1, quota.Others: 4}[scope]
		if site.now%fullReportSpan == 0 {
			sharers = 0
		}
		report := quota.Report{
			Scope: scope, Incarnation: from.incarnation, Daemons: site.covers(from, scope),
			Readings: from.ledger.UnsentReadings(site.now, scope, fmt.Sprint(to.number), sent, sharers),
		}
		if !site.connected(from, to) {
			if len(report.Readings) > 0 {
				delete(from.sent, to.number) // the connection breaks and loses what was in flight
			}
			continue
		}
		site.reports++
		site.readings += len(report.Readings)
		to.reportedAt[from.number] = site.now
		to.reached[from.number] = report.Daemons
		to.ledger.ApplyReport(site.now, fmt.Sprint(from.number), report, true)
	}
}

// maxAdapterWait bounds how long an admitted request waits for its adapter.
const maxAdapterWait = 1500 * clock.Millisecond

// adapterWait returns how long a request waits until it runs: one in four needs an adapter
// that is not loaded yet.
func (site *site) adapterWait() clock.Millis {
	if site.random.IntN(4) > 0 {
		return 0
	}
	return clock.Millis(site.random.IntN(int(maxAdapterWait)))
}

// request sends a daemon a request that costs the given units.
func (site *site) request(each *daemon, units float64) {
	site.asked += units
	if each.down {
		return
	}
	rank := site.rank()
	if !each.ledger.Take(site.now, caller, units, rank).Allowed {
		site.refused += units
		return
	}
	each.admitted += units
	site.admitted = append(site.admitted, admission{site.now + site.adapterWait(), units, rank.Position})
}

// run advances time by span while callers ask for perSecond units a second, in requests of
// about the given units, spread over the daemons by weight.
func (site *site) run(span clock.Millis, perSecond, request float64, weights []float64) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	for end := site.now + span; site.now < end; site.now += stepSpan {
		for _, each := range site.daemons {
			if site.now%reportSpan == 0 && !each.down {
				each.ledger.SetSite(site.now, site.view(each))
				site.report(each)
			}
			chance := perSecond / request * stepSpan.Seconds() * weights[each.number] / total
			for ; chance > 0 && site.random.Float64() < chance; chance-- {
				site.request(each, request*(0.5+site.random.Float64()))
			}
		}
	}
}

// worst returns the most units that began to run in any window that begins at from or later.
func (site *site) worst(from clock.Millis) float64 {
	slices.SortFunc(site.admitted, func(a, b admission) int { return cmp.Compare(a.at, b.at) })
	worst, within, first := 0.0, 0.0, 0
	for _, each := range site.admitted {
		within += each.units
		for site.admitted[first].at <= each.at-site.tolerance.Window {
			within -= site.admitted[first].units
			first++
		}
		if each.at-site.tolerance.Window >= from {
			worst = max(worst, within)
		}
	}
	return worst
}

// bound returns the units that may be admitted in a window.
func (site *site) bound() float64 {
	return (site.limit.Rate*site.tolerance.Window.Seconds()+site.limit.Burst)*(1+site.tolerance.Over) + site.tolerance.Slack
}
