package membership

import (
	"cmp"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

// Links returns the daemons to keep a connection to: those of the plan, live peers that
// want a connection to this daemon, and those that this daemon wants itself (see Wants).
func (membership *Membership) Links(now clock.Millis) []topology.Daemon {
	linked := make(map[string]topology.Daemon)
	for _, daemon := range membership.plan.Links {
		linked[daemon.Name] = daemon
	}
	for name, peer := range membership.peers {
		wantedByPeer := peer.Wants && now-peer.HeardAt < membership.options.Silence
		if wantedByPeer || membership.Wants(name) {
			linked[name] = peer.Daemon
		}
	}
	for name, entry := range membership.entries {
		if membership.Wants(name) {
			linked[name] = entry.Daemon
		}
		_, wanted := linked[name]
		if !wanted {
			entry.linkedSince = 0
		} else if entry.linkedSince == 0 {
			entry.linkedSince = now
		}
	}
	return slices.SortedFunc(maps.Values(linked), func(a, b topology.Daemon) int { return cmp.Compare(a.Name, b.Name) })
}

// Wants reports whether this daemon itself wants a connection to another one, rather than
// only answering the other's connection.
func (membership *Membership) Wants(name string) bool {
	entry, ok := membership.entries[name]
	if ok && entry.State == Gone {
		return false
	}
	peer, heard := membership.peers[name]
	if membership.role.SendsOrders() && (heard && peer.Role.SendsOrders() || membership.reportedOrderers[name]) {
		return true
	}
	if membership.plan.Mesh {
		return heard || ok
	}
	return membership.planLinks[name] || ok && membership.inCandidateScope(entry)
}

// InPlan reports whether this daemon's plan has a connection to another one. For a daemon
// that sends orders, these are all daemons that may claim servers, even before they report
// it themselves. Claims are sent to them from the start: a daemon that received claims only
// once it had reported that it is a candidate would wait for the quiet period first.
func (membership *Membership) InPlan(name string) bool {
	return membership.planLinks[name]
}

// inCandidateScope reports whether this daemon, as a candidate, keeps a connection to
// another one: to all daemons of its data centre, even silent ones. A daemon that restarts
// while its seeds are down can be discovered only this way.
func (membership *Membership) inCandidateScope(entry *daemonEntry) bool {
	return membership.role == topology.Candidate && entry.State == Alive && entry.DataCentre == membership.self.DataCentre
}
