package gateway

import (
	"context"
	"net/http"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

// linksPath is the HTTP path at which a daemon tells its peers whether it reaches any server.
const linksPath = "/links"

// recentActivity is the time within which activity on connections shows that servers are reached.
const recentActivity = clock.Second

// serveLinks answers whether this daemon reaches any server: 204 if it does. If its connections have been
// idle, it tries to connect to some.
func (gateway *Gateway) serveLinks(writer http.ResponseWriter, request *http.Request) {
	status := http.StatusServiceUnavailable
	if gateway.reachesServers(request.Context()) {
		status = http.StatusNoContent
	}
	writer.WriteHeader(status)
}

// reachesServers reports whether this daemon reaches any server.
func (gateway *Gateway) reachesServers(ctx context.Context) bool {
	core := gateway.core
	core.mutex.Lock()
	cutOff := core.links.CutOff()
	targets := core.drawServers(core.options.Links.FirstProbes, nil)
	core.mutex.Unlock()
	activity := gateway.pool.Activity()
	switch {
	case cutOff:
		return false
	case min(activity.SinceRead, activity.SinceOpened) < recentActivity:
		return true
	}
	return gateway.reachesAny(ctx, targets)
}

// handOverServers gives up the servers that this daemon owns but cannot send orders to, and has others claim
// those that it would, if a peer reaches servers. If none did, their next owners would wait until no order can be in transit, for nothing.
func (gateway *Gateway) handOverServers(ctx context.Context) {
	core := gateway.core
	core.mutex.Lock()
	handedOver := core.handedOver
	asked := core.drawPeers(core.now())
	core.mutex.Unlock()
	if handedOver || !gateway.anyReachesServers(ctx, asked) {
		return
	}
	core.mutex.Lock()
	now := core.now()
	core.claims.Release()
	core.dropOrderWorkers()
	core.handedOver = true
	core.mutex.Unlock()
	gateway.sendUpdateToOrderers(now)
}

// maxAskedPeers is the number of peers that are asked at the same time whether they reach servers.
const maxAskedPeers = 4

// drawPeers draws peers at random. The mutex must be held.
func (core *core) drawPeers(now clock.Millis) []topology.Daemon {
	var drawn []topology.Daemon
	alive := core.members.AliveDaemons(now)
	for _, i := range core.random.Perm(len(alive))[:min(maxAskedPeers, len(alive))] {
		drawn = append(drawn, alive[i])
	}
	return drawn
}

// peerQuestionTimeout bounds the time of a question to a peer, which may have to connect to servers first.
const peerQuestionTimeout = time.Second

// anyReachesServers asks peers at the same time whether they reach any server, and reports whether one
// does.
func (gateway *Gateway) anyReachesServers(ctx context.Context, peers []topology.Daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, peerQuestionTimeout)
	defer cancel()
	return gateway.anySucceeds(ctx, len(peers), func(ctx context.Context, i int) bool {
		return gateway.peerReachesServers(ctx, peers[i].Address)
	})
}

// peerReachesServers asks the peer at an address whether it reaches any server.
func (gateway *Gateway) peerReachesServers(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+linksPath, http.NoBody)
	if err != nil {
		return false
	}
	answer, err := gateway.sendToPeer(ctx, address, request, nil)
	if err != nil {
		return false
	}
	answer.Drain(maxFailureBytes)
	return answer.StatusCode == http.StatusNoContent
}
