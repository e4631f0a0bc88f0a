package membership

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

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
