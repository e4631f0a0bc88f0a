package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
)

// copyRank is the rank of copies that no single request waits for, behind all routes.
const copyRank = 100

// copyNews is how long a copy that was asked for may not show in any table yet: the ask,
// the table and its way back by a hub.
const copyNews = 400 * clock.Millisecond

// askedCopies is how many copies of an adapter were asked for last, and when.
type askedCopies struct {
	count int
	at    clock.Millis
}

// addCopies has adapters loaded at further servers where more work waits for them at the
// servers that this daemon orders than one can do. It answers the load of a site with hubs:
// in a mesh the daemons that place requests see it themselves in time. The mutex is held.
func (gateway *Gateway) addCopies(now clock.Millis) {
	core := gateway.core
	if core.catalog == nil || core.members.Plan().Mesh {
		return
	}
	goal := loading.MaxReadingTime(core.loadRate.LoadTime(), core.catalog.MinGapGoal())
	for server := range core.orders {
		member, ok := core.fleet.Member(server)
		if !ok || !core.isEngine(member.Service) || core.backlog(server) < goal {
			continue
		}
		for adapter, uses := range core.work.UsesAt(server) {
			demand := core.demand(now, adapter)
			demand.Uses, demand.Runs = uses, core.work.Load(server).Runs
			gateway.addCopiesOf(now, member, adapter, loading.CopiesNeeded(demand, goal))
		}
	}
}

// backlog is how long an engine reads the prompts that it has been sent. The mutex is held.
func (core *core) backlog(server string) clock.Millis {
	return clock.Millis(float64(core.work.Load(server).Reading) / core.readRate.TokensPerMS())
}

// demand returns what waits at the servers that have an adapter or are to have it. The
// mutex is held.
func (core *core) demand(now clock.Millis, adapter platformapi.Adapter) loading.Demand {
	demand := loading.Demand{}
	for _, member := range core.fleet.Holders(adapter) {
		demand.Backlog += core.backlog(member.ID)
		if slot, ok := member.Slot(adapter); ok && slot.Coming {
			demand.Loading++
			continue
		}
		demand.Holders++
	}
	if asked := core.copiesAsked[adapter]; now-asked.at < copyNews {
		demand.Loading = max(demand.Loading, asked.count)
	}
	return demand
}

// addCopiesOf asks for copies of an adapter of a server. The mutex is held.
func (gateway *Gateway) addCopiesOf(now clock.Millis, from *fleet.Member, adapter platformapi.Adapter, count int) {
	core := gateway.core
	if count == 0 || gateway.storeCrowded() {
		return
	}
	query := choose.Query{
		Now: now, Service: from.Service, DataCentre: from.DataCentre, Adapter: adapter, AdapterSlots: core.placesAt(from.Service),
		HasOwner: func(server string) bool { _, ok := core.ownerOf(now, server); return ok },
	}
	spares := core.weights().CopyTargets(query, hashOf(adapter), core.fleet, core.work, count)
	core.copiesAsked[adapter] = askedCopies{count: core.demand(now, adapter).Loading + len(spares), at: now}
	for _, spare := range spares {
		owner, _ := core.ownerOf(now, spare.ID)
		core.log.Info("copy asked for", "Server", spare.ID, "Adapter", adapter.Name, "Owner", owner, "Busy", from.ID, "Copies", count)
		gateway.sendWant(owner, peers.AdapterRequest{Server: spare.ID, Adapter: adapter, Version: core.newest(adapter), Rank: copyRank, Left: copyLife})
	}
}

// storeCrowded reports whether the weight store has enough to do with what requests wait
// for. The mutex is held.
func (gateway *Gateway) storeCrowded() bool {
	traffic := gateway.core.traffic()
	return float64(traffic.InFlight) > copyCrowd*float64(gateway.core.loadRate.FullSpeedLoads(traffic.Servers))
}

// placesAt returns how many adapters each server of a service has places for. The mutex
// is held.
func (core *core) placesAt(service string) int {
	return limitsOf(core.catalog.Services[service]).AdapterSlots
}
