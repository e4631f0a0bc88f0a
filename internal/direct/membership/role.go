package membership

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

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
