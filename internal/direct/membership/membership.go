// Package membership tracks the daemons of a site as one daemon knows them: which exist,
// which of them are live, and which to connect to. What is known about a daemon is held in a
// record, which every daemon forwards once over each connection; a newer record replaces an
// older one. The daemon's plan (role, hub and connections) is computed in package topology,
// and package claims decides who owns a server. The package does no I/O and reads no clock.
package membership

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

// State is the known state of a daemon.
type State int

// States of a daemon. The numbers are part of the wire format.
const (
	Alive   State = iota
	Leaving       // it has announced that it stops
	Gone          // a former peer of it has received nothing from it for Options.Memory
)

// Record is what daemons send each other about one daemon. Of two records of a daemon, the
// one with the later incarnation is valid, or with the higher number if they are equal.
type Record struct {
	topology.Daemon
	Incarnation int64 // time at which the process started
	Number      int64 // raised when State changes, and to refute a wrong State
	State       State
}

func (record Record) newerThan(other Record) bool {
	return cmp.Or(cmp.Compare(record.Incarnation, other.Incarnation), cmp.Compare(record.Number, other.Number)) > 0
}

// Status is what a daemon reports about itself to the daemons that it is connected to.
type Status struct {
	Record
	Role            topology.Role
	Hub             string       // the daemon chosen as hub; empty: none
	WantsConnection bool         // the sender itself wants the connection, rather than only answering
	Interval        clock.Millis // maximum time until the next report
	Era             int64        // era of the store that Revision belongs to
	Revision        int64        // store revision up to which the sender knows all changes
	Version         int64        // configuration version in force at that revision
	// OrderSenders are the daemons that may send orders, as far as the sender knows, without
	// the sender itself; nil: unchanged.
	OrderSenders []string
}

// Options holds the timing parameters of a membership.
type Options struct {
	// Usual is the report interval that Silence is based on. A daemon that reports less
	// often may be silent longer by the difference.
	Usual clock.Millis
	// Silence is how long after its last report a daemon is considered live.
	Silence clock.Millis
	// Unmet is how long a daemon may send nothing while a connection to it is kept or
	// attempted. After that it is considered silent, and the next one takes its place.
	Unmet clock.Millis
	// Retry is how long a daemon that is considered silent is left out of plans.
	Retry clock.Millis
	// Memory is how long a peer is remembered after its last report, as a daemon to
	// connect to and to wait for.
	Memory clock.Millis
	// Settle is how long after its start a daemon cannot be a candidate: at first it
	// knows few others, and would mistake a large site for a small one. It is shorter
	// than claims.Options.StartWait, the time between a start and the first claims.
	Settle clock.Millis
	// Meet is how long after the first report of any peer a daemon cannot be a candidate,
	// for the same reason.
	Meet clock.Millis
	// Alone replaces Settle for a daemon that has seeds but has received no report yet.
	Alone clock.Millis
	// Pause is the gap between two ticks beyond which the process is considered to have
	// been suspended.
	Pause clock.Millis
	// Tombstone is how long the record of a gone daemon is kept, so that an older record
	// does not restore it.
	Tombstone clock.Millis
}

// DefaultOptions returns options for daemons that report once or twice a second, over
// connections that are retried every 300 ms.
func DefaultOptions() Options {
	return Options{
		Usual: 500, Silence: 1500, Unmet: 1500, Retry: 8 * clock.Second, Memory: clock.Minute,
		Settle: 500, Meet: 300, Alone: 2 * clock.Second, Pause: 400, Tombstone: 10 * clock.Minute,
	}
}

// Peer is a daemon from which this one has received a report directly.
type Peer struct {
	Status
	LastContactAt clock.Millis // time of the last report, plus any excess of its Interval over Options.Usual
}

// aggregates reports whether the peer aggregates the load of other daemons, by its own
// report.
func (peer *Peer) aggregates() bool {
	return peer.Hub == "" && peer.Role.SendsOrders()
}

// daemonEntry is the record of another daemon, with local state.
type daemonEntry struct {
	Record
	changeNumber int64        // Membership.changeNumber at the last change
	goneSince    clock.Millis // since when the daemon is known to be gone; 0: it is not
	linkedSince  clock.Millis // since when a connection to it is kept or attempted; 0: none is
	silentUntil  clock.Millis // until when it is considered silent and left out of plans
}

// Membership is one daemon's view of the daemons of its site.
type Membership struct {
	options              Options
	self                 Record
	entries              map[string]*daemonEntry // by name, without this daemon
	peers                map[string]*Peer        // by name, daemons that have reported directly
	changeNumber         int64                   // incremented with each change of a record
	started              clock.Millis
	firstPeerAt          clock.Millis // when a report was first received from another daemon
	lastTick             clock.Millis
	plan                 topology.Plan
	planLinks            map[string]bool // names of the daemons that the plan has connections to
	reportedOrderSenders map[string]bool // daemons that may send orders according to live peers
	role                 topology.Role
	roleDecided          bool // a role was determined after the time to settle
	hasSeeds             bool // the daemon has seeds to discover others
}

// New returns the membership of a daemon that starts now and knows no other yet. The
// parameter seeded reports whether it has seeds to connect to.
func New(options Options, self topology.Daemon, now clock.Millis, incarnation int64, seeded bool) *Membership {
	membership := &Membership{
		options: options, self: Record{Daemon: self, Incarnation: incarnation}, started: now, lastTick: now, hasSeeds: seeded,
		entries: make(map[string]*daemonEntry), peers: make(map[string]*Peer),
		planLinks: make(map[string]bool), reportedOrderSenders: make(map[string]bool),
	}
	membership.changeNumber = 1 // counts its own record
	membership.plan = topology.PlanFor(self, nil, nil, false)
	return membership
}

// Self returns this daemon's own record.
func (membership *Membership) Self() Record {
	return membership.self
}

// Leave records that this daemon is stopping.
func (membership *Membership) Leave() {
	membership.self.Number++
	membership.self.State = Leaving
	membership.changeNumber++
}

// Merge applies records forwarded by a peer. It reports whether any was newer than what
// was known.
func (membership *Membership) Merge(records []Record) bool {
	changed := false
	for _, record := range records {
		changed = membership.merge(record) || changed
	}
	return changed
}

// merge applies a record if it is newer, and reports whether it was.
func (membership *Membership) merge(record Record) bool {
	if record.Name == membership.self.Name {
		membership.refute(record)
		return false
	}
	entry, ok := membership.entries[record.Name]
	if ok && !record.newerThan(entry.Record) {
		return false
	}
	if !ok {
		entry = &daemonEntry{}
		membership.entries[record.Name] = entry
	}
	if record.Incarnation > entry.Incarnation {
		entry.silentUntil = 0 // the daemon has restarted
	}
	entry.Record = record
	membership.changeNumber++
	entry.changeNumber = membership.changeNumber
	return true
}

// refute raises the number of this daemon's own record above that of a forwarded record of it
// whose state is wrong.
func (membership *Membership) refute(claimed Record) {
	if claimed.Incarnation == membership.self.Incarnation && claimed.Number >= membership.self.Number && claimed.State != membership.self.State {
		membership.self.Number = claimed.Number + 1
		membership.changeNumber++
	}
}

// StatusChange describes what a peer's report changes.
type StatusChange struct {
	Current            bool // the report is not from an earlier incarnation than the last one
	New                bool // it is the first report of the daemon, or it has restarted
	Left               bool // the daemon has just started to leave, or stopped sending orders
	HubChanged         bool // it no longer uses this daemon as its hub
	StoppedAggregating bool // it has just stopped aggregating the load of others
}

// ApplyStatus applies a report received directly from a peer.
func (membership *Membership) ApplyStatus(now clock.Millis, status Status) StatusChange {
	before, ok := membership.peers[status.Name]
	if ok && status.Incarnation < before.Incarnation {
		return StatusChange{}
	}
	if len(membership.peers) == 0 {
		membership.firstPeerAt = now
	}
	membership.merge(status.Record)
	change := StatusChange{Current: true, New: !ok || before.Incarnation != status.Incarnation}
	peer := &Peer{Status: status, LastContactAt: now + max(0, status.Interval-membership.options.Usual)}
	if !change.New && status.OrderSenders == nil {
		peer.OrderSenders = before.OrderSenders
	}
	if !change.New {
		stopped := status.State == Leaving && before.State != Leaving
		change.Left = stopped || before.Role.SendsOrders() && !status.Role.SendsOrders()
		change.StoppedAggregating = before.aggregates() && !peer.aggregates()
		change.HubChanged = before.Hub == membership.self.Name && status.Hub != membership.self.Name
	}
	membership.peers[status.Name] = peer
	if entry, ok := membership.entries[status.Name]; ok {
		entry.silentUntil = 0
	}
	return change
}

// Peer returns the peer with a name, if it has reported directly.
func (membership *Membership) Peer(name string) (*Peer, bool) {
	peer, ok := membership.peers[name]
	return peer, ok
}

// Peers returns all peers by name. The map must not be modified.
func (membership *Membership) Peers() map[string]*Peer {
	return membership.peers
}

// Live reports whether a daemon is a peer that is neither silent nor leaving.
func (membership *Membership) Live(now clock.Millis, name string) bool {
	peer, ok := membership.peers[name]
	return ok && membership.live(now, peer)
}

func (membership *Membership) live(now clock.Millis, peer *Peer) bool {
	return peer.State == Alive && now-peer.LastContactAt < membership.options.Silence
}

// AliveNames returns the sorted names of the daemons that are neither leaving nor gone.
func (membership *Membership) AliveNames() []string {
	var names []string
	if membership.self.State == Alive {
		names = append(names, membership.self.Name)
	}
	for name, entry := range membership.entries {
		if entry.State == Alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// DaemonCount returns the number of daemons of the site that are neither leaving nor gone.
// It always counts this one.
func (membership *Membership) DaemonCount() int {
	count := 1
	for _, entry := range membership.entries {
		if entry.State == Alive {
			count++
		}
	}
	return count
}

// Status returns the report of this daemon about itself, with its record, role and hub only;
// the other fields depend on the receiver or the store.
func (membership *Membership) Status() Status {
	return Status{Record: membership.self, Role: membership.role, Hub: membership.plan.Hub}
}

// RecordsSince returns the records of other daemons that have changed since the change number
// returned by an earlier call, or all of them for 0, and the change number for the next call.
func (membership *Membership) RecordsSince(since int64) ([]Record, int64) {
	var records []Record
	for _, entry := range membership.entries {
		if entry.changeNumber > since {
			records = append(records, entry.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return records, membership.changeNumber
}

// OrderSenders returns the sorted names of the peers that may send orders according to their
// last report, which is no older than Options.Memory. A starting daemon waits for a report
// of each of them.
func (membership *Membership) OrderSenders() []string {
	names := []string{}
	for name, peer := range membership.peers {
		// A daemon that has announced that it leaves sends no more orders.
		if peer.Role.SendsOrders() && peer.State != Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Tick detects silent daemons, drops expired state and computes a new plan. It returns the
// sorted names of the peers that it has dropped as they were silent for Options.Memory.
func (membership *Membership) Tick(now clock.Millis) []string {
	membership.extendAfterPause(now)
	var forgotten []string
	for name, peer := range membership.peers {
		if now-peer.LastContactAt > membership.options.Memory {
			membership.forget(name)
			forgotten = append(forgotten, name)
		}
	}
	for name, entry := range membership.entries {
		membership.checkSilence(now, name, entry)
		membership.expireTombstone(now, name, entry)
	}
	membership.Replan(now)
	slices.Sort(forgotten)
	return forgotten
}

// extendAfterPause shifts the deadlines of peers by the length of a pause of the process, in
// which it received nothing.
func (membership *Membership) extendAfterPause(now clock.Millis) {
	gap := now - membership.lastTick
	membership.lastTick = now
	if gap <= membership.options.Pause {
		return
	}
	for _, peer := range membership.peers {
		peer.LastContactAt = max(peer.LastContactAt, min(peer.LastContactAt+gap, now)) // some have reported since the process resumed
	}
	for _, entry := range membership.entries {
		if entry.linkedSince > 0 {
			entry.linkedSince = min(entry.linkedSince+gap, now)
		}
	}
}

// checkSilence marks a daemon as silent if it has sent nothing for Options.Unmet although a
// connection to it is kept or attempted.
func (membership *Membership) checkSilence(now clock.Millis, name string, entry *daemonEntry) {
	if entry.linkedSince == 0 || now < entry.silentUntil || membership.Live(now, name) {
		return
	}
	since := entry.linkedSince
	if peer, ok := membership.peers[name]; ok {
		since = max(since, peer.LastContactAt)
	}
	if now-since >= membership.options.Unmet {
		entry.silentUntil = now + membership.options.Retry
	}
}

// expireTombstone drops the record of a gone daemon after Options.Tombstone. By then all other
// daemons have received it.
func (membership *Membership) expireTombstone(now clock.Millis, name string, entry *daemonEntry) {
	switch {
	case entry.State != Gone:
		entry.goneSince = 0
	case entry.goneSince == 0:
		entry.goneSince = now
	case now-entry.goneSince > membership.options.Tombstone:
		delete(membership.entries, name)
	}
}

// forget drops a peer and marks its record as gone; the record is then forwarded to the other
// daemons. If the daemon is still running, it refutes the record when it receives it.
func (membership *Membership) forget(name string) {
	peer := membership.peers[name]
	delete(membership.peers, name)
	entry, ok := membership.entries[name]
	if !ok || entry.Incarnation != peer.Incarnation || entry.Number != peer.Number || entry.State == Gone {
		return
	}
	gone := entry.Record
	gone.Number++
	gone.State = Gone
	membership.merge(gone)
}

// Replan computes a new plan from the daemons that are known and the reports of live peers,
// and returns it.
func (membership *Membership) Replan(now clock.Millis) topology.Plan {
	var known []topology.Daemon
	for _, entry := range membership.entries {
		if entry.State == Alive && now >= entry.silentUntil {
			known = append(known, entry.Daemon)
		}
	}
	var reporting []topology.Peer
	clear(membership.reportedOrderSenders)
	for _, peer := range membership.peers {
		if !membership.live(now, peer) {
			continue
		}
		reporting = append(reporting, topology.Peer{Daemon: peer.Daemon, Role: peer.Role, Hub: peer.Hub})
		for _, name := range peer.OrderSenders {
			membership.reportedOrderSenders[name] = true
		}
	}
	slices.SortFunc(reporting, func(a, b topology.Peer) int { return cmp.Compare(a.Name, b.Name) })
	membership.plan = topology.PlanFor(membership.self.Daemon, known, reporting, membership.role.SendsOrders())
	clear(membership.planLinks)
	for _, daemon := range membership.plan.Links {
		membership.planLinks[daemon.Name] = true
	}
	return membership.plan
}

// Plan returns the last computed plan.
func (membership *Membership) Plan() topology.Plan {
	return membership.plan
}

// Role returns the current role of this daemon. A daemon claims servers only as a candidate.
func (membership *Membership) Role() topology.Role {
	return membership.role
}

// UpdateRole applies the role of the plan. The parameter owns reports whether this daemon
// owns any server: if so, a former candidate becomes Retired and keeps its servers, so that
// the start of another daemon moves no server to a new owner. A leaving daemon becomes
// Retired if it could send orders before. The results report whether the role has changed,
// and whether the daemon was promoted from member to candidate: as a member it received only
// some of the claims.
func (membership *Membership) UpdateRole(now clock.Millis, owns bool) (changed, promoted bool) {
	before := membership.role
	membership.role = membership.plan.Role
	leaving := membership.self.State == Leaving
	if !membership.settled(now) || leaving {
		membership.role = topology.Member
	}
	if membership.role == topology.Member && (owns || leaving && before.SendsOrders()) {
		membership.role = topology.Retired
	}
	promoted = membership.roleDecided && membership.role == topology.Candidate && before == topology.Member
	membership.roleDecided = membership.roleDecided || membership.settled(now)
	return membership.role != before, promoted
}

// settled reports whether the daemon has had time to discover others since its start.
func (membership *Membership) settled(now clock.Millis) bool {
	since := now - membership.started
	if !membership.Joined() {
		return since >= membership.options.Alone
	}
	return since >= membership.options.Settle && now-membership.firstPeerAt >= membership.options.Meet
}

// Joined reports whether this daemon has peers that have reported, or has no seeds.
func (membership *Membership) Joined() bool {
	return !membership.hasSeeds || len(membership.peers) > 0
}
