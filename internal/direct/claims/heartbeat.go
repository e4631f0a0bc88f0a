package claims

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

// Heartbeat is what a peer periodically reports about its claims.
type Heartbeat struct {
	Peer string
	// Interval is the maximum time until the peer's next heartbeat; until then it may
	// send orders without a further heartbeat.
	Interval     clock.Millis
	Claims       []Claim  // all claims of the peer
	OrderSenders []string // daemons that may send orders, as far as the peer knows; nil: unchanged
	Idle         bool     // the peer keeps its servers but claims no more
}

// ApplyHeartbeat applies a heartbeat received from a peer.
func (registry *Registry) ApplyHeartbeat(now clock.Millis, heartbeat Heartbeat) {
	peer, claims := heartbeat.Peer, heartbeat.Claims
	until := now + max(0, heartbeat.Interval-updateInterval)
	registry.lastContact[peer] = until
	if _, ok := registry.firstContact[peer]; !ok {
		registry.firstContact[peer] = now
	}
	if heartbeat.OrderSenders != nil {
		registry.orderSendersByPeer[peer] = heartbeat.OrderSenders
	}
	registry.idle[peer] = heartbeat.Idle
	for server, state := range registry.servers {
		dropped := !slices.ContainsFunc(claims, func(claim Claim) bool { return claim.Server == server })
		if state.owner == peer && dropped {
			state.owner = ""
			state.lastOrderAt = now // the peer may have sent orders since its previous heartbeat
		}
	}
	for _, claim := range claims {
		registry.applyClaim(now, until, peer, claim)
	}
}

// applyClaim records a claim of a peer, unless another live owner has a higher fencing number.
func (registry *Registry) applyClaim(now, until clock.Millis, peer string, claim Claim) {
	state, ok := registry.servers[claim.Server]
	if !ok {
		state = &serverState{}
		registry.servers[claim.Server] = state
	}
	if claim.Fence < state.fence && state.owner != peer && registry.ownerIsLive(now, state) {
		return
	}
	// A claim with a lower number is accepted if the daemon with the higher one is
	// silent or no longer owns the server: the sender is then the one that sends orders.
	state.owner = peer
	state.watch = orderWatch{}
	state.fence = max(state.fence, claim.Fence)
	state.ownerLastContact = until
	state.lastOrderAt = max(state.lastOrderAt, now-claim.Idle)
}

// ownerIsLive reports whether a server is owned by this daemon or by one that is not silent.
func (registry *Registry) ownerIsLive(now clock.Millis, state *serverState) bool {
	return state.owner == registry.self || state.owner != "" && now-state.ownerLastContact < registry.options.Suspicion
}

// Left records that a peer owns no servers and claims none, although it may still send
// reports. It no longer counts in the choice of a daemon for free servers.
func (registry *Registry) Left(now clock.Millis, peer string) {
	delete(registry.lastContact, peer)
	delete(registry.orderSendersByPeer, peer)
	delete(registry.idle, peer)
	for reporter, names := range registry.orderSendersByPeer {
		registry.orderSendersByPeer[reporter] = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == peer })
	}
	for _, state := range registry.servers {
		if state.owner == peer {
			state.owner = ""
			// The peer stopped sending orders before it announced that it leaves: of
			// quietMargin, only the time for an order in transit is needed.
			state.lastOrderAt = max(state.lastOrderAt, now-quietMargin+orderTransitTime)
		}
	}
}
