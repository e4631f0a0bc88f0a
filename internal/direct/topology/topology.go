// Package topology decides which daemons tell each other what. A small site is a
// mesh: each daemon tells all others what is its own. In a larger one each data
// centre has a hub; the others tell it what is their own, and hubs tell each other
// and their data centre what they know. Every daemon computes this from whom it
// has heard; where two disagree for a moment, news arrives twice or later. It does
// no I/O and keeps no state.
//
// What a daemon has in progress goes from hub to hub as it is, and from a hub to its
// data centre added up by server: what a daemon hears grows with the servers, not
// with the requests of all others.
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

// Daemon is a live daemon.
type Daemon struct {
	Name       string
	Address    string
	DataCentre string
	Capacity   int // in thousandths of a core; hubs are chosen among the largest
}

// Scope is what a target is told.
type Scope int

// Scopes.
const (
	Own  Scope = iota // what is this daemon's own
	Near              // what is known of the daemons of this data centre
	Sums              // all that is known, requests in progress added up
)

// Target is a daemon to tell news to.
type Target struct {
	Name    string
	Address string
	Scope   Scope
	Store   bool // what was read of the store as well
}

// Plan is what a daemon has to do.
type Plan struct {
	Targets []Target
	// Pace is how many times longer than in a mesh the intervals are between
	// messages that go from every daemon to every other one: their number must not
	// grow with the square of the site.
	Pace int
	// Hub is the daemon that tells this one what all others have in progress; it is
	// empty where each tells itself.
	Hub string
	// Reads reports whether this daemon reads the store itself. In a mesh each
	// does: passing entries on costs more there than the calls that it saves.
	Reads bool
}

// Of returns the plan of self among live daemons, which need not include it.
func Of(self Daemon, live []Daemon) Plan {
	all := append(slices.Clone(live), self)
	slices.SortFunc(all, better)
	if len(all) <= MeshLimit {
		return mesh(self, all)
	}
	hubs := hubsOf(all)
	if hubs[self.DataCentre].Name != self.Name {
		hub := hubs[self.DataCentre]
		return Plan{Pace: pace(len(all)), Hub: hub.Name, Targets: []Target{{Name: hub.Name, Address: hub.Address}}}
	}
	return hubPlan(self, all, hubs)
}

func better(a, b Daemon) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

func mesh(self Daemon, all []Daemon) Plan {
	plan := Plan{Reads: true, Pace: 1}
	for _, daemon := range all {
		if daemon.Name != self.Name {
			plan.Targets = append(plan.Targets, Target{Name: daemon.Name, Address: daemon.Address})
		}
	}
	return plan
}

// mostPace bounds the pace: with an update each 2 s the servers of a daemon that
// has died are without orders for the lease and 3.5 s.
const mostPace = 4

func pace(daemons int) int {
	return min((daemons+MeshLimit-1)/MeshLimit, mostPace)
}

// hubsOf returns the first daemon of each data centre.
func hubsOf(all []Daemon) map[string]Daemon {
	hubs := make(map[string]Daemon)
	for _, daemon := range all {
		if _, ok := hubs[daemon.DataCentre]; !ok {
			hubs[daemon.DataCentre] = daemon
		}
	}
	return hubs
}

func hubPlan(self Daemon, all []Daemon, hubs map[string]Daemon) Plan {
	plan := Plan{Reads: true, Pace: pace(len(all))}
	for _, daemon := range all {
		target := Target{Name: daemon.Name, Address: daemon.Address}
		switch {
		case daemon.Name == self.Name:
			continue
		case daemon.DataCentre == self.DataCentre:
			target.Scope, target.Store = Sums, true
		case hubs[daemon.DataCentre].Name == daemon.Name:
			target.Scope = Near
		default:
			continue
		}
		plan.Targets = append(plan.Targets, target)
	}
	return plan
}
