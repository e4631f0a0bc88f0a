package gateway

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/topology"
)

// unreachable notes that a server could not be reached, and tells peers at once. The
// mutex is held.
func (gateway *Gateway) unreachable(now clock.Millis, server string) {
	span := gateway.core.fleet.Unreachable(now, server)
	if span == 0 {
		return
	}
	gateway.log.Info("server not reached", "Server", server, "BackoffMillis", span)
	gateway.core.notify()
	gateway.tellDown(now, []peers.Down{{Server: server, For: span}}, "")
}

// tellDown tells this daemon's targets but one of servers that were not reached. The
// mutex is held.
func (gateway *Gateway) tellDown(now clock.Millis, down []peers.Down, but string) {
	for _, target := range gateway.core.plan(now).Targets {
		if target.Name != but {
			gateway.send(target.Address, peers.Message{Digest: &peers.Digest{Down: down}})
		}
	}
}

// takeDown takes over which servers a peer could not reach. A hub passes news on. The
// mutex is held.
func (gateway *Gateway) takeDown(now clock.Millis, from string, down []peers.Down) {
	core := gateway.core
	var news []peers.Down
	for _, each := range down {
		if core.fleet.Doubt(now, each.Server, each.For) {
			gateway.log.Info("server not reached by a peer", "Server", each.Server, "Peer", from, "BackoffMillis", each.For)
			news = append(news, each)
		}
	}
	if len(news) == 0 {
		return
	}
	core.notify()
	hub := slices.ContainsFunc(core.plan(now).Targets, func(target topology.Target) bool { return target.Scope == topology.Sums })
	if hub {
		gateway.tellDown(now, news, from)
	}
}
