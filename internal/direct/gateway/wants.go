package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/topology"
)

// askers are the peers that wait for an adapter of a server, and until when.
type askers map[string]clock.Millis

// add notes that a peer waits until a time.
func (askers askers) add(peer string, until clock.Millis) {
	askers[peer] = max(askers[peer], until)
}

// ownerOf returns the daemon that gives orders to a server, as this one has heard itself
// or as its hub says. The mutex is held.
func (core *core) ownerOf(now clock.Millis, server string) (string, bool) {
	if owner, ok := core.tenure.Owner(now, server); ok || core.members.Role() == topology.Candidate {
		return owner, ok
	}
	owner, ok := core.owners[server]
	return owner, ok
}

// sendWant asks for an adapter: the daemon that gives orders to the server, or where there
// is no connection to it this daemon's hub, which passes it on; the owner may be unknown
// here. The mutex is held.
func (gateway *Gateway) sendWant(owner string, want peers.AdapterRequest) {
	core := gateway.core
	if owner == core.settings.Name {
		gateway.want(want)
		return
	}
	if peer, ok := core.members.Peer(owner); ok && gateway.send(peer.Address, peers.Message{AdapterRequest: &want}) {
		return
	}
	if hub, ok := core.members.Peer(core.hub); ok {
		gateway.send(hub.Address, peers.Message{AdapterRequest: &want})
	}
}

// wanted asks the planner of a server for an adapter on a peer's behalf, or passes it on
// for a daemon whose hub this one is.
func (gateway *Gateway) wanted(from string, want peers.AdapterRequest) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if held, ok := core.orders[want.Server]; ok {
		held.askers.add(from, now+want.Left)
		gateway.want(want)
		return
	}
	owner, known := core.tenure.Owner(now, want.Server)
	peer, connected := core.members.Peer(owner)
	if !core.inGroup(from) || !known || !connected {
		return // it asks again
	}
	relayed, ok := core.askers[want.Server]
	if !ok {
		relayed = make(askers)
		core.askers[want.Server] = relayed
	}
	relayed.add(from, now+want.Left)
	gateway.send(peer.Address, peers.Message{AdapterRequest: &want})
}

// want passes a request's need to the planner, if it is this daemon's. The mutex is held.
func (gateway *Gateway) want(want peers.AdapterRequest) {
	core := gateway.core
	held, ok := core.orders[want.Server]
	if !ok {
		return
	}
	now := core.now()
	if want.Absent {
		held.planner.MarkMissing(now, want.Adapter)
		gateway.publish(want.Server, held)
	}
	held.planner.RequestAdapter(now, want.Adapter, want.Version, want.Rank, now+want.Left)
	gateway.publish(want.Server, held)
	held.poke()
}

// tellAskers tells a table at once to the peers that wait for an adapter of the server: by
// digests it would reach them after up to three intervals. A hub tells those that it has
// asked for in turn. The mutex is held.
func (gateway *Gateway) tellAskers(waiting askers, table fleet.Table) {
	core := gateway.core
	now := core.now()
	for name, until := range waiting {
		peer, ok := core.members.Peer(name)
		if !ok || now >= until {
			delete(waiting, name)
			continue
		}
		if gateway.send(peer.Address, peers.Message{Delta: &peers.Delta{Tables: []fleet.Table{table}}}) {
			core.toldTo(peer.Address).tables[table.Server] = stampOf(table)
		}
	}
}
