// Package choose picks the backend server for a request by the least expected
// time to the first piece of its answer. It does no I/O and keeps no state.
package choose

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

// Weights are the parts of the expected time, in milliseconds unless they say
// otherwise.
type Weights struct {
	ReadTokensPerMS float64 // prompt tokens that an engine reads in a millisecond, as observed
	Full            float64 // for a server with all of its slots taken, in proportion to those that are
	Queued          float64 // for each request beyond the server's slots, while Slot is not known
	Slot            float64 // that a request takes up a slot, as observed; 0: not known
	Load            float64 // of an adapter that the server does not hold
	AtHand          float64 // of an adapter that the server held of late
	Coming          float64 // what is left, on average, of a load on its way
	Copy            float64 // for making a further copy of an adapter that is held elsewhere
	Crowded         float64 // for each adapter in use beyond the places of the server
	Orderless       float64 // for a load at a server that no daemon gives orders to
	Step            float64 // for each step down the adapter's order of servers
	Trouble         float64 // for a server that fails all its requests
	Suspect         float64 // for a server that could not be reached
	Away            float64 // for a server in another data centre
	Relief          float64 // by which a server that could hold a copy is better when one is made
	Shortcut        bool    // where a holder of the adapter cannot be beaten, other servers are not looked at
	Homes           int     // servers, first in an adapter's order, that steps are counted among; 4 at most
}

// DefaultWeights returns weights for adapters that take 250 ms until others are observed.
func DefaultWeights() Weights {
	return Weights{
		ReadTokensPerMS: firstReadRate, Full: 250, Queued: 40,
		Load: 300, AtHand: 60, Coming: 160, Copy: 150, Crowded: 300, Orderless: 1500, Step: 40,
		Trouble: 1500, Suspect: 3000, Away: 1, Relief: 100, Shortcut: true, Homes: 3,
	}
}

// Costs of loads beside the time that they take: what an order and the news of its end
// need, in milliseconds; and the share of its time that a load on its way has left, as
// seen by those who hear of it late.
const (
	loadNews    = 50
	recentNews  = 35
	comingShare = 0.6
)

// WithObserved returns the weights with what was observed of engines and the weight store.
func (weights Weights) WithObserved(tokensPerMS float64, load, recent clock.Millis) Weights {
	weights.ReadTokensPerMS = tokensPerMS
	weights.Load = float64(load) + loadNews
	weights.AtHand = float64(recent) + recentNews
	weights.Coming = comingShare*float64(load) + loadNews/5
	return weights
}

// Query is what is known of a request.
type Query struct {
	Now          clock.Millis
	Service      string
	DataCentre   string                   // of this daemon
	Attempt      uint64                   // hash of the request's id
	Adapter      platformapi.Adapter      // its name is empty for the base model, both for a plain service
	Version      int                      // least version of the adapter
	Prompt       int                      // tokens
	AdapterSlots int                      // for adapters at each server
	Tried        []string                 // servers that had the request before
	Blocked      func(server string) bool // servers that must not get a request now; nil: none
	HasOwner     func(server string) bool // whether a daemon gives orders to a server; nil: all have one
	Frequent     bool                     // the adapter was asked for before of late: a copy pays
	ManyDaemons  bool                     // many daemons place requests by what was told some time ago
	WaitingAt    string                   // the server that is loading the adapter for the request; empty if none
}

// excludes reports whether a server must not get the request, whatever its cost.
func (query Query) excludes(member *fleet.Member) bool {
	return slices.Contains(query.Tried, member.ID) || member.PausedFor(query.Now) > 0 || query.Blocked != nil && query.Blocked(member.ID)
}

// Choice is a server and why it was chosen.
type Choice struct {
	Member *fleet.Member
	Cost   float64 // expected time in milliseconds
	Ready  bool    // the server can run the request at once
	// CopyTo is a server that should load the adapter as well, for requests to come:
	// all that hold it are much busier. Nil when there is none.
	CopyTo *fleet.Member
}

// Choose returns the best server, or false when none may take the request.
func (weights Weights) Choose(query Query, adapterHash uint64, servers *fleet.Fleet, work *inflight.Tracker) (Choice, bool) {
	if choice, ok := weights.chooseHolder(query, servers, work); ok {
		return choice, true
	}
	return weights.chooseAny(query, adapterHash, servers, work)
}

// chooseHolder looks at the holders of an adapter only. It returns a server where no
// other one can cost less: as most requests find one, few look at all servers.
func (weights Weights) chooseHolder(query Query, servers *fleet.Fleet, work *inflight.Tracker) (Choice, bool) {
	if query.Adapter.Name == "" || !weights.Shortcut {
		return Choice{}, false
	}
	best := Choice{}
	var drawn draw
	for _, member := range servers.Holders(query.Adapter) {
		if member.Service != query.Service || member.Draining || !ready(member, query) || query.excludes(member) {
			continue
		}
		choice := Choice{Member: member, Ready: true, Cost: weights.base(query, servers, work, member) + spread(query, member)}
		if best.Member == nil || choice.Cost < best.Cost {
			best = choice
		}
		drawn.add(choice, rank(query.Attempt, member))
	}
	if best.Member == nil {
		return Choice{}, false
	}
	if query.ManyDaemons {
		best = drawn.cheaper(best, weights.Load)
	}
	least := float64(query.Prompt)/weights.ReadTokensPerMS + min(weights.AtHand, weights.Coming, weights.Load, weights.Relief)
	return best, best.Cost <= least
}

// chooseAny looks at all servers of the service.
func (weights Weights) chooseAny(query Query, adapterHash uint64, servers *fleet.Fleet, work *inflight.Tracker) (Choice, bool) {
	usable := servers.Usable(query.Service)
	copies := 0
	var first homes
	if query.Adapter.Name != "" {
		copies, first = survey(usable, query, adapterHash)
	}
	best, waiting, spare := Choice{}, Choice{}, Choice{}
	var drawn draw
	for _, member := range usable {
		if query.excludes(member) {
			continue
		}
		choice := Choice{Member: member, Ready: ready(member, query)}
		choice.Cost = weights.base(query, servers, work, member) + spread(query, member)
		if !choice.Ready {
			steps := first.steps(rank(adapterHash, member), weights.Homes)
			crowding := weights.crowding(query, member, work)
			loaded := choice.Cost + weights.Step*float64(steps) + crowding
			if spare.Member == nil || loaded < spare.Cost {
				spare = Choice{Member: member, Cost: loaded}
			}
			choice.Cost += weights.load(query, member, steps, copies) + crowding
		}
		if member.ID == query.WaitingAt && !choice.Ready {
			waiting = choice
		}
		if best.Member == nil || choice.Cost < best.Cost {
			best = choice
		}
		if choice.Ready {
			drawn.add(choice, rank(query.Attempt, member))
		}
	}
	if query.ManyDaemons && best.Ready {
		best = drawn.cheaper(best, weights.Load)
	}
	// A request that waits stays where it waits, unless another server can run it
	// at once: moving on would have the adapter loaded at two servers.
	if waiting.Member != nil && !best.Ready && !waiting.Member.Suspect(query.Now) {
		return waiting, true
	}
	if query.Frequent && best.Ready && spare.Member != nil && best.Cost > spare.Cost+weights.Relief {
		best.CopyTo = weights.copyTo(query, usable, spare.Member)
	}
	return best, best.Member != nil
}

// copyTo returns the server for a further copy, unless one is on its way already.
func (weights Weights) copyTo(query Query, usable []*fleet.Member, spare *fleet.Member) *fleet.Member {
	if query.HasOwner != nil && !query.HasOwner(spare.ID) {
		return nil
	}
	for _, member := range usable {
		if slot, ok := member.Slot(query.Adapter); ok && slot.Coming {
			return nil
		}
	}
	return spare
}

// survey counts the servers that can run a request at once, and finds the homes
// of its adapter.
func survey(usable []*fleet.Member, query Query, adapterHash uint64) (copies int, first homes) {
	for _, member := range usable {
		first.add(rank(adapterHash, member))
		if ready(member, query) {
			copies++
		}
	}
	return copies, first
}
