// Package topology decides which daemons keep a connection to each other, who may
// claim servers, and who tells whom what. A small site is a mesh: each daemon is
// connected with all others and tells them what is its own. In a larger one a bounded
// number of daemons of each data centre are candidates, which alone claim servers and
// are connected with each other; the others are connected with the candidates of their
// data centre. One of these is a daemon's hub: the daemon tells it what is its own and
// hears from it what all others have in progress, added up by server. It does no I/O
// and keeps no state.
//
// Every daemon computes this from what it knows itself. Two that know different things
// may choose different hubs and different candidates: a hub is whom a daemon says that
// it has chosen, and any two daemons that claim servers hear each other's claims.
//
// With n daemons in d data centres there are 2·CandidatesPerDataCentre·n connections
// of members and candidates and (d·CandidatesPerDataCentre)² among candidates: 880 at
// 195 daemons in six data centres, instead of 37,830 of each with each other.
package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MeshLimit is the number of daemons up to which a site is a mesh: a mesh of 12
// at ten updates a second is 110 messages a second for each daemon, about 0.5% of
// a core at 20 us a message, both ways.
const MeshLimit = 12

// CandidatesPerDataCentre is how many daemons of a data centre claim servers in a site
// that is no mesh. One is the hub and the other takes its place at once, as its members
// are connected with both; with both lost the next ones are candidates as soon as they
// have found them silent. At 15 data centres 30 candidates hear 29 others each.
const CandidatesPerDataCentre = 2

// Daemon is a daemon of the site.
type Daemon struct {
	Name       string
	Address    string
	DataCentre string
	Capacity   int // in thousandths of a core; candidates are chosen among the largest
}

// Role is what a daemon does for the site.
type Role int

// Roles. Their numbers are sent between daemons.
const (
	Member    Role = iota // serves callers only
	Candidate             // may claim servers that nobody gives orders to
	Retired               // gives orders to the servers that it has, and claims no more
)

// SendsOrders reports whether a daemon in this role may give orders to servers.
func (role Role) SendsOrders() bool {
	return role == Candidate || role == Retired
}

// Peer is a daemon that is heard directly, and what it says of itself.
type Peer struct {
	Daemon
	Role Role
	Hub  string // the daemon that it has chosen as its hub; empty: none
}

// addsUp reports whether a daemon adds up the work of others.
func (peer Peer) addsUp() bool {
	return peer.Hub == "" && peer.Role.SendsOrders()
}

// Scope is what a target is told.
type Scope int

// Scopes.
const (
	Own   Scope = iota // what is this daemon's own
	Group              // what is known of this daemon and of those whose hub it is
	Sums               // all that is known, requests in progress added up
)

// Target is a daemon to tell news to.
type Target struct {
	Name          string
	Address       string
	Scope         Scope
	IncludesStore bool // what was read of the store as well
}

// Plan is what a daemon has to do.
type Plan struct {
	// Mesh reports whether every daemon tells every other one.
	Mesh bool
	// Role is Member or Candidate.
	Role Role
	// Links are the daemons to keep a connection to. Others that keep one to this
	// daemon are answered on one as well.
	Links   []Daemon
	Targets []Target
	// Hub is the daemon that tells this one what all others have in progress; it is
	// empty where this daemon adds up itself, or has found no hub yet.
	Hub string
	// ReadsStore reports whether this daemon reads the store itself. In a mesh each
	// does: passing entries on costs more there than the calls that it saves.
	ReadsStore bool
}

// PlanFor returns the plan of self. Known are the daemons that are taken to live, heard those
// of them that are heard directly; neither need include self. Orders tells that self gives
// orders to servers.
func PlanFor(self Daemon, known []Daemon, heard []Peer, orders bool) Plan {
	all := append(slices.Clone(known), self)
	if len(all) <= MeshLimit {
		return mesh(self, all, heard)
	}
	candidates := candidatesOf(all)
	plan := Plan{Role: Member}
	if slices.Contains(candidates[self.DataCentre], self) || isHub(self, heard) {
		plan.Role = Candidate
	}
	plan.Links = links(self, plan.Role == Candidate || orders, candidates)
	plan.Hub = hubOf(self, candidates[self.DataCentre], heard)
	plan.ReadsStore = plan.Hub == ""
	plan.Targets = targets(self, plan, heard)
	return plan
}

func better(a, b Daemon) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

func mesh(self Daemon, all []Daemon, heard []Peer) Plan {
	plan := Plan{Mesh: true, Role: Candidate, ReadsStore: true}
	slices.SortFunc(all, better)
	for _, daemon := range all {
		if daemon.Name != self.Name {
			plan.Links = append(plan.Links, daemon)
		}
	}
	for _, peer := range heard {
		plan.Targets = append(plan.Targets, Target{Name: peer.Name, Address: peer.Address})
	}
	return plan
}

// candidatesOf returns the candidates of each data centre, the best first. Nothing is
// sorted: the daemons of a large site look for them ten times a second.
func candidatesOf(all []Daemon) map[string][]Daemon {
	candidates := make(map[string][]Daemon)
	for _, daemon := range all {
		of := candidates[daemon.DataCentre]
		at := len(of)
		for at > 0 && better(daemon, of[at-1]) < 0 {
			at--
		}
		if at < CandidatesPerDataCentre {
			of = slices.Insert(of, at, daemon)
			candidates[daemon.DataCentre] = of[:min(len(of), CandidatesPerDataCentre)]
		}
	}
	return candidates
}

// links returns the daemons that self keeps a connection to: all candidates where it may
// give orders, else those of its data centre.
func links(self Daemon, orders bool, candidates map[string][]Daemon) []Daemon {
	var linked []Daemon
	for dataCentre, of := range candidates {
		if !orders && dataCentre != self.DataCentre {
			continue
		}
		for _, daemon := range of {
			if daemon.Name != self.Name {
				linked = append(linked, daemon)
			}
		}
	}
	slices.SortFunc(linked, better)
	return linked
}

// isHub reports whether another daemon has chosen self as its hub.
func isHub(self Daemon, heard []Peer) bool {
	return slices.ContainsFunc(heard, func(peer Peer) bool { return peer.Hub == self.Name })
}

// hubOf returns the best candidate of the data centre that is heard. A daemon that is
// itself the best, or that another has chosen as its hub, has none.
func hubOf(self Daemon, candidates []Daemon, heard []Peer) string {
	if isHub(self, heard) {
		return ""
	}
	for _, candidate := range candidates {
		if candidate.Name == self.Name {
			return ""
		}
		if slices.ContainsFunc(heard, func(peer Peer) bool { return peer.Name == candidate.Name }) {
			return candidate.Name
		}
	}
	return ""
}

// targets returns whom self tells news: its hub, or as a hub those that have chosen it
// and the other hubs.
func targets(self Daemon, plan Plan, heard []Peer) []Target {
	var told []Target
	for _, peer := range heard {
		target := Target{Name: peer.Name, Address: peer.Address}
		switch {
		case peer.Hub == self.Name:
			target.Scope, target.IncludesStore = Sums, true
		case plan.Hub != "" && peer.Name != plan.Hub:
			continue
		case plan.Hub == "" && !peer.addsUp():
			continue
		case plan.Hub == "":
			target.Scope = Group
		}
		told = append(told, target)
	}
	return told
}
