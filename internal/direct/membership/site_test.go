package membership_test

import (
	"fmt"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/topology"
)

// Times of a drawn site.
const (
	step     = 100 * clock.Millisecond // between two looks of a daemon
	interval = 500 * clock.Millisecond // between two words over a connection
	lease    = 3 * clock.Second
)

// daemon is a daemon of a drawn site.
type daemon struct {
	*membership.Membership
	claims  *claims.Registry
	self    topology.Daemon
	down    bool
	asleep  clock.Millis // until
	cut     bool         // hears nobody and is not heard
	began   clock.Millis // runs undisturbed since
	told    map[string]int64
	toldAt  map[string]clock.Millis
	seeds   []string
	started clock.Millis
}

// site is a number of daemons that hear each other over the connections that their
// memberships keep. It counts connections and words.
type site struct {
	now         clock.Millis
	daemons     map[string]*daemon
	order       []string
	servers     []string
	open        map[string]map[string]bool // connections, by who opened them and to whom
	connections int
	words       int
	records     int
	options     claims.Options
	last        map[string]given // the last order to each server
	wrong       string           // the first broken rule
}

// given is an order to a server.
type given struct {
	daemon string
	at     clock.Millis
	steady bool // its daemon had run undisturbed for a lease
}

// newSite returns a site of daemons in some data centres that have not started.
func newSite(count, dataCentres, servers int) *site {
	site := &site{
		now: 1_000_000, daemons: make(map[string]*daemon), open: make(map[string]map[string]bool),
		options: claims.DefaultOptions(lease, true), last: make(map[string]given),
	}
	for i := range count {
		self := topology.Daemon{Name: fmt.Sprint("d", i), Address: fmt.Sprint("a", i), DataCentre: fmt.Sprint("dc", i%dataCentres), Capacity: 200}
		if i/dataCentres < 3 {
			self.Capacity = 800
		}
		site.daemons[self.Name] = &daemon{self: self, down: true}
		site.open[self.Name] = make(map[string]bool)
		site.order = append(site.order, self.Name)
	}
	for i := range servers {
		site.servers = append(site.servers, fmt.Sprint("s", i))
	}
	return site
}

// start starts a daemon anew.
func (site *site) start(name string, seeds ...string) {
	before := site.daemons[name]
	began := &daemon{
		self: before.self, began: site.now, started: site.now, seeds: seeds,
		told: make(map[string]int64), toldAt: make(map[string]clock.Millis),
		claims: claims.New(site.options, name, site.now, func() clock.Millis { return site.now }),
	}
	began.Membership = membership.New(membership.DefaultOptions(), began.self, site.now, int64(site.now), len(seeds) > 0)
	site.daemons[name] = began
	site.drop(name)
}

func (site *site) kill(name string) {
	site.daemons[name].down = true
	site.drop(name)
}

// drop breaks the connections of a daemon.
func (site *site) drop(name string) {
	site.open[name] = make(map[string]bool)
	for _, others := range site.open {
		delete(others, name)
	}
}

func (site *site) reaches(from, to *daemon) bool {
	return !from.down && !to.down && !from.cut && !to.cut && site.now >= from.asleep && site.now >= to.asleep
}

// run lets time pass.
func (site *site) run(span clock.Millis) {
	for end := site.now + span; site.now < end; {
		site.now += step
		for _, name := range site.order {
			if at := site.daemons[name]; !at.down && site.now >= at.asleep {
				site.act(at)
			}
		}
	}
}

// act has a daemon do what it does each step.
func (site *site) act(at *daemon) {
	at.claims.Tick(site.now)
	for _, name := range at.Tick(site.now) {
		at.claims.Left(site.now, name)
	}
	changed, promoted := at.UpdateRole(site.now, len(at.claims.Claims(site.now)) > 0)
	if promoted {
		at.claims.Promoted(site.now)
	}
	if changed {
		at.claims.Announced(site.now)
	}
	site.connect(at)
	for _, to := range site.connected(at) {
		if site.now-at.toldAt[to] >= interval {
			site.tell(at, site.daemons[to])
		}
	}
	site.claim(at)
}

// connect opens the connections that a daemon wants, and closes the others.
func (site *site) connect(at *daemon) {
	wanted := make(map[string]bool)
	for _, linked := range at.Links(site.now) {
		wanted[linked.Name] = true
	}
	if at.Plan().Mesh || at.Role() != topology.Member || at.Plan().Hub == "" {
		for _, seed := range at.seeds {
			wanted[seed] = seed != at.self.Name
		}
	}
	for _, to := range site.connected(at) {
		cutOff := !site.reaches(at, site.daemons[to]) && site.daemons[to].cut != at.cut
		if !wanted[to] || cutOff {
			delete(site.open[at.self.Name], to)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(wanted)) {
		if !wanted[to] || site.open[at.self.Name][to] || !site.reaches(at, site.daemons[to]) {
			continue
		}
		site.open[at.self.Name][to] = true
		site.connections++
		delete(at.told, to)
		site.tell(at, site.daemons[to])
	}
}

// connected returns the daemons that one has opened a connection to.
func (site *site) connected(at *daemon) []string {
	return slices.Sorted(maps.Keys(site.open[at.self.Name]))
}

// tell says a daemon's word to another one.
func (site *site) tell(from, to *daemon) {
	from.toldAt[to.self.Name] = site.now
	word := from.Status()
	word.Interval = interval
	word.Wants = from.Wants(to.self.Name) || slices.Contains(from.seeds, to.self.Name)
	word.Orderers = from.Orderers()
	var news []membership.Record
	news, from.told[to.self.Name] = from.RecordsSince(from.told[to.self.Name])
	site.words++
	site.records += len(news)
	if !site.reaches(from, to) {
		return
	}
	finding := to.ApplyStatus(site.now, word)
	to.Merge(news)
	if peer, heard := from.Peer(to.self.Name); word.Role.SendsOrders() && (!heard || peer.Role.SendsOrders() || from.InPlan(to.self.Name)) {
		to.claims.ApplyHeartbeat(site.now, claims.Heartbeat{
			Peer: from.self.Name, Interval: interval, Claims: from.claims.Claims(site.now), Orderers: from.Orderers(), Idle: word.Role != topology.Candidate,
		})
	}
	if finding.Left {
		to.claims.Left(site.now, from.self.Name)
	}
}

// claim has a daemon claim servers and order those that it may.
func (site *site) claim(at *daemon) {
	if at.Role() == topology.Candidate && len(at.claims.Claim(site.now, site.servers)) > 0 {
		for _, to := range site.connected(at) {
			site.tell(at, site.daemons[to])
		}
	}
	steady := site.now-at.began >= lease
	for _, server := range site.servers {
		if _, may := at.claims.MayOrder(site.now, server); !may {
			continue
		}
		at.claims.Ordered(site.now, server)
		before, ok := site.last[server]
		if ok && before.daemon != at.self.Name && steady && before.steady && site.now-before.at < lease && site.wrong == "" {
			site.wrong = fmt.Sprintf("%d: %s and %s order %s within %d ms", site.now, before.daemon, at.self.Name, server, site.now-before.at)
		}
		site.last[server] = given{daemon: at.self.Name, at: site.now, steady: steady}
	}
}

// hubless returns the running daemons that neither have a hub nor add up themselves.
func (site *site) hubless() []string {
	var names []string
	for _, name := range site.order {
		at := site.daemons[name]
		if at.down {
			continue
		}
		hub, ok := site.daemons[at.Plan().Hub]
		if at.Plan().Hub == "" && at.Role() != topology.Candidate || ok && (hub.down || hub.Plan().Hub != "") {
			names = append(names, name)
		}
	}
	return names
}

// candidates returns the running candidates.
func (site *site) candidates() []string {
	var names []string
	for _, name := range site.order {
		if at := site.daemons[name]; !at.down && at.Role() == topology.Candidate {
			names = append(names, name)
		}
	}
	return names
}

// unowned returns how many servers got no order within a span.
func (site *site) unowned(span clock.Millis) int {
	count := 0
	for _, server := range site.servers {
		if site.now-site.last[server].at > span {
			count++
		}
	}
	return count
}
