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

// daemonEntry is the record of another daemon, with local state.
type daemonEntry struct {
	Record
	changeNumber int64        // Membership.changeNumber at the last change
	goneSince    clock.Millis // since when the daemon is known to be gone; 0: it is not
	linkedSince  clock.Millis // since when a connection to it is kept or attempted; 0: none is
	silentUntil  clock.Millis // until when it is considered silent and left out of plans
	left         bool         // it announced that it leaves before it was gone
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
	entry.left = record.State == Gone && record.Incarnation == entry.Incarnation && (entry.left || entry.State == Leaving)
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

// AliveDaemons returns the other daemons that are neither leaving nor gone, in order of name, without
// peers that are silent.
func (membership *Membership) AliveDaemons(now clock.Millis) []topology.Daemon {
	var daemons []topology.Daemon
	for name, entry := range membership.entries {
		peer, reports := membership.peers[name]
		if entry.State == Alive && (!reports || membership.live(now, peer)) {
			daemons = append(daemons, entry.Daemon)
		}
	}
	slices.SortFunc(daemons, func(a, b topology.Daemon) int { return cmp.Compare(a.Name, b.Name) })
	return daemons
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

// RunningCount returns the number of daemons of the site that may be running: those that have not announced that they
// leave, also if nothing has been heard of them for a time, as on the other side of a cut. It always counts this one.
func (membership *Membership) RunningCount() int {
	count := 1
	for _, entry := range membership.entries {
		if entry.State == Alive || entry.State == Gone && !entry.left {
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
