package gateway

import (
	"maps"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/topology"
)

// proxies holds what this daemon knows of its peers as proxies: daemons that send its requests to
// servers while it reaches none.
type proxies struct {
	unusableUntil map[string]clock.Millis // by name of a peer that did not take a request
	inProgress    map[string]int          // this daemon's requests, by name of the peer
}

func newProxies() *proxies {
	return &proxies{unusableUntil: make(map[string]clock.Millis), inProgress: make(map[string]int)}
}

// unusableTime is how long a peer that did not take a request is sent no others. The peer may reach
// servers again soon, and a request that it does not take costs one round trip.
const unusableTime = clock.Second

// choosePeer chooses the peer that a request is sent to: of two drawn at random, the one with fewer of
// this daemon's requests, so that no peer has to take many more than others. Peers of the same region
// go first. It returns false if no peer is known that may reach servers. The mutex must be held.
func (core *core) choosePeer(now clock.Millis) (topology.Daemon, bool) {
	maps.DeleteFunc(core.proxies.unusableUntil, func(_ string, until clock.Millis) bool { return now >= until })
	var near, far []topology.Daemon
	for _, daemon := range core.members.AliveDaemons(now) {
		if _, unusable := core.proxies.unusableUntil[daemon.Name]; unusable {
			continue
		}
		if core.settings.Regions[daemon.DataCentre] == core.settings.Region {
			near = append(near, daemon)
		} else {
			far = append(far, daemon)
		}
	}
	candidates := near
	if len(near) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return topology.Daemon{}, false
	}
	first := candidates[core.random.IntN(len(candidates))]
	second := candidates[core.random.IntN(len(candidates))]
	if core.proxies.inProgress[second.Name] < core.proxies.inProgress[first.Name] {
		return second, true
	}
	return first, true
}

// beginProxied counts a request that is sent to a peer. The mutex must be held.
func (core *core) beginProxied(peer string) {
	core.proxies.inProgress[peer]++
}

// endProxied ends the count of a request that was sent to a peer.
func (core *core) endProxied(peer string) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.proxies.inProgress[peer]--
	if core.proxies.inProgress[peer] <= 0 {
		delete(core.proxies.inProgress, peer)
	}
}

// markUnusable records that a peer did not take a request.
func (core *core) markUnusable(peer string) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.proxies.unusableUntil[peer] = core.now() + unusableTime
}
