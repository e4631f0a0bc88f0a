package membership

import (
	"cmp"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

// Links returns the daemons to keep a connection to, and records since when: those of the
// plan, peers that want a connection to this daemon and are not silent, and those that this
// daemon wants itself.
func (membership *Membership) Links(now clock.Millis) []topology.Daemon {
	linked := make(map[string]topology.Daemon)
	for _, daemon := range membership.plan.Links {
		linked[daemon.Name] = daemon
	}
	for name, peer := range membership.peers {
		wantedByPeer := peer.WantsConnection && now-peer.LastContactAt < membership.options.Silence
		if wantedByPeer || membership.WantsConnection(name) {
			linked[name] = peer.Daemon
		}
	}
	for name, entry := range membership.entries {
		if membership.WantsConnection(name) {
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

// WantsConnection reports whether this daemon itself wants a connection to another one, rather than
// only answering the other's connection.
func (membership *Membership) WantsConnection(name string) bool {
	entry, ok := membership.entries[name]
	if ok && entry.State == Gone {
		return false
	}
	peer, reported := membership.peers[name]
	if membership.role.SendsOrders() && (reported && peer.Role.SendsOrders() || membership.reportedOrderSenders[name]) {
		return true
	}
	if membership.plan.Mesh {
		return reported || ok
	}
	return membership.planLinks[name] || ok && membership.wantsAsCandidate(entry)
}

// InPlan reports whether this daemon's plan has a connection to another one. The plan of a
// daemon that may send orders connects it to all candidates, even to those that have not
// reported this role yet. Claims are sent to them from the start: a candidate that received
// claims only after it had reported its role would have to wait for claims.Options.Quiet
// before its first claim.
func (membership *Membership) InPlan(name string) bool {
	return membership.planLinks[name]
}

// wantsAsCandidate reports whether this daemon wants a connection to another one because it
// is a candidate: a candidate connects to all daemons of its data centre, even silent ones. A
// daemon that restarts while its seeds are down can be discovered only this way.
func (membership *Membership) wantsAsCandidate(entry *daemonEntry) bool {
	return membership.role == topology.Candidate && entry.State == Alive && entry.DataCentre == membership.self.DataCentre
}
