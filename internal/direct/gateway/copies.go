package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
)

// copyRank is the rank of copies that no particular request waits for. It is less urgent than
// that of any route.
const copyRank = 100

// copyVisibilityDelay is how long a requested copy may take to appear in a table: the time for
// the request to reach the server's owner, and for the table to come back through a hub.
const copyVisibilityDelay = 400 * clock.Millisecond

// requestedCopies records how many copies of an adapter were being loaded after the last request
// for copies, the requested ones included, and when that request was made.
type requestedCopies struct {
	count int
	at    clock.Millis
}

// requestCopies has adapters loaded on additional servers if more work waits for them on the
// servers that this daemon owns than those can handle. It does so only at sites with hubs: in a
// mesh the daemons that place requests see the backlog themselves in time. The mutex must be
// held.
func (gateway *Gateway) requestCopies(now clock.Millis) {
	core := gateway.core
	if core.catalog == nil || core.members.Plan().Mesh {
		return
	}
	goal := loading.MaxReadingTime(core.loadRate.LoadTime(), core.catalog.MinGapGoal())
	for server := range core.orderWorkers {
		member, ok := core.fleet.Member(server)
		if !ok || !core.isEngine(member.Service) || core.promptBacklog(server) < goal {
			continue
		}
		for adapter, uses := range core.work.UsesAt(server) {
			demand := core.demand(now, adapter)
			demand.Uses, demand.Runs = uses, core.work.Load(server).Runs
			gateway.requestCopiesOf(now, member, adapter, loading.CopiesNeeded(demand, goal))
		}
	}
}

// promptBacklog estimates how long an engine needs to read (prefill) the prompts that it has
// been sent. The mutex must be held.
func (core *core) promptBacklog(server string) clock.Millis {
	return clock.Millis(float64(core.work.Load(server).Reading) / core.readRate.TokensPerMS())
}

// demand returns the backlog of the servers that hold an adapter or are loading it, and the
// numbers of both. The mutex must be held.
func (core *core) demand(now clock.Millis, adapter platformapi.Adapter) loading.Demand {
	demand := loading.Demand{}
	for _, member := range core.fleet.Holders(adapter) {
		demand.Backlog += core.promptBacklog(member.ID)
		if slot, ok := member.Slot(adapter); ok && slot.Coming {
			demand.Loading++
			continue
		}
		demand.Holders++
	}
	if requested := core.copiesRequested[adapter]; now-requested.at < copyVisibilityDelay {
		demand.Loading = max(demand.Loading, requested.count)
	}
	return demand
}

// requestCopiesOf requests further copies of an adapter, because the server that it is given is
// too busy. The mutex must be held.
func (gateway *Gateway) requestCopiesOf(now clock.Millis, busy *fleet.Member, adapter platformapi.Adapter, count int) {
	core := gateway.core
	if count == 0 || gateway.storeBusy() {
		return
	}
	query := choose.Query{
		Now: now, Service: busy.Service, DataCentre: busy.DataCentre, Adapter: adapter, AdapterSlots: core.adapterSlots(busy.Service),
		HasOwner: func(server string) bool { _, ok := core.ownerOf(now, server); return ok },
	}
	core.addPausesForCopies(&query, busy)
	core.addLocality(&query)
	targets := core.weights().CopyTargets(query, adapterHash(adapter), core.fleet, core.work, count)
	core.copiesRequested[adapter] = requestedCopies{count: core.demand(now, adapter).Loading + len(targets), at: now}
	for _, target := range targets {
		owner, _ := core.ownerOf(now, target.ID)
		core.log.Info("adapter copy requested", "Server", target.ID, "Adapter", adapter.Name, "Owner", owner, "Busy", busy.ID, "Copies", count)
		gateway.sendAdapterRequest(owner, peers.AdapterRequest{Server: target.ID, Adapter: adapter, Version: core.newestVersion(adapter), Rank: copyRank, Left: copyRequestLifetime})
	}
}

// storeBusy reports whether the weight store has too many loads in flight to add copies that no
// request waits for. The mutex must be held.
func (gateway *Gateway) storeBusy() bool {
	traffic := gateway.core.traffic()
	return float64(traffic.InFlight) > copyMaxStoreLoad*float64(gateway.core.loadRate.FullSpeedLoads(traffic.Servers))
}

// adapterSlots returns the number of adapter slots of each server of a service. The mutex must
// be held.
func (core *core) adapterSlots(service string) int {
	return engineLimits(core.catalog.Services[service]).AdapterSlots
}
