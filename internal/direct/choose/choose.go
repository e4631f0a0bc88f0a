// Package choose picks the backend server for a request by the least expected
// time to the first piece of its answer. It does no I/O and keeps no state.
package choose

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/port"
	"teaselmoor/internal/direct/tally"
)

// Weights are the parts of the expected time, in milliseconds unless they say
// otherwise.
type Weights struct {
	ReadTokensPerMS float64 // prompt tokens that an engine reads in a millisecond
	Run             float64 // for each request in progress at the server
	Queued          float64 // for each request beyond the server's slots
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
	Homes           int     // servers, first in an adapter's order, that steps are counted among; 4 at most
}

// DefaultWeights returns weights for the engines of the platform: 19 to 26
// prompt tokens a millisecond, 250 ms for an adapter.
func DefaultWeights() Weights {
	return Weights{
		ReadTokensPerMS: 20, Run: 4, Queued: 40,
		Load: 300, AtHand: 60, Coming: 160, Copy: 150, Crowded: 300, Orderless: 1500, Step: 40,
		Trouble: 1500, Suspect: 3000, Away: 1, Relief: 100, Homes: 3,
	}
}

// Query is what is known of a request.
type Query struct {
	Now        clock.Millis
	Service    string
	DataCentre string                   // of this daemon
	Attempt    uint64                   // hash of the request's id
	Adapter    port.Adapter             // its name is empty for the base model, both for a plain service
	Version    int                      // least version of the adapter
	Prompt     int                      // tokens
	Places     int                      // for adapters at each server
	Tried      []string                 // servers that had the request before
	Ordered    func(server string) bool // whether a daemon gives orders to a server; nil: all have one
	Frequent   bool                     // the adapter was asked for before of late: a copy pays
	Many       bool                     // many daemons place requests by what was told some time ago
	Waiting    string                   // the server that is loading the adapter for the request; empty if none
}

// Choice is a server and why it was chosen.
type Choice struct {
	Member *fleet.Member
	Cost   float64 // expected time in milliseconds
	Held   bool    // the server can run the request at once
	// Copy is a server that should load the adapter as well, for requests to come:
	// all that hold it are much busier. Nil when there is none.
	Copy *fleet.Member
}

// mixer spreads the hash of a pair over all bits (the golden ratio times 2^64).
const mixer = 0x9E3779B97F4A7C15

func rank(adapter uint64, member *fleet.Member) uint64 {
	mixed := (adapter ^ member.Hash) * mixer
	mixed ^= mixed >> 32
	return mixed * mixer
}

// homes are the highest ranks of an adapter among the servers, highest first.
type homes [mostHomes]uint64

// mostHomes bounds Weights.Homes.
const mostHomes = 4

// add takes a rank in, if it is among the highest.
func (homes *homes) add(rank uint64) {
	for i, other := range homes {
		if rank > other {
			homes[i], rank = rank, other
		}
	}
}

// steps counts the homes before a rank, up to most.
func (homes *homes) steps(rank uint64, most int) int {
	for i := range min(most, len(homes)) {
		if homes[i] <= rank {
			return i
		}
	}
	return min(most, len(homes))
}

// Choose returns the best server, or false when none may take the request.
func (weights Weights) Choose(query Query, adapterHash uint64, servers *fleet.Fleet, work *tally.Tally) (Choice, bool) {
	usable := servers.Usable(query.Service)
	copies := 0
	var first homes
	if query.Adapter.Name != "" {
		copies, first = survey(usable, query, adapterHash)
	}
	best, waiting, spare := Choice{}, Choice{}, Choice{}
	var drawn draw
	for _, member := range usable {
		if slices.Contains(query.Tried, member.ID) {
			continue
		}
		choice := Choice{Member: member, Held: ready(member, query)}
		choice.Cost = weights.base(query, servers, work, member) + spread(query, member)
		if !choice.Held {
			steps := first.steps(rank(adapterHash, member), weights.Homes)
			crowding := weights.crowding(query, member, work)
			loaded := choice.Cost + weights.Step*float64(steps) + crowding
			if spare.Member == nil || loaded < spare.Cost {
				spare = Choice{Member: member, Cost: loaded}
			}
			choice.Cost += weights.load(query, member, steps, copies) + crowding
		}
		if member.ID == query.Waiting && !choice.Held {
			waiting = choice
		}
		if best.Member == nil || choice.Cost < best.Cost {
			best = choice
		}
		if choice.Held {
			drawn.add(choice, rank(query.Attempt, member))
		}
	}
	if query.Many && best.Held {
		best = drawn.cheaper(best, weights.Load)
	}
	// A request that waits stays where it waits, unless another server can run it
	// at once: moving on would have the adapter loaded at two servers.
	if waiting.Member != nil && !best.Held && !waiting.Member.Suspect(query.Now) {
		return waiting, true
	}
	if query.Frequent && best.Held && spare.Member != nil && best.Cost > spare.Cost+weights.Relief {
		best.Copy = weights.copyTo(query, usable, spare.Member)
	}
	return best, best.Member != nil
}

// draw holds two of the servers that can run a request at once, as its id draws them.
// Where many daemons place requests by sums that are some hundred milliseconds old,
// all of them would choose the server that was best then, a new copy above all.
type draw struct {
	choices [2]Choice
	ranks   [2]uint64
}

func (draw *draw) add(choice Choice, rank uint64) {
	for i := range draw.choices {
		if draw.choices[i].Member == nil || rank > draw.ranks[i] {
			choice, draw.choices[i] = draw.choices[i], choice
			rank, draw.ranks[i] = draw.ranks[i], rank
		}
		if choice.Member == nil {
			return
		}
	}
}

// cheaper returns the cheaper of the drawn servers, or the best of all where both
// cost far more: they may be failing.
func (draw *draw) cheaper(best Choice, most float64) Choice {
	chosen := draw.choices[0]
	if second := draw.choices[1]; second.Member != nil && second.Cost < chosen.Cost {
		chosen = second
	}
	if chosen.Cost > best.Cost+most {
		return best
	}
	return chosen
}

// copyTo returns the server for a further copy, unless one is on its way already.
func (weights Weights) copyTo(query Query, usable []*fleet.Member, spare *fleet.Member) *fleet.Member {
	if query.Ordered != nil && !query.Ordered(spare.ID) {
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

// spread decides between servers that cost the same: without it the first one
// would get all requests that come one after another.
func spread(query Query, member *fleet.Member) float64 {
	return float64(rank(query.Attempt, member)>>32) / (1 << 32)
}

// base is the cost of a server apart from its adapters.
func (weights Weights) base(query Query, servers *fleet.Fleet, work *tally.Tally, member *fleet.Member) float64 {
	load := work.Load(member.ID)
	cost := float64(load.Reading+query.Prompt)/weights.ReadTokensPerMS + weights.Run*float64(load.Runs)
	if beyond := load.Runs + 1 - member.Slots; beyond > 0 {
		cost += weights.Queued * float64(beyond)
	}
	cost += weights.Trouble * servers.Trouble(query.Now, member)
	if member.Suspect(query.Now) {
		cost += weights.Suspect
	}
	if member.DataCentre != query.DataCentre {
		cost += weights.Away
	}
	return cost
}

// load is the cost of an adapter that the server does not hold.
func (weights Weights) load(query Query, member *fleet.Member, steps, copies int) float64 {
	if slot, ok := member.Slot(query.Adapter); ok && slot.Coming {
		return weights.Coming
	}
	if member.AtHand(query.Adapter) {
		return weights.AtHand
	}
	cost := weights.Load + weights.Step*float64(steps)
	if query.Ordered != nil && !query.Ordered(member.ID) {
		cost += weights.Orderless
	}
	if copies > 0 {
		cost += weights.Copy
	}
	return cost
}

// crowding is the cost of a server whose places are taken by adapters in use:
// one of them has to end before another adapter can be loaded.
func (weights Weights) crowding(query Query, member *fleet.Member, work *tally.Tally) float64 {
	beyond := work.Distinct(member.ID) + 1 - query.Places
	if beyond <= 0 || query.Adapter.Name == "" {
		return 0
	}
	return weights.Crowded * float64(beyond)
}

func ready(member *fleet.Member, query Query) bool {
	if query.Adapter.Model == "" {
		return true
	}
	if query.Adapter.Name == "" {
		return member.HoldsModel(query.Adapter.Model)
	}
	slot, ok := member.Slot(query.Adapter)
	return ok && !slot.Coming && slot.Version >= query.Version
}
