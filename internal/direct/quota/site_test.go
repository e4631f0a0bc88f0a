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

// Times of the drawn sites: those of the daemons, rounded to steps.
const (
	stepSpan = 10 * clock.Millisecond
	tellSpan = 50 * clock.Millisecond
	allSpan  = 250 * clock.Millisecond
)

const caller = "payroll"

// site is daemons that share the limit of an account, at virtual time. Sites of up to
// meshLimit daemons are a mesh; in larger ones some daemons are hubs.
type site struct {
	random    *rand.Rand
	way       way
	now       clock.Millis
	limit     account.Limit
	tolerance quota.Tolerance
	daemons   []*daemon
	cut       map[int]bool // daemons that no other one hears
	admitted  []admission
	asked     float64
	refused   float64 // of it, in units
	words     int     // told
	readings  int
}

// way is how daemons keep to a limit.
type way int

const (
	counted    way = iota
	equalParts     // each its part by the number of daemons, and nothing is told
	eachForAll     // each the whole limit, and nothing is told
	notParted      // counted, but a side that is cut off takes the whole limit
)

type admission struct {
	at    clock.Millis
	units float64
}

const meshLimit = 12

type daemon struct {
	number, hub int // hub: its own number for a hub, -1 in a mesh
	born        int64
	startedAt   clock.Millis
	ledger      *quota.Ledger
	told        map[int]quota.SentTotals
	heardAt     map[int]clock.Millis
	reached     map[int]int // daemons that each peer said it counts with
	down        bool
	admitted    float64
}

func newSite(seed uint64, count int, limit account.Limit, tolerance quota.Tolerance) *site {
	site := &site{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, tolerance: tolerance, cut: make(map[int]bool), now: 1000}
	for number := range count {
		site.daemons = append(site.daemons, &daemon{number: number, hub: hubOf(number, count)})
	}
	for _, each := range site.daemons {
		site.start(each)
	}
	return site
}

// hubOf has every eighth daemon be a hub.
func hubOf(number, count int) int {
	if count <= meshLimit {
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

func (site *site) start(each *daemon) {
	each.born++
	each.startedAt = site.now
	each.down = false
	each.ledger = quota.New(site.now, site.tolerance)
	each.ledger.SetLimits(site.now, site.directory())
	each.told = make(map[int]quota.SentTotals)
	each.heardAt = make(map[int]clock.Millis)
	each.reached = make(map[int]int)
	for _, other := range site.daemons {
		delete(other.told, each.number)
	}
}

func (site *site) setLimit(limit account.Limit) {
	site.limit = limit
	for _, each := range site.daemons {
		each.ledger.SetLimits(site.now, site.directory())
	}
}

// connected reports whether two daemons hear each other now.
func (site *site) connected(a, b *daemon) bool {
	return !a.down && !b.down && !site.cut[a.number] && !site.cut[b.number]
}

// targets returns whom a daemon tells, and the scope.
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

func (site *site) live(each *daemon, other int) bool {
	at, ok := each.heardAt[other]
	return ok && site.now-at < quota.SourceTimeout
}

// view is what a daemon knows of the others.
func (site *site) view(each *daemon) quota.Site {
	view := quota.Site{Daemons: len(site.daemons), Reached: 1, Sources: make(map[string]quota.Source)}
	switch site.way {
	case equalParts:
		return view
	case eachForAll:
		return quota.Site{Daemons: 1, Reached: 1}
	case notParted:
		return quota.Site{Daemons: len(site.daemons), Reached: len(site.daemons)}
	}
	if len(each.heardAt) == 0 {
		view.Daemons = 64
	}
	for other, at := range each.heardAt {
		live := site.live(each, other)
		speaksFor := max(1, each.reached[other])
		if each.hub == each.number && site.daemons[other].hub == each.number {
			speaksFor = 1
		}
		view.Sources[fmt.Sprint(other)] = quota.Source{Live: live, LastReportAt: at, Daemons: speaksFor}
		if live {
			view.Reached += speaksFor
		}
	}
	if each.hub >= 0 && each.hub != each.number && site.live(each, each.hub) {
		view.Reached = each.reached[each.hub]
	}
	return view
}

// speaksFor is the number of daemons that a word of a daemon in a scope counts for.
func (site *site) speaksFor(each *daemon, scope quota.Scope) int {
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

func (site *site) tell(from *daemon) {
	if site.way == equalParts || site.way == eachForAll {
		return
	}
	for to, scope := range site.targets(from) {
		told, ok := from.told[to.number]
		if !ok {
			told = make(quota.SentTotals)
			from.told[to.number] = told
		}
		sharers := map[quota.Scope]int{quota.Own: len(site.daemons), quota.Group: len(site.daemons)/8 + 1, quota.Others: 4}[scope]
		if site.now%allSpan == 0 {
			sharers = 0
		}
		word := quota.Report{
			Scope: scope, Incarnation: from.born, Daemons: site.speaksFor(from, scope),
			Readings: from.ledger.UnsentReadings(site.now, scope, fmt.Sprint(to.number), told, sharers),
		}
		if !site.connected(from, to) {
			if len(word.Readings) > 0 {
				delete(from.told, to.number) // the connection ends with what was under way
			}
			continue
		}
		site.words++
		site.readings += len(word.Readings)
		to.heardAt[from.number] = site.now
		to.reached[from.number] = word.Daemons
		to.ledger.ApplyReport(site.now, fmt.Sprint(from.number), word, true)
	}
}

// longestWait is how long a request that was admitted waits for its adapter at most.
const longestWait = 1500 * clock.Millisecond

// waits is how long a request waits until it runs: one in four has no adapter yet.
func (site *site) waits() clock.Millis {
	if site.random.IntN(4) > 0 {
		return 0
	}
	return clock.Millis(site.random.IntN(int(longestWait)))
}

// ask has callers ask a daemon for units.
func (site *site) ask(each *daemon, units float64) {
	site.asked += units
	if each.down {
		return
	}
	if !each.ledger.Take(site.now, caller, units).Allowed {
		site.refused += units
		return
	}
	each.admitted += units
	site.admitted = append(site.admitted, admission{site.now + site.waits(), units})
}

// run lets time pass while callers ask for units a second, in requests of about so many
// units, at daemons by weight.
func (site *site) run(span clock.Millis, perSecond, request float64, weights []float64) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	for end := site.now + span; site.now < end; site.now += stepSpan {
		for _, each := range site.daemons {
			if site.now%tellSpan == 0 && !each.down {
				each.ledger.SetSite(site.now, site.view(each))
				site.tell(each)
			}
			chance := perSecond / request * stepSpan.Seconds() * weights[each.number] / total
			for ; chance > 0 && site.random.Float64() < chance; chance-- {
				site.ask(each, request*(0.5+site.random.Float64()))
			}
		}
	}
}

// worst returns the most units that began to run in a window from a time on.
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

// bound returns what may be admitted in a window.
func (site *site) bound() float64 {
	return (site.limit.Rate*site.tolerance.Window.Seconds()+site.limit.Burst)*(1+site.tolerance.Over) + site.tolerance.Slack
}
