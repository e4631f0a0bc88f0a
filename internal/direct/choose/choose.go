// Package choose picks the backend server for a request: the one with the shortest
// expected time to the first event of the answer. It also decides when a prompt is delayed
// at a busy engine, and estimates the engines' read rate and slot time. It does no I/O:
// package gateway sends the requests, and package loading plans the loads of adapters.
package choose

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

// Weights are the terms of a server's cost, which is the expected time to the first
// event of the answer. They are in milliseconds unless noted otherwise.
type Weights struct {
	ReadTokensPerMS float64 // observed rate at which an engine reads (prefills) prompt tokens
	Full            float64 // cost of a server whose slots are all taken; scaled by the share of slots taken
	Queued          float64 // cost of each request beyond the server's slots while Slot is unknown
	Slot            float64 // observed time for which a request occupies a slot; 0: unknown
	Load            float64 // time to load an adapter from the weight store
	AtHand          float64 // time to load an adapter that the server held recently
	Coming          float64 // average remaining time of a load in progress
	Copy            float64 // cost of loading another copy of an adapter that other servers hold
	Crowded         float64 // cost of each adapter in use beyond the server's adapter slots
	Orderless       float64 // cost of a load at a server that has no owner
	Step            float64 // cost of each position down the adapter's rendezvous order of servers
	Trouble         float64 // cost of a server whose requests all fail; scaled by its failure rate
	Suspect         float64 // cost of a server that could not be reached recently
	Away            float64 // cost of a server in another data centre
	Nearby          float64 // how much more a server in the own data centre may cost and still be preferred, where locality is active; 0: off
	Relief          float64 // a copy is made only if its server would be cheaper by more than this
	Late            float64 // cost of a stream that pauses for longer than its gap goal; scaled by the probability; 0: not counted
	LateOthers      float64 // share of Late that each stream running at the same server adds
	Shortcut        bool    // skip the other servers if none can be cheaper than the best holder of the adapter
	Homes           int     // positions of the rendezvous order that Step distinguishes; 4 at most
}

// DefaultWeights returns the weights used until load times are observed. They assume
// that an adapter loads in 250 ms.
func DefaultWeights() Weights {
	return Weights{
		ReadTokensPerMS: initialReadRate, Full: 250, Queued: 40,
		Load: 300, AtHand: 60, Coming: 160, Copy: 150, Crowded: 300, Orderless: 1500, Step: 40,
		Trouble: 1500, Suspect: 3000, Away: 1, Nearby: 60, Relief: 100, Shortcut: true, Homes: 3,
		Late: 800, LateOthers: 0.25,
	}
}

// Overheads of loads.
const (
	// loadOverhead and recentLoadOverhead are the milliseconds that sending the order and learning
	// of the end of the load take, in addition to the load itself.
	loadOverhead       = 50
	recentLoadOverhead = 35
	// remainingLoadShare is the average share of its time that a load in progress has left when
	// a daemon, which learns of it late, takes it into account.
	remainingLoadShare = 0.6
)

// WithObserved returns the weights with the observed read rate of engines and the observed
// load times of an adapter, from the weight store and when the server held it recently.
func (weights Weights) WithObserved(tokensPerMS float64, load, recent clock.Millis) Weights {
	weights.ReadTokensPerMS = tokensPerMS
	weights.Load = float64(load) + loadOverhead
	weights.AtHand = float64(recent) + recentLoadOverhead
	weights.Coming = remainingLoadShare*float64(load) + loadOverhead/5
	return weights
}

// Query describes the request to place.
type Query struct {
	Now          clock.Millis
	Service      string
	DataCentre   string                        // data centre of this daemon
	Attempt      uint64                        // hash of the request's id
	Adapter      platformapi.Adapter           // empty name: the base model; model empty as well: a plain service
	Version      int                           // minimum version of the adapter
	Prompt       int                           // tokens
	AdapterSlots int                           // adapter slots of each server
	Tried        []string                      // servers that were sent the request before
	Blocked      func(server string) bool      // whether a server must not be sent requests now; nil: no server
	Fits         func(platformapi.Server) bool // whether a stream may go on at a server; nil: the request begins anew
	HasOwner     func(server string) bool      // whether a server has an owner; nil: all servers do
	Frequent     bool                          // the adapter was requested before, recently: another copy may be worth its load
	ManyDaemons  bool                          // many daemons place requests by the same, somewhat stale load counts
	WaitingAt    string                        // the server at which the request waits for the adapter; empty: none
	PreferLocal  bool                          // prefer servers in DataCentre, by Weights.Nearby
	Short        *LoadAverage                  // of the service, for a request that ends before other daemons' counts show it; nil: counts are used

	// Inputs of pause-aware placement. Without them all engines count as equal.
	GapGoal  clock.Millis                // longest pause of a stream on time; 0: pauses are not counted
	Speed    func(server string) float64 // speed of a server relative to the median, between 0.2 and 4; nil: 1
	Interval func(server string) float64 // milliseconds between two events of a stream; 0: unknown; nil: all unknown

	// FastestSpeed is at least the highest value that Speed returns, or 0 if that is unknown. With a
	// lower one, most requests are placed without considering all servers.
	FastestSpeed float64
}

// Excludes reports whether a server must not be sent the request, whatever its cost.
func (query Query) Excludes(member *fleet.Member) bool {
	if query.Fits != nil && !query.Fits(member.Server) {
		return true
	}
	return slices.Contains(query.Tried, member.ID) || member.PausedFor(query.Now) > 0 || query.Blocked != nil && query.Blocked(member.ID)
}

// Choice is a chosen server and its cost.
type Choice struct {
	Member *fleet.Member
	Cost   float64 // expected time in milliseconds, and the cost of late streams
	Ready  bool    // the server holds what the request needs and can run it at once
	// CopyTo is a server that should load another copy of the adapter for later requests,
	// as all its holders are much busier. Nil: no copy is needed.
	CopyTo *fleet.Member
	base   float64 // Cost without the cost of late streams, by which it is compared with loads
}

// Choose returns the cheapest server, or false if no server may take the request.
func (weights Weights) Choose(query Query, adapterHash uint64, servers *fleet.Fleet, work *inflight.Tracker) (Choice, bool) {
	if query.Short != nil {
		return weights.chooseShort(query, servers, work)
	}
	if choice, ok := weights.chooseHolder(query, servers, work); ok {
		return choice, true
	}
	return weights.chooseAny(query, adapterHash, servers, work)
}

// chooseHolder considers only the holders of the adapter. It reports true if no other
// server can cost less than the one returned. This holds for most requests, so that few
// have to consider all servers.
func (weights Weights) chooseHolder(query Query, servers *fleet.Fleet, work *inflight.Tracker) (Choice, bool) {
	if query.Adapter.Name == "" || !weights.Shortcut {
		return Choice{}, false
	}
	best := Choice{}
	draw, local := draw{bySpeed: query.Speed != nil}, weights.localHolders(query)
	for _, member := range servers.Holders(query.Adapter) {
		if !query.canRun(member) {
			continue
		}
		holder := weights.holder(query, servers, work, member)
		if best.Member == nil || holder.Cost < best.Cost {
			best = holder.Choice
		}
		if query.ManyDaemons {
			draw.add(&holder)
			local.add(&holder)
		}
	}
	if best.Member == nil {
		return Choice{}, false
	}
	lowest := best
	if query.ManyDaemons {
		best = local.prefer(draw.pick(best, weights), weights)
	}
	return best, weights.isCheapest(query, lowest, best)
}

// chooseAny considers all servers of the service.
func (weights Weights) chooseAny(query Query, adapterHash uint64, servers *fleet.Fleet, work *inflight.Tracker) (Choice, bool) {
	usable := servers.Usable(query.Service)
	copies := 0
	var preferred preferredRanks
	if query.Adapter.Name != "" {
		copies, preferred = rankServers(usable, query, adapterHash)
	}
	best, other, waiting, spare := Choice{}, Choice{}, Choice{}, Choice{}
	places := weights.copyPlaces(query, servers)
	draw, local := draw{bySpeed: query.Speed != nil}, weights.localHolders(query)
	for _, member := range usable {
		if query.Excludes(member) {
			continue
		}
		if ready(member, query) {
			holder := weights.holder(query, servers, work, member)
			if best.Member == nil || holder.Cost < best.Cost {
				best = holder.Choice
			}
			if query.ManyDaemons {
				draw.add(&holder)
				local.add(&holder)
			}
			continue
		}
		cost, _ := weights.baseCost(query, servers, member, work.Load(member.ID), speedOf(query.Speed, member))
		cost += tieBreaker(query, member)
		position := preferred.position(rank(adapterHash, member), weights.Homes)
		crowding := weights.crowdingCost(query, member, work)
		loaded := cost + weights.Step*float64(position) + crowding + places.cost(member)
		if spare.Member == nil || loaded < spare.Cost {
			spare = Choice{Member: member, Cost: loaded}
		}
		cost += weights.loadCost(query, member, position, copies) + crowding
		if member.ID == query.WaitingAt {
			waiting = Choice{Member: member, Cost: cost}
		}
		if other.Member == nil || cost < other.Cost {
			other = Choice{Member: member, Cost: cost}
		}
	}
	if best.Member == nil || other.Member != nil && other.Cost < best.base {
		// A waiting request stays at its server unless another one can run it at once:
		// moving it would have the adapter loaded at two servers.
		if waiting.Member != nil && !waiting.Member.Suspect(query.Now) {
			return waiting, true
		}
		return other, other.Member != nil
	}
	if query.ManyDaemons {
		best = local.prefer(draw.pick(best, weights), weights)
	}
	if query.Frequent && spare.Member != nil && best.base > spare.Cost+weights.Relief {
		best.CopyTo = weights.copyTarget(query, usable, spare.Member)
	}
	return best, true
}

// copyTarget returns spare as the server for another copy, or nil if it has no owner or a
// copy is being loaded already.
func (weights Weights) copyTarget(query Query, usable []*fleet.Member, spare *fleet.Member) *fleet.Member {
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

// rankServers returns how many servers can run a request at once, and the highest ranks of
// its adapter's rendezvous order.
func rankServers(usable []*fleet.Member, query Query, adapterHash uint64) (copies int, preferred preferredRanks) {
	for _, member := range usable {
		preferred.add(rank(adapterHash, member))
		if ready(member, query) {
			copies++
		}
	}
	return copies, preferred
}
