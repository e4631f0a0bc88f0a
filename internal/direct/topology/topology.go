// Package topology decides which daemons keep a connection to each other, which may claim
// servers, and what each sends to which others. A small site is a mesh: each daemon is
// connected to all others and sends them its own state. In a larger site, a bounded number
// of daemons of each data centre are candidates. Only candidates claim servers, and they are
// connected to each other; the other daemons are connected to the candidates of their data
// centre. One of these is a daemon's hub: the daemon sends its own state to it, and receives
// from it the load of all other daemons, summed by server. Which candidate claims which server
// is decided in package claims. The package does no I/O and keeps no state.
//
// Every daemon computes its plan from its own view of the site, so two daemons may choose
// different hubs and candidates. This is safe: a daemon is a hub if another daemon reports
// it as its hub, and any two daemons that claim servers receive each other's claims.
//
// With n members in d data centres there are 2·CandidatesPerDataCentre·n connections between
// members and candidates, as each of the two opens one, and fewer than
// (d·CandidatesPerDataCentre)² among candidates: about 880 at 195 daemons in six data
// centres, of which 183 are members, instead of 37,830 in a full mesh.
package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MeshLimit is the maximum number of daemons of a mesh. In a mesh of 12 daemons with ten
// updates a second, each daemon sends 110 messages a second, which takes about 0.5% of a
// core at 20 us a message, counting both directions.
const MeshLimit = 12

// CandidatesPerDataCentre is the number of daemons of a data centre that may claim servers in a
// site that is not a mesh. One is the hub, and the other replaces it at once if it fails, as
// members are connected to both. If both fail, other daemons become candidates as soon as
// they detect that the two are silent. With 15 data centres, each of the 30 candidates
// receives updates of 29 others.
const CandidatesPerDataCentre = 2

// Daemon is a daemon of the site.
type Daemon struct {
	Name       string
	Address    string
	DataCentre string
	Capacity   int // in thousandths of a core; the largest daemons become candidates
}

// Role is the role of a daemon in its site.
type Role int

// Roles of a daemon. The numbers are part of the wire format.
const (
	Member    Role = iota // only serves callers
	Candidate             // may claim servers without an owner
	Retired               // sends orders to the servers that it owns, but claims no more
)

// SendsOrders reports whether a daemon in this role may send orders to servers that it owns.
func (role Role) SendsOrders() bool {
	return role == Candidate || role == Retired
}

// Peer is a daemon that reports to this one directly, with its reported role and hub.
type Peer struct {
	Daemon
	Role Role
	Hub  string // the daemon chosen as hub; empty: none
}

// aggregates reports whether a daemon aggregates the load of other daemons.
func (peer Peer) aggregates() bool {
	return peer.Hub == "" && peer.Role.SendsOrders()
}

// Scope is the set of daemons whose state is sent to a target.
type Scope int

// Scopes of a target.
const (
	Own   Scope = iota // the state of this daemon
	Group              // the state of this daemon and of those whose hub it is
	Sums               // the state of all daemons, with the requests in progress summed
)

// Target is a daemon to send state changes to.
type Target struct {
	Name          string
	Address       string
	Scope         Scope
	IncludesStore bool // also send what was read from the store
}

// Plan is what a daemon does in its site: its role, its connections, and where it sends its
// state.
type Plan struct {
	// Mesh reports whether every daemon sends its state to every other one.
	Mesh bool
	// Role is Member or Candidate.
	Role Role
	// Links are the daemons to keep a connection to. This daemon also connects to others
	// that want a connection to it.
	Links []Daemon
	// Targets are the daemons to send state changes to. All of them report to this one.
	Targets []Target
	// Hub is the daemon that sends this one the load of all others. It is empty if this
	// daemon aggregates load itself, or has not found a hub yet.
	Hub string
	// ReadsStore reports whether this daemon reads the store itself. In a mesh every daemon
	// does: forwarding entries would cost more there than the calls that it saves.
	ReadsStore bool
}

// PlanFor returns the plan of self. The known daemons are those considered live, and the
// reporting ones are those of them that report to self directly; neither needs to include
// self. The parameter sendsOrders reports whether the current role of self lets it send
// orders.
func PlanFor(self Daemon, known []Daemon, reporting []Peer, sendsOrders bool) Plan {
	all := append(slices.Clone(known), self)
	if len(all) <= MeshLimit {
		return meshPlan(self, all, reporting)
	}
	candidates := candidatesOf(all)
	plan := Plan{Role: Member}
	if slices.Contains(candidates[self.DataCentre], self) || isHub(self, reporting) {
		plan.Role = Candidate
	}
	plan.Links = linksOf(self, plan.Role == Candidate || sendsOrders, candidates)
	plan.Hub = hubOf(self, candidates[self.DataCentre], reporting)
	plan.ReadsStore = plan.Hub == ""
	plan.Targets = targetsOf(self, plan, reporting)
	return plan
}

// compareRank orders daemons by their suitability as candidates, the best first.
func compareRank(a, b Daemon) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// meshPlan returns the plan of self in a mesh.
func meshPlan(self Daemon, all []Daemon, reporting []Peer) Plan {
	plan := Plan{Mesh: true, Role: Candidate, ReadsStore: true}
	slices.SortFunc(all, compareRank)
	for _, daemon := range all {
		if daemon.Name != self.Name {
			plan.Links = append(plan.Links, daemon)
		}
	}
	for _, peer := range reporting {
		plan.Targets = append(plan.Targets, Target{Name: peer.Name, Address: peer.Address})
	}
	return plan
}

// candidatesOf returns the candidates of each data centre, the best first. It avoids sorting
// all daemons, as it runs ten times a second in large sites.
func candidatesOf(all []Daemon) map[string][]Daemon {
	candidates := make(map[string][]Daemon)
	for _, daemon := range all {
		of := candidates[daemon.DataCentre]
		at := len(of)
		for at > 0 && compareRank(daemon, of[at-1]) < 0 {
			at--
		}
		if at < CandidatesPerDataCentre {
			of = slices.Insert(of, at, daemon)
			candidates[daemon.DataCentre] = of[:min(len(of), CandidatesPerDataCentre)]
		}
	}
	return candidates
}

// linksOf returns the daemons that self keeps a connection to: all candidates if self may
// send orders, otherwise the candidates of its data centre.
func linksOf(self Daemon, sendsOrders bool, candidates map[string][]Daemon) []Daemon {
	var linked []Daemon
	for dataCentre, of := range candidates {
		if !sendsOrders && dataCentre != self.DataCentre {
			continue
		}
		for _, daemon := range of {
			if daemon.Name != self.Name {
				linked = append(linked, daemon)
			}
		}
	}
	slices.SortFunc(linked, compareRank)
	return linked
}

// isHub reports whether another daemon has chosen self as its hub.
func isHub(self Daemon, reporting []Peer) bool {
	return slices.ContainsFunc(reporting, func(peer Peer) bool { return peer.Hub == self.Name })
}

// hubOf returns the best candidate of the data centre that reports to self. It returns "" if
// there is none, if self is a better candidate, or if another daemon has chosen self as hub.
func hubOf(self Daemon, candidates []Daemon, reporting []Peer) string {
	if isHub(self, reporting) {
		return ""
	}
	for _, candidate := range candidates {
		if candidate.Name == self.Name {
			return ""
		}
		if slices.ContainsFunc(reporting, func(peer Peer) bool { return peer.Name == candidate.Name }) {
			return candidate.Name
		}
	}
	return ""
}

// targetsOf returns the daemons that self sends its state to: its hub, or, if it has none,
// the daemons that have chosen self as hub and the other daemons that aggregate load.
func targetsOf(self Daemon, plan Plan, reporting []Peer) []Target {
	var targets []Target
	for _, peer := range reporting {
		target := Target{Name: peer.Name, Address: peer.Address}
		switch {
		case peer.Hub == self.Name:
			target.Scope, target.IncludesStore = Sums, true
		case plan.Hub != "" && peer.Name != plan.Hub:
			continue
		case plan.Hub == "" && !peer.aggregates():
			continue
		case plan.Hub == "":
			target.Scope = Group
		}
		targets = append(targets, target)
	}
	return targets
}
