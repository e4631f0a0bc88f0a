// Package claims decides which daemon is the owner of a backend server, the only one that
// may send it orders to load or unload adapters and models. There is no shared writable
// storage for locks, so daemons claim servers by rendezvous hash, send their claims to each
// other, and leave a period without orders when a server passes from one owner to another.
// Claims are sticky: a daemon that joins takes no server from its owner. Which daemons may
// claim servers at all is decided in package topology. The package does no I/O and reads no
// clock.
package claims

import (
	"cmp"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/ownership"
)

// Options holds the timing parameters of claims.
type Options struct {
	// Quiet is the minimum time between the last order of one daemon and the first
	// order of the next: the lease of the platform's settings, plus quietMargin.
	Quiet clock.Millis
	// StartWait is the time between a daemon's start and its first claims. Where
	// servers check fencing numbers, it is the time that peers need to send their
	// claims. Where they do not, orders of a stopped daemon may still be in transit,
	// and StartWait is at least Quiet.
	StartWait clock.Millis
	// Announce is the time between a claim and the first order under it. The claim is
	// sent to peers at once. If the daemon stopped before they received it, no other
	// daemon would wait for orders that it had already sent.
	Announce clock.Millis
	// Silence is how long a daemon that receives no heartbeat from any peer continues to
	// send orders. It is shorter than Suspicion, so that the daemon stops before
	// another one considers it dead.
	Silence clock.Millis
	// Stale is how long claims remain valid after this daemon last sent them to peers,
	// or last received a heartbeat from a peer. After that, another daemon may have taken
	// over a server, and may have stopped since.
	Stale clock.Millis
	// Suspicion is how long a peer must be silent before others may claim its servers.
	Suspicion clock.Millis
	// Pause is the gap between two ticks beyond which the process is taken to have
	// been suspended; it then sends no orders until peers have had time to report.
	Pause clock.Millis
	// Settle is how long no orders are sent after a pause.
	Settle clock.Millis
}

// settleWait is the time that peers need to send their claims: updates are at most
// 500 ms apart, and connections are retried every 300 ms.
const settleWait = 900 * clock.Millisecond

// updateInterval is the time between two heartbeats of a daemon that announces no
// longer interval.
const updateInterval = 500 * clock.Millisecond

// quietMargin is added to the lease for orders that a daemon sent after its last
// received heartbeat, and for an order in transit.
const quietMargin = updateInterval + orderTransitTime

// orderTransitTime is how long an order may take to reach a server.
const orderTransitTime = 200 * clock.Millisecond

// staleMargin is the time between the expiry of claims and the earliest time at which others
// may take the servers over.
const staleMargin = 300 * clock.Millisecond

// DefaultOptions returns the options for a lease. The parameter fenced reports whether
// servers check fencing numbers.
func DefaultOptions(lease clock.Millis, fenced bool) Options {
	options := Options{Quiet: lease + quietMargin, Announce: 200, Silence: 1200, Suspicion: 1500, Pause: 400, Settle: 600}
	options.Stale = max(options.Quiet, options.Suspicion) - staleMargin
	options.StartWait = settleWait
	if !fenced {
		options.StartWait = max(options.Quiet, settleWait)
	}
	return options
}

// Claim is a daemon's statement that it owns a server, that is, sends orders to it.
type Claim struct {
	Server string
	Fence  int64
	// Idle is the time since the last order, measured when the claim is sent.
	Idle clock.Millis
}

// serverState is what is known about the owner of one server and its orders.
type serverState struct {
	owner            string
	fence            int64
	ownerLastContact clock.Millis // time of the owner's last heartbeat, plus any excess of its Interval over updateInterval
	lastOrderAt      clock.Millis // latest time at which an owner may have sent an order, as far as known
	claimedAt        clock.Millis // when this daemon claimed the server
}

// Registry holds the claims of one daemon and those that it knows of other daemons.
type Registry struct {
	options            Options
	self               string
	wall               clock.Source // source of fencing numbers, which must increase across restarts
	started            clock.Millis // when the wait before the first claims began: at the start of the process, after a pause, or as set by Promoted or Announced
	lastTick           clock.Millis
	claimsSentAt       clock.Millis            // when claims were last sent to peers
	noOrdersBefore     clock.Millis            // no orders are sent before this time
	lastContact        map[string]clock.Millis // time of each peer's last heartbeat, plus any excess of its Interval over updateInterval
	firstContact       map[string]clock.Millis // time of each peer's first heartbeat since the last start, pause or promotion
	orderSendersByPeer map[string][]string     // daemons that may send orders, as last reported by each peer
	idle               map[string]bool         // whether each peer keeps its servers but claims no more
	// minStartWait is the minimum time between started and the first claims.
	minStartWait clock.Millis
	servers      map[string]*serverState
}

// New returns the claims of a daemon that starts now and knows of no other claims.
func New(options Options, self string, now clock.Millis, wall clock.Source) *Registry {
	return &Registry{
		options: options, self: self, wall: wall, started: now, lastTick: now, claimsSentAt: now,
		lastContact: make(map[string]clock.Millis), firstContact: make(map[string]clock.Millis), orderSendersByPeer: make(map[string][]string),
		idle:    make(map[string]bool),
		servers: make(map[string]*serverState),
	}
}

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

// applyClaim records a claim of a peer, unless a live owner has a higher fencing number.
func (registry *Registry) applyClaim(now, until clock.Millis, peer string, claim Claim) {
	state, ok := registry.servers[claim.Server]
	if !ok {
		state = &serverState{}
		registry.servers[claim.Server] = state
	}
	if claim.Fence < state.fence && registry.ownerIsLive(now, state) {
		return
	}
	// A claim with a lower number is accepted if the daemon with the higher one is
	// silent or no longer owns the server: the sender is then the one that sends orders.
	state.owner = peer
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

// Tick detects pauses of the process and drops stale claims. After a pause no orders are
// sent until peers have had time to report what has changed.
func (registry *Registry) Tick(now clock.Millis) {
	if now-registry.lastTick > registry.options.Pause {
		registry.recordPause(now)
	}
	registry.lastTick = now
	if now-registry.claimsSentAt >= registry.options.Stale || registry.silence(now) >= registry.options.Stale {
		registry.dropStaleClaims(now)
	}
}

// dropStaleClaims drops claims made before this daemon lost contact with its peers.
func (registry *Registry) dropStaleClaims(now clock.Millis) {
	since := min(registry.claimsSentAt, now-registry.silence(now))
	for _, state := range registry.servers {
		if state.owner == registry.self && state.claimedAt <= since {
			state.owner = ""
			state.lastOrderAt = now
		}
	}
}

// silence returns the time since the last heartbeat of any peer; 0 if there are no peers.
func (registry *Registry) silence(now clock.Millis) clock.Millis {
	if len(registry.lastContact) == 0 {
		return 0
	}
	latest := clock.Millis(0)
	for _, at := range registry.lastContact {
		latest = max(latest, at)
	}
	return max(0, now-latest)
}

// recordPause stops orders for Options.Settle after the process was suspended. During the
// suspension other daemons may have claimed servers and sent orders without this one
// receiving their heartbeats.
func (registry *Registry) recordPause(now clock.Millis) {
	registry.noOrdersBefore = now + registry.options.Settle
	registry.started = now // new claims wait as they do after a start
	clear(registry.firstContact)
	for _, state := range registry.servers {
		if state.owner != registry.self {
			state.ownerLastContact = now
			state.lastOrderAt = now
		}
	}
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
		if registry.isFirstChoice(live, server) && registry.isFree(now, server) {
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

// Prune drops the state of servers that no longer exist and that were last claimed, sent an
// order or reported by their owner so long ago that no order can be in transit.
func (registry *Registry) Prune(now clock.Millis, exists func(server string) bool) {
	maps.DeleteFunc(registry.servers, func(server string, state *serverState) bool {
		return now-max(state.ownerLastContact, state.lastOrderAt, state.claimedAt) > removedServerRetention && !exists(server)
	})
}

// removedServerRetention is how long the state of a server that no longer exists is kept:
// its entry may be missing only because the store has lost it.
const removedServerRetention = clock.Minute

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
	state.fence = int64(ownership.NextFence(registry.wall(), ident.DaemonID(registry.self), ident.Fence(state.fence)))
	state.owner = registry.self
	state.ownerLastContact = now
	state.claimedAt = now
}

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

// fenceStep is added to a fencing number that a server refused: 10 s in the milliseconds
// of the wall clock, which exceeds the skew between clocks, shifted past the low 10 bits
// that distinguish daemons.
const fenceStep = 10_000 << 10

// Fenced gives up the claim to a server that refused an order because it has seen a higher
// fencing number.
func (registry *Registry) Fenced(now clock.Millis, server string) {
	state, ok := registry.servers[server]
	if !ok {
		return
	}
	state.owner = ""
	state.fence += fenceStep
	state.lastOrderAt = now
}

// Release gives up all claims when the daemon stops.
func (registry *Registry) Release() {
	for _, state := range registry.servers {
		if state.owner == registry.self {
			state.owner = ""
		}
	}
}

// Forget drops the state of a server that no longer exists.
func (registry *Registry) Forget(server string) {
	delete(registry.servers, server)
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

// Owner returns the known owner of a server, and whether it is this daemon or a peer that is
// not silent.
func (registry *Registry) Owner(now clock.Millis, server string) (string, bool) {
	state, ok := registry.servers[server]
	if !ok || state.owner == "" {
		return "", false
	}
	if state.owner == registry.self {
		return registry.self, true
	}
	return state.owner, now-state.ownerLastContact < registry.options.Suspicion
}
