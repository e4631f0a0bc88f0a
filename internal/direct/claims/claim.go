package claims

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/ownership"
)

// Claim is a daemon's statement that it owns a server, that is, sends orders to it.
type Claim struct {
	Server string
	Fence  int64
	// Idle is the time since the last order, measured when the claim is sent.
	Idle clock.Millis
}

// Claim claims the servers that are free and for which this daemon is the first choice.
// It returns the newly claimed servers; the caller must send its claims to peers at once.
func (registry *Registry) Claim(now clock.Millis, servers []string) []string {
	if now < registry.noOrdersBefore || now < registry.started+registry.startWait() {
		return nil
	}
	live := registry.Live(now)
	var claimed []string
	for _, server := range servers {
		if registry.isFirstChoice(live, server) && registry.isFree(now, server) && registry.ordersCeased(now, server) {
			registry.claimServer(now, server)
			claimed = append(claimed, server)
		}
	}
	return claimed
}

// startWait returns the time between the start and the first claims. It is at least Quiet
// if a peer reports a daemon that may send orders, and that daemon sent no heartbeat in
// time: it may have sent orders after the start under claims that are not known here.
func (registry *Registry) startWait() clock.Millis {
	for _, names := range registry.orderSendersByPeer {
		if slices.ContainsFunc(names, registry.noContactInTime) {
			return max(registry.options.StartWait, registry.options.Quiet)
		}
	}
	return max(registry.options.StartWait, registry.minStartWait)
}

// noContactInTime reports whether another daemon sent no heartbeat within StartWait of the
// start.
func (registry *Registry) noContactInTime(name string) bool {
	first, ok := registry.firstContact[name]
	return name != registry.self && (!ok || first > registry.started+registry.options.StartWait)
}

// Live returns this daemon, followed by the peers that may claim servers and are not silent,
// that is, sent a heartbeat within Suspicion.
func (registry *Registry) Live(now clock.Millis) []string {
	live := []string{registry.self}
	for peer, at := range registry.lastContact {
		if now-at < registry.options.Suspicion && !registry.idle[peer] {
			live = append(live, peer)
		}
	}
	return live
}

// isFirstChoice reports whether the rendezvous hash assigns a server to this daemon.
func (registry *Registry) isFirstChoice(live []string, server string) bool {
	daemons := make([]ident.DaemonID, 0, len(live))
	for _, daemon := range live {
		daemons = append(daemons, ident.DaemonID(daemon))
	}
	best, _ := ownership.First(server, daemons)
	return best == ident.DaemonID(registry.self)
}

// isFree reports whether a server has no live owner and Quiet has passed since the last
// order that it may have received.
func (registry *Registry) isFree(now clock.Millis, server string) bool {
	state, ok := registry.servers[server]
	if !ok {
		return true
	}
	if state.owner == registry.self {
		return false
	}
	if state.owner != "" {
		return now >= state.ownerLastContact+registry.options.Suspicion && now >= state.ownerLastContact+registry.options.Quiet
	}
	return now >= state.lastOrderAt+registry.options.Quiet
}

// claimServer claims a server under a new fencing number.
func (registry *Registry) claimServer(now clock.Millis, server string) {
	state := registry.servers[server]
	if state == nil {
		state = &serverState{}
		registry.servers[server] = state
	}
	highest := ident.Fence(state.fence)
	state.watch.expected = registry.mustWatch(state)
	state.fence = int64(ownership.NextFence(registry.wall(), registry.random.Uint64(), highest))
	state.owner = registry.self
	state.ownerLastContact = now
	state.claimedAt = now
}

// Claims returns this daemon's claims, sorted by server, and records that they are sent
// to peers now.
func (registry *Registry) Claims(now clock.Millis) []Claim {
	registry.claimsSentAt = now
	var claims []Claim
	for server, state := range registry.servers {
		if state.owner == registry.self {
			claims = append(claims, Claim{Server: server, Fence: state.fence, Idle: now - state.lastOrderAt})
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Server, b.Server) })
	return claims
}
