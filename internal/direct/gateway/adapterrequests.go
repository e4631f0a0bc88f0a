package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/topology"
)

// waitingPeers holds the peers that wait for an adapter on a server, and until when they do.
type waitingPeers map[string]clock.Millis

// add records that a peer waits until a time.
func (waitingPeers waitingPeers) add(peer string, until clock.Millis) {
	waitingPeers[peer] = max(waitingPeers[peer], until)
}

// ownerOf returns the owner of a server, as known to this daemon or as received from its hub.
// The mutex must be held.
func (core *core) ownerOf(now clock.Millis, server string) (string, bool) {
	if owner, ok := core.claims.Owner(now, server); ok || core.members.Role() == topology.Candidate {
		return owner, ok
	}
	owner, ok := core.owners[server]
	return owner, ok
}

// sendAdapterRequest requests an adapter from a server's owner. Without a connection to the
// owner, or if the owner is not known here, the request goes to this daemon's hub, which
// forwards it. The mutex must be held.
func (gateway *Gateway) sendAdapterRequest(owner string, request peers.AdapterRequest) {
	core := gateway.core
	if owner == core.settings.Name {
		gateway.applyAdapterRequest(request)
		return
	}
	if peer, ok := core.members.Peer(owner); ok && gateway.send(peer.Address, peers.Message{AdapterRequest: &request}) {
		return
	}
	if hub, ok := core.members.Peer(core.hub); ok {
		gateway.send(hub.Address, peers.Message{AdapterRequest: &request})
	}
}

// handleAdapterRequest passes a peer's request for an adapter to the planner of the server, or
// forwards it to the owner if this daemon is the peer's hub.
func (gateway *Gateway) handleAdapterRequest(from string, request peers.AdapterRequest) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if worker, ok := core.orderWorkers[request.Server]; ok {
		worker.waiting.add(from, now+request.Left)
		gateway.applyAdapterRequest(request)
		return
	}
	owner, known := core.claims.Owner(now, request.Server)
	peer, connected := core.members.Peer(owner)
	if !core.inGroup(from) || !known || !connected {
		return // the peer repeats its request
	}
	relayed, ok := core.relayedAdapterRequests[request.Server]
	if !ok {
		relayed = make(waitingPeers)
		core.relayedAdapterRequests[request.Server] = relayed
	}
	relayed.add(from, now+request.Left)
	gateway.send(peer.Address, peers.Message{AdapterRequest: &request})
}

// applyAdapterRequest passes a request for an adapter to the server's planner if this daemon
// owns the server. The mutex must be held.
func (gateway *Gateway) applyAdapterRequest(request peers.AdapterRequest) {
	core := gateway.core
	worker, ok := core.orderWorkers[request.Server]
	if !ok {
		return
	}
	now := core.now()
	if request.Absent {
		worker.planner.MarkMissing(now, request.Adapter)
		gateway.publishTable(request.Server, worker)
	}
	worker.planner.RequestAdapter(now, request.Adapter, request.Version, request.Rank, now+request.Left)
	gateway.publishTable(request.Server, worker)
	worker.wakeUp()
}

// sendTableToWaiting sends a table at once to the peers that wait for an adapter on the server;
// in regular deltas it would take up to three intervals to reach them. A hub sends it on to the
// peers whose requests it has forwarded. The mutex must be held.
func (gateway *Gateway) sendTableToWaiting(waiting waitingPeers, table fleet.Table) {
	core := gateway.core
	now := core.now()
	for name, until := range waiting {
		peer, ok := core.members.Peer(name)
		if !ok || now >= until {
			delete(waiting, name)
			continue
		}
		if gateway.send(peer.Address, peers.Message{Delta: &peers.Delta{Tables: []fleet.Table{table}}}) {
			core.sentTo(peer.Address).tables[table.Server] = tableVersion(table)
		}
	}
}
