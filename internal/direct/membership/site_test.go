package membership_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/topology"
)

// Times of a simulated site.
const (
	step     = 100 * clock.Millisecond // between two steps of a daemon
	interval = 500 * clock.Millisecond // between two reports over a connection
	lease    = 3 * clock.Second
)

// daemon is a daemon of a simulated site.
type daemon struct {
	*membership.Membership
	claims           *claims.Registry
	self             topology.Daemon
	down             bool
	suspendedUntil   clock.Millis
	partitioned      bool         // neither receives nor reaches other daemons
	undisturbedSince clock.Millis // since when it has run without pauses and partitions
	sentChanges      map[string]int64
	sentAt           map[string]clock.Millis
	seeds            []string
	started          clock.Millis
}

// site simulates daemons that report to each other over the connections that Links returns.
// It counts connections, reports and records.
type site struct {
	now         clock.Millis
	daemons     map[string]*daemon
	order       []string
	servers     []string
	connectedTo map[string]map[string]bool // open connections, by opener and target
	connections int
	reports     int
	records     int
	options     claims.Options
	lastOrders  map[string]sentOrder // by server
	violation   string               // the first violated rule; empty: none
}

// sentOrder is an order sent to a server.
type sentOrder struct {
	daemon string
	at     clock.Millis
	steady bool // its daemon had run undisturbed for a lease
}

// newSite returns a site of daemons in a number of data centres, none of them started.
func newSite(count, dataCentres, servers int) *site {
	site := &site{
		now: 1_000_000, daemons: make(map[string]*daemon), connectedTo: make(map[string]map[string]bool),
		options: claims.DefaultOptions(lease, true), lastOrders: make(map[string]sentOrder),
	}
	for i := range count {
		self := topology.Daemon{Name: fmt.Sprint("d", i), Address: fmt.Sprint("a", i), DataCentre: fmt.Sprint("dc", i%dataCentres), Capacity: 200}
		if i/dataCentres < 3 {
			self.Capacity = 800
		}
		site.daemons[self.Name] = &daemon{self: self, down: true}
		site.connectedTo[self.Name] = make(map[string]bool)
		site.order = append(site.order, self.Name)
	}
	for i := range servers {
		site.servers = append(site.servers, fmt.Sprint("s", i))
	}
	return site
}

// start starts or restarts a daemon.
func (site *site) start(name string, seeds ...string) {
	before := site.daemons[name]
	restarted := &daemon{
		self: before.self, undisturbedSince: site.now, started: site.now, seeds: seeds,
		sentChanges: make(map[string]int64), sentAt: make(map[string]clock.Millis),
		claims: claims.New(site.options, name, site.now, func() clock.Millis { return site.now }, rand.New(rand.NewPCG(uint64(site.now), xxhash.Sum64String(name)))),
	}
	restarted.Membership = membership.New(membership.DefaultOptions(), restarted.self, site.now, int64(site.now), len(seeds) > 0)
	site.daemons[name] = restarted
	site.disconnect(name)
}

func (site *site) kill(name string) {
	site.daemons[name].down = true
	site.disconnect(name)
}

// disconnect closes all connections of a daemon.
func (site *site) disconnect(name string) {
	site.connectedTo[name] = make(map[string]bool)
	for _, others := range site.connectedTo {
		delete(others, name)
	}
}

func (site *site) connects(from, to *daemon) bool {
	return !from.down && !to.down && !from.partitioned && !to.partitioned && site.now >= from.suspendedUntil && site.now >= to.suspendedUntil
}

// run simulates a duration.
func (site *site) run(duration clock.Millis) {
	for end := site.now + duration; site.now < end; {
		site.now += step
		for _, name := range site.order {
			if daemon := site.daemons[name]; !daemon.down && site.now >= daemon.suspendedUntil {
				site.runStep(daemon)
			}
		}
	}
}

// runStep runs one step of a daemon.
func (site *site) runStep(daemon *daemon) {
	daemon.claims.Tick(site.now)
	for _, name := range daemon.Tick(site.now) {
		daemon.claims.Left(site.now, name)
	}
	changed, promoted := daemon.UpdateRole(site.now, len(daemon.claims.Claims(site.now)) > 0)
	if promoted {
		daemon.claims.Promoted(site.now)
	}
	if changed {
		daemon.claims.Announced(site.now)
	}
	site.connect(daemon)
	for _, to := range site.openConnections(daemon) {
		if site.now-daemon.sentAt[to] >= interval {
			site.report(daemon, site.daemons[to])
		}
	}
	site.claim(daemon)
}

// connect opens the connections that a daemon wants, and closes the others.
func (site *site) connect(daemon *daemon) {
	wanted := make(map[string]bool)
	for _, linked := range daemon.Links(site.now) {
		wanted[linked.Name] = true
	}
	if daemon.Plan().Mesh || daemon.Role() != topology.Member || daemon.Plan().Hub == "" {
		for _, seed := range daemon.seeds {
			wanted[seed] = seed != daemon.self.Name
		}
	}
	for _, to := range site.openConnections(daemon) {
		unreachable := !site.connects(daemon, site.daemons[to]) && site.daemons[to].partitioned != daemon.partitioned
		if !wanted[to] || unreachable {
			delete(site.connectedTo[daemon.self.Name], to)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(wanted)) {
		if !wanted[to] || site.connectedTo[daemon.self.Name][to] || !site.connects(daemon, site.daemons[to]) {
			continue
		}
		site.connectedTo[daemon.self.Name][to] = true
		site.connections++
		delete(daemon.sentChanges, to)
		site.report(daemon, site.daemons[to])
	}
}

// openConnections returns the daemons that a daemon has opened a connection to.
func (site *site) openConnections(daemon *daemon) []string {
	return slices.Sorted(maps.Keys(site.connectedTo[daemon.self.Name]))
}

// report sends a daemon's status, changed records and claims to another one.
func (site *site) report(from, to *daemon) {
	from.sentAt[to.self.Name] = site.now
	status := from.Status()
	status.Interval = interval
	status.WantsConnection = from.WantsConnection(to.self.Name) || slices.Contains(from.seeds, to.self.Name)
	status.OrderSenders = from.OrderSenders()
	var changed []membership.Record
	changed, from.sentChanges[to.self.Name] = from.RecordsSince(from.sentChanges[to.self.Name])
	site.reports++
	site.records += len(changed)
	if !site.connects(from, to) {
		return
	}
	change := to.ApplyStatus(site.now, status)
	to.Merge(changed)
	if peer, known := from.Peer(to.self.Name); status.Role.SendsOrders() && (!known || peer.Role.SendsOrders() || from.InPlan(to.self.Name)) {
		to.claims.ApplyHeartbeat(site.now, claims.Heartbeat{
			Peer: from.self.Name, Interval: interval, Claims: from.claims.Claims(site.now), OrderSenders: from.OrderSenders(), Idle: status.Role != topology.Candidate,
		})
	}
	if change.Left {
		to.claims.Left(site.now, from.self.Name)
	}
}

// claim lets a daemon claim servers and send orders wherever it may.
func (site *site) claim(daemon *daemon) {
	if daemon.Role() == topology.Candidate && len(daemon.claims.Claim(site.now, site.servers)) > 0 {
		for _, to := range site.openConnections(daemon) {
			site.report(daemon, site.daemons[to])
		}
	}
	steady := site.now-daemon.undisturbedSince >= lease
	for _, server := range site.servers {
		if _, may := daemon.claims.MayOrder(site.now, server); !may {
			continue
		}
		daemon.claims.Ordered(site.now, server)
		before, ok := site.lastOrders[server]
		if ok && before.daemon != daemon.self.Name && steady && before.steady && site.now-before.at < lease && site.violation == "" {
			site.violation = fmt.Sprintf("%d: %s and %s order %s within %d ms", site.now, before.daemon, daemon.self.Name, server, site.now-before.at)
		}
		site.lastOrders[server] = sentOrder{daemon: daemon.self.Name, at: site.now, steady: steady}
	}
}

// withoutHub returns the running daemons that neither have a working hub nor aggregate load
// themselves.
func (site *site) withoutHub() []string {
	var names []string
	for _, name := range site.order {
		daemon := site.daemons[name]
		if daemon.down {
			continue
		}
		hub, ok := site.daemons[daemon.Plan().Hub]
		if daemon.Plan().Hub == "" && daemon.Role() != topology.Candidate || ok && (hub.down || hub.Plan().Hub != "") {
			names = append(names, name)
		}
	}
	return names
}

// candidates returns the running candidates.
func (site *site) candidates() []string {
	var names []string
	for _, name := range site.order {
		if daemon := site.daemons[name]; !daemon.down && daemon.Role() == topology.Candidate {
			names = append(names, name)
		}
	}
	return names
}

// serversWithoutOrders returns how many servers received no order within a duration before now.
func (site *site) serversWithoutOrders(duration clock.Millis) int {
	count := 0
	for _, server := range site.servers {
		if site.now-site.lastOrders[server].at > duration {
			count++
		}
	}
	return count
}
