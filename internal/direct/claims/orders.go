package claims

import "teaselmoor/internal/base/clock"

// Holds returns the fencing number of this daemon's claim to a server, if it has one.
func (registry *Registry) Holds(server string) (int64, bool) {
	state, ok := registry.servers[server]
	if !ok || state.owner != registry.self {
		return 0, false
	}
	return state.fence, true
}

// MayOrder returns the fencing number for an order sent now, or false if this daemon
// must not send orders to the server.
func (registry *Registry) MayOrder(now clock.Millis, server string) (int64, bool) {
	fence, ok := registry.Holds(server)
	if !ok || now < registry.servers[server].claimedAt+registry.options.Announce || now < registry.noOrdersBefore || now-registry.lastTick > registry.options.Pause || registry.isolated(now, server) {
		return 0, false
	}
	return fence, true
}

// isolated reports whether all peers have been silent for Silence: others may be about to take
// the server over. A server claimed when they had been silent for that long already is not
// affected, as this daemon is then the one that remains.
func (registry *Registry) isolated(now clock.Millis, server string) bool {
	silence := registry.silence(now)
	return silence >= registry.options.Silence && registry.servers[server].claimedAt <= now-silence+registry.options.Silence
}

// Ordered records that an order was sent to a server.
func (registry *Registry) Ordered(now clock.Millis, server string) {
	if state, ok := registry.servers[server]; ok {
		state.lastOrderAt = now
	}
}

// Renew gives this daemon's claim to a server a higher fencing number, so that the server refuses orders under the former one that are
// still on their way.
func (registry *Registry) Renew(server string) {
	if state, ok := registry.servers[server]; ok && state.owner == registry.self {
		state.fence += 1 + registry.random.Int64N(renewalSpan)
	}
}

// renewalSpan is the number of fencing numbers among which the next one of a claim is drawn, those of a millisecond: the numbers of a claim that
// is renewed often do not run ahead of the wall clock.
const renewalSpan = 1 << 10

// fenceStep is added to a fencing number that a server refused: 10 s in the milliseconds
// of the wall clock, which exceeds the skew between clocks, in 1024 parts each.
const fenceStep = 10_000 << 10

// Fenced gives up the claim to a server that refused an order because it has seen a higher
// fencing number. Unless a peer turns out to have claimed it, the server is watched.
func (registry *Registry) Fenced(now clock.Millis, server string) {
	state, ok := registry.servers[server]
	if !ok {
		return
	}
	state.fence += fenceStep
	if state.owner == registry.self {
		registry.Contest(now, server)
	}
	state.lastOrderAt = now
}
