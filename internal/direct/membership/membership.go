// Package membership is what a daemon knows of the other daemons of its site: which
// there are, which of them it hears, and what it has to tell whom. What is known of a
// daemon is a record, which every daemon passes on once over each connection; a record
// with a higher number replaces one with a lower. It does no I/O and reads no clock.
package membership

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

// State is what a daemon is doing, as far as known.
type State int

// States. Their numbers are sent between daemons.
const (
	Alive   State = iota
	Leaving       // it has said that it stops
	Gone          // a daemon that heard it has not done so for Options.Memory
)

// Record is what daemons tell each other of one of them. Of two records of one daemon
// the one of the later incarnation, or else with the higher number, holds.
type Record struct {
	topology.Daemon
	Incarnation int64 // start of the process
	Number      int64
	State       State
}

func (record Record) after(other Record) bool {
	return cmp.Or(cmp.Compare(record.Incarnation, other.Incarnation), cmp.Compare(record.Number, other.Number)) > 0
}

// Status is what a daemon says of itself to those that it is connected with.
type Status struct {
	Record
	Role     topology.Role
	Hub      string       // the daemon that it has chosen as its hub; empty: none
	Wants    bool         // it wants the connection itself, and not only to answer
	Interval clock.Millis // until its next word at the latest
	Era      int64        // of the store, that Revision is of
	Revision int64        // of the store, all changes up to which it knows
	Version  int64        // of the configuration in force there
	// Orderers are the daemons that give orders as far as it knows; nil: as told before.
	Orderers []string
}

// Options are the times of a membership.
type Options struct {
	// Usual is the interval of words for which Silence is meant; a daemon that tells
	// less often may be silent for so much longer.
	Usual clock.Millis
	// Silence is how long after its last word a daemon is taken to live.
	Silence clock.Millis
	// Unmet is how long a daemon that connections are tried to may stay unheard before
	// the next one takes its place.
	Unmet clock.Millis
	// Retry is how long a daemon that was found silent is passed over.
	Retry clock.Millis
	// Memory is how long a daemon that was heard once is remembered as one to connect
	// to and to wait for.
	Memory clock.Millis
	// Settle is how long after its start a daemon is no candidate: at first it knows
	// few others, and would take a large site for a small one. It is shorter than the
	// wait after a start before servers are claimed.
	Settle clock.Millis
	// Meet is the same from when the daemon first heard another one.
	Meet clock.Millis
	// Alone is Settle for one that has seeds and has not heard any other daemon.
	Alone clock.Millis
	// Pause is a gap between two ticks after which the process is taken to have stood
	// still.
	Pause clock.Millis
	// Tombstone is how long it is remembered that a daemon is gone, so that an older
	// record does not bring it back.
	Tombstone clock.Millis
}

// DefaultOptions returns times for daemons that tell each other twice a second, or
// half as often, over connections that are made anew each 300 ms.
func DefaultOptions() Options {
	return Options{
		Usual: 500, Silence: 1500, Unmet: 1500, Retry: 8 * clock.Second, Memory: clock.Minute,
		Settle: 500, Meet: 300, Alone: 2 * clock.Second, Pause: 400, Tombstone: 10 * clock.Minute,
	}
}

// Peer is a daemon that has been heard directly.
type Peer struct {
	Status
	HeardAt clock.Millis // when it was heard last, or had leave to be silent
}

// addsUp reports whether a daemon says that it adds up the work of others.
func (peer *Peer) addsUp() bool {
	return peer.Hub == "" && peer.Role.SendsOrders()
}

type entry struct {
	Record
	change     int64        // when it was changed last, in changes of the membership
	goneAt     clock.Millis // when it was first seen to be gone
	wantedAt   clock.Millis // since when connections are tried to it; 0: they are not
	passedOver clock.Millis // until when it is taken to be silent
}

// Membership is one daemon's knowledge of its site.
type Membership struct {
	options Options
	self    Record
	entries map[string]*entry // by name, without self
	peers   map[string]*Peer  // by name, those that were heard directly
	changes int64
	started clock.Millis
	metAt   clock.Millis // when another daemon was first heard
	ticked  clock.Millis
	plan    topology.Plan
	linked  map[string]bool // the daemons that the plan links
	named   map[string]bool // daemons that give orders, as a peer that is heard says
	role    topology.Role
	decided bool // the role was found once after the start
	seeded  bool // the daemon has seeds to find others by
}

// New returns the membership of a daemon that starts now and knows no other yet. Seeded
// tells that it has others to call.
func New(options Options, self topology.Daemon, now clock.Millis, incarnation int64, seeded bool) *Membership {
	membership := &Membership{
		options: options, self: Record{Daemon: self, Incarnation: incarnation}, started: now, ticked: now, seeded: seeded,
		entries: make(map[string]*entry), peers: make(map[string]*Peer),
		linked: make(map[string]bool), named: make(map[string]bool),
	}
	membership.changes = 1 // of its own record
	membership.plan = topology.PlanFor(self, nil, nil, false)
	return membership
}

// Self returns this daemon's own record.
func (membership *Membership) Self() Record {
	return membership.self
}

// Leave notes that this daemon stops.
func (membership *Membership) Leave() {
	membership.self.Number++
	membership.self.State = Leaving
	membership.changes++
}

// Merge takes over records that a peer passes on. It reports whether any is news.
func (membership *Membership) Merge(records []Record) bool {
	news := false
	for _, record := range records {
		news = membership.merge(record) || news
	}
	return news
}

func (membership *Membership) merge(record Record) bool {
	if record.Name == membership.self.Name {
		membership.correct(record)
		return false
	}
	known, ok := membership.entries[record.Name]
	if ok && !record.after(known.Record) {
		return false
	}
	if !ok {
		known = &entry{}
		membership.entries[record.Name] = known
	}
	if record.Incarnation > known.Incarnation {
		known.passedOver = 0 // it has started again
	}
	known.Record = record
	membership.changes++
	known.change = membership.changes
	return true
}

// correct raises the number of this daemon's own record above one that is wrong.
func (membership *Membership) correct(said Record) {
	if said.Incarnation == membership.self.Incarnation && said.Number >= membership.self.Number && said.State != membership.self.State {
		membership.self.Number = said.Number + 1
		membership.changes++
	}
}

// StatusChange is what a word changes.
type StatusChange struct {
	Current            bool // the word is not older than what was known
	New                bool // the daemon was not heard before, or has started again
	Left               bool // the daemon has just said that it stops, or gives orders no more
	HubChanged         bool // it has just chosen another hub than this daemon, which was its hub
	StoppedAggregating bool // it has just ceased to add up the work of others
}

// ApplyStatus takes over a word that was heard directly.
func (membership *Membership) ApplyStatus(now clock.Millis, word Status) StatusChange {
	before, ok := membership.peers[word.Name]
	if ok && word.Incarnation < before.Incarnation {
		return StatusChange{}
	}
	if len(membership.peers) == 0 {
		membership.metAt = now
	}
	membership.merge(word.Record)
	finding := StatusChange{Current: true, New: !ok || before.Incarnation != word.Incarnation}
	peer := &Peer{Status: word, HeardAt: now + max(0, word.Interval-membership.options.Usual)}
	if !finding.New && word.Orderers == nil {
		peer.Orderers = before.Orderers
	}
	if !finding.New {
		stopped := word.State == Leaving && before.State != Leaving
		finding.Left = stopped || before.Role.SendsOrders() && !word.Role.SendsOrders()
		finding.StoppedAggregating = before.addsUp() && !peer.addsUp()
		finding.HubChanged = before.Hub == membership.self.Name && word.Hub != membership.self.Name
	}
	membership.peers[word.Name] = peer
	if known, ok := membership.entries[word.Name]; ok {
		known.passedOver = 0
	}
	return finding
}

// Peer returns a daemon that was heard directly.
func (membership *Membership) Peer(name string) (*Peer, bool) {
	peer, ok := membership.peers[name]
	return peer, ok
}

// Peers returns the daemons that were heard directly, by name. It must not be changed.
func (membership *Membership) Peers() map[string]*Peer {
	return membership.peers
}

// Live reports whether a daemon that was heard directly has been heard of late.
func (membership *Membership) Live(now clock.Millis, name string) bool {
	peer, ok := membership.peers[name]
	return ok && membership.live(now, peer)
}

func (membership *Membership) live(now clock.Millis, peer *Peer) bool {
	return peer.State == Alive && now-peer.HeardAt < membership.options.Silence
}

// AliveNames returns the names of the daemons that are neither leaving nor gone, in order.
func (membership *Membership) AliveNames() []string {
	var names []string
	if membership.self.State == Alive {
		names = append(names, membership.self.Name)
	}
	for name, known := range membership.entries {
		if known.State == Alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// DaemonCount returns how many daemons the site has, this one included.
func (membership *Membership) DaemonCount() int {
	count := 1
	for _, known := range membership.entries {
		if known.State == Alive {
			count++
		}
	}
	return count
}

// Status returns what this daemon says of itself.
func (membership *Membership) Status() Status {
	return Status{Record: membership.self, Role: membership.role, Hub: membership.plan.Hub}
}

// RecordsSince returns the records that have changed since a number that News returned
// before, or all of them for 0, and the number for the next call.
func (membership *Membership) RecordsSince(since int64) ([]Record, int64) {
	var records []Record
	for _, known := range membership.entries {
		if known.change > since {
			records = append(records, known.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return records, membership.changes
}

// Orderers returns the daemons that give orders by their last word, which is no older
// than Options.Memory. A daemon that starts waits for the word of each of them.
func (membership *Membership) Orderers() []string {
	names := []string{}
	for name, peer := range membership.peers {
		// A daemon that has said that it leaves gives no orders any more.
		if peer.Role.SendsOrders() && peer.State != Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Tick notes the passing of time: it finds out who is silent, and makes a new plan.
// It returns the daemons that were heard once and are forgotten now.
func (membership *Membership) Tick(now clock.Millis) []string {
	membership.stoodStill(now)
	var forgotten []string
	for name, peer := range membership.peers {
		if now-peer.HeardAt > membership.options.Memory {
			membership.forget(name)
			forgotten = append(forgotten, name)
		}
	}
	for name, known := range membership.entries {
		membership.judge(now, name, known)
		membership.bury(now, name, known)
	}
	membership.Replan(now)
	slices.Sort(forgotten)
	return forgotten
}

// stoodStill gives peers that were heard before the process stood still as much time as
// they had then: it has not listened meanwhile.
func (membership *Membership) stoodStill(now clock.Millis) {
	gap := now - membership.ticked
	membership.ticked = now
	if gap <= membership.options.Pause {
		return
	}
	for _, peer := range membership.peers {
		peer.HeardAt = max(peer.HeardAt, min(peer.HeardAt+gap, now)) // some were heard since it woke
	}
	for _, known := range membership.entries {
		if known.wantedAt > 0 {
			known.wantedAt = min(known.wantedAt+gap, now)
		}
	}
}

// judge finds out whether a daemon that connections are tried to is silent.
func (membership *Membership) judge(now clock.Millis, name string, known *entry) {
	if known.wantedAt == 0 || now < known.passedOver || membership.Live(now, name) {
		return
	}
	since := known.wantedAt
	if peer, ok := membership.peers[name]; ok {
		since = max(since, peer.HeardAt)
	}
	if now-since >= membership.options.Unmet {
		known.passedOver = now + membership.options.Retry
	}
}

// bury forgets that a daemon is gone once every other one knows.
func (membership *Membership) bury(now clock.Millis, name string, known *entry) {
	switch {
	case known.State != Gone:
		known.goneAt = 0
	case known.goneAt == 0:
		known.goneAt = now
	case now-known.goneAt > membership.options.Tombstone:
		delete(membership.entries, name)
	}
}

// forget drops a daemon that was heard once. Others are told that it is gone; if it is
// not, it says so when it hears of it.
func (membership *Membership) forget(name string) {
	peer := membership.peers[name]
	delete(membership.peers, name)
	known, ok := membership.entries[name]
	if !ok || known.Incarnation != peer.Incarnation || known.Number != peer.Number || known.State == Gone {
		return
	}
	gone := known.Record
	gone.Number++
	gone.State = Gone
	membership.merge(gone)
}

// Replan makes the plan anew.
func (membership *Membership) Replan(now clock.Millis) topology.Plan {
	var known []topology.Daemon
	for _, entry := range membership.entries {
		if entry.State == Alive && now >= entry.passedOver {
			known = append(known, entry.Daemon)
		}
	}
	var heard []topology.Peer
	clear(membership.named)
	for _, peer := range membership.peers {
		if !membership.live(now, peer) {
			continue
		}
		heard = append(heard, topology.Peer{Daemon: peer.Daemon, Role: peer.Role, Hub: peer.Hub})
		for _, name := range peer.Orderers {
			membership.named[name] = true
		}
	}
	slices.SortFunc(heard, func(a, b topology.Peer) int { return cmp.Compare(a.Name, b.Name) })
	membership.plan = topology.PlanFor(membership.self.Daemon, known, heard, membership.role.SendsOrders())
	clear(membership.linked)
	for _, daemon := range membership.plan.Links {
		membership.linked[daemon.Name] = true
	}
	return membership.plan
}

// Plan returns the plan as it was made last.
func (membership *Membership) Plan() topology.Plan {
	return membership.plan
}

// Role returns what this daemon does now. It claims servers only as a candidate.
func (membership *Membership) Role() topology.Role {
	return membership.role
}

// UpdateRole takes over the role of the plan. A candidate that is one no more keeps the
// servers that it gives orders to, if it has any: servers do not change hands because
// a daemon has started. It reports whether the role has changed, and whether the daemon
// is a candidate now after it was told of claims only in part.
func (membership *Membership) UpdateRole(now clock.Millis, orders bool) (changed, promoted bool) {
	before := membership.role
	membership.role = membership.plan.Role
	leaving := membership.self.State == Leaving
	if !membership.settled(now) || leaving {
		membership.role = topology.Member
	}
	if membership.role == topology.Member && (orders || leaving && before.SendsOrders()) {
		membership.role = topology.Retired
	}
	promoted = membership.decided && membership.role == topology.Candidate && before == topology.Member
	membership.decided = membership.decided || membership.settled(now)
	return membership.role != before, promoted
}

// settled reports whether the daemon has had time to find others since its start.
func (membership *Membership) settled(now clock.Millis) bool {
	since := now - membership.started
	if !membership.Joined() {
		return since >= membership.options.Alone
	}
	return since >= membership.options.Settle && now-membership.metAt >= membership.options.Meet
}

// Joined reports whether this daemon has heard another one, or has nobody to ask for others.
func (membership *Membership) Joined() bool {
	return !membership.seeded || len(membership.peers) > 0
}
