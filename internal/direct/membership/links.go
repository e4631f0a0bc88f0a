package membership

import (
	"cmp"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

// Links returns the daemons to keep a connection to: those of the plan, those that
// have a connection to this one, and for a daemon that gives orders all that do or did.
func (membership *Membership) Links(now clock.Millis) []topology.Daemon {
	linked := make(map[string]topology.Daemon)
	for _, daemon := range membership.plan.Links {
		linked[daemon.Name] = daemon
	}
	for name, peer := range membership.peers {
		answered := peer.Wants && now-peer.HeardAt < membership.options.Silence
		if answered || membership.Wants(name) {
			linked[name] = peer.Daemon
		}
	}
	for name, known := range membership.entries {
		if membership.Wants(name) {
			linked[name] = known.Daemon
		}
		_, wanted := linked[name]
		if !wanted {
			known.wantedAt = 0
		} else if known.wantedAt == 0 {
			known.wantedAt = now
		}
	}
	return slices.SortedFunc(maps.Values(linked), func(a, b topology.Daemon) int { return cmp.Compare(a.Name, b.Name) })
}

// Wants reports whether this daemon wants a connection with another one itself, and
// not only to answer.
func (membership *Membership) Wants(name string) bool {
	known, ok := membership.entries[name]
	if ok && known.State == Gone {
		return false
	}
	peer, heard := membership.peers[name]
	if membership.role.SendsOrders() && (heard && peer.Role.SendsOrders() || membership.named[name]) {
		return true
	}
	if membership.plan.Mesh {
		return heard || ok
	}
	return membership.linked[name] || ok && membership.serves(known)
}

// InPlan reports whether a daemon is one of those that this one's plan links: for one
// that gives orders all that may claim servers, also before they say so themselves. One
// that hears of claims only when it has said that it is a candidate waits for the quiet
// span after its start.
func (membership *Membership) InPlan(name string) bool {
	return membership.linked[name]
}

// serves reports whether a daemon belongs to those that this one looks after as a
// candidate: all of its data centre, also while they are silent. One that starts again
// while its seeds are down is met only this way.
func (membership *Membership) serves(known *entry) bool {
	return membership.role == topology.Candidate && known.State == Alive && known.DataCentre == membership.self.DataCentre
}
