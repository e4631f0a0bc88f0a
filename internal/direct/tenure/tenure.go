// Package tenure decides which daemon may send orders (to load or unload adapters and
// models) to a backend server. There is no shared writable storage for locks, so daemons
// claim servers by rendezvous hash, send their claims to each other, and leave a period
// without orders when a server passes from one daemon to another. Claims are sticky: a
// daemon that joins takes no server from its owner. The package does no I/O and reads no
// clock.
package tenure

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
	// order of the next: the lease of the platform's settings, plus a margin for orders
	// in transit.
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
	// Silence is how long a daemon that receives nothing from any peer continues to
	// send orders. It is shorter than Suspicion, so that the daemon stops before
	// another one considers it dead.
	Silence clock.Millis
	// Stale is how long claims remain valid after this daemon last sent them to peers,
	// or last received anything from a peer. Later, another daemon may have taken over
	// a server, and may have stopped since.
	Stale clock.Millis
	// Suspicion is how long a peer must be silent before others may claim its servers.
	Suspicion clock.Millis
	// Pause is the gap between two ticks beyond which the process is taken to have
	// been suspended; it then sends no orders until peers had time to report.
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

// staleMargin is how long claims expire before others may take the servers over.
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
	owner        string
	fence        int64
	ownerHeardAt clock.Millis // when the owner was last heard, or until when its heartbeat interval lets it be silent
	lastOrderAt  clock.Millis // latest time at which the owner may have sent an order, as far as known
	claimedAt    clock.Millis // when this daemon claimed the server
}

// Tenure holds the claims of one daemon and those that it knows of other daemons.
type Tenure struct {
	options        Options
	self           string
	wall           clock.Source // source of fencing numbers, which must increase across restarts
	started        clock.Millis // start of the process, end of its last pause, or its promotion
	lastTick       clock.Millis
	claimsSentAt   clock.Millis            // when claims were last sent to peers
	noOrdersBefore clock.Millis            // no orders are sent before this time
	lastHeard      map[string]clock.Millis // when each peer was last heard, including its heartbeat interval
	firstHeard     map[string]clock.Millis // when each peer was first heard since started
	orderersByPeer map[string][]string     // daemons that own servers, as last reported by each peer
	idle           map[string]bool         // peers that claim no more servers
	// minStartWait is the minimum time between started and the first claims.
	minStartWait clock.Millis
	servers      map[string]*serverState
}

// New returns the claims of a daemon that starts now and knows of no other claims.
func New(options Options, self string, now clock.Millis, wall clock.Source) *Tenure {
	return &Tenure{
		options: options, self: self, wall: wall, started: now, lastTick: now, claimsSentAt: now,
		lastHeard: make(map[string]clock.Millis), firstHeard: make(map[string]clock.Millis), orderersByPeer: make(map[string][]string),
		idle:    make(map[string]bool),
		servers: make(map[string]*serverState),
	}
}

// Word is what a peer periodically reports about its claims.
type Word struct {
	Peer string
	// Interval is the maximum time until the peer's next heartbeat; until then it may
	// send orders without a further heartbeat.
	Interval clock.Millis
	Claims   []Claim  // all claims of the peer
	Named    []string // daemons that it knows to own servers; nil: unchanged
	Idle     bool     // the peer claims no more servers
}

// Heard applies a heartbeat received from a peer.
func (tenure *Tenure) Heard(now clock.Millis, heartbeat Word) {
	peer, claims := heartbeat.Peer, heartbeat.Claims
	until := now + max(0, heartbeat.Interval-updateInterval)
	tenure.lastHeard[peer] = until
	if _, ok := tenure.firstHeard[peer]; !ok {
		tenure.firstHeard[peer] = now
	}
	if heartbeat.Named != nil {
		tenure.orderersByPeer[peer] = heartbeat.Named
	}
	tenure.idle[peer] = heartbeat.Idle
	for server, state := range tenure.servers {
		dropped := !slices.ContainsFunc(claims, func(claim Claim) bool { return claim.Server == server })
		if state.owner == peer && dropped {
			state.owner = ""
			state.lastOrderAt = now // it may have sent orders since its previous heartbeat
		}
	}
	for _, claim := range claims {
		tenure.applyClaim(now, until, peer, claim)
	}
}

// applyClaim records a claim of a peer, unless a live owner has a higher fencing number.
func (tenure *Tenure) applyClaim(now, until clock.Millis, peer string, claim Claim) {
	state, ok := tenure.servers[claim.Server]
	if !ok {
		state = &serverState{}
		tenure.servers[claim.Server] = state
	}
	if claim.Fence < state.fence && tenure.ownerIsLive(now, state) {
		return
	}
	// A claim with a lower number is accepted if the daemon with the higher one is
	// gone: the sender is then the one that sends orders.
	state.owner = peer
	state.fence = max(state.fence, claim.Fence)
	state.ownerHeardAt = until
	state.lastOrderAt = max(state.lastOrderAt, now-claim.Idle)
}

// ownerIsLive reports whether a server is owned by this daemon or by one that was heard
// within Suspicion.
func (tenure *Tenure) ownerIsLive(now clock.Millis, state *serverState) bool {
	return state.owner == tenure.self || state.owner != "" && now-state.ownerHeardAt < tenure.options.Suspicion
}

// Left records that a peer no longer claims servers, although it may still be heard.
// It no longer counts in the choice of a daemon for free servers.
func (tenure *Tenure) Left(now clock.Millis, peer string) {
	delete(tenure.lastHeard, peer)
	delete(tenure.orderersByPeer, peer)
	delete(tenure.idle, peer)
	for reporter, names := range tenure.orderersByPeer {
		tenure.orderersByPeer[reporter] = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == peer })
	}
	for _, state := range tenure.servers {
		if state.owner == peer {
			state.owner = ""
			// It stopped sending orders before it announced that it leaves.
			state.lastOrderAt = max(state.lastOrderAt, now-quietMargin+orderTransitTime)
		}
	}
}

// Tick detects pauses of the process and drops stale claims. After a pause no orders are
// sent until peers had time to report what has changed.
func (tenure *Tenure) Tick(now clock.Millis) {
	if now-tenure.lastTick > tenure.options.Pause {
		tenure.Paused(now)
	}
	tenure.lastTick = now
	if now-tenure.claimsSentAt >= tenure.options.Stale || tenure.silence(now) >= tenure.options.Stale {
		tenure.dropStaleClaims(now)
	}
}

// dropStaleClaims drops claims made before this daemon lost contact with its peers.
func (tenure *Tenure) dropStaleClaims(now clock.Millis) {
	since := min(tenure.claimsSentAt, now-tenure.silence(now))
	for _, state := range tenure.servers {
		if state.owner == tenure.self && state.claimedAt <= since {
			state.owner = ""
			state.lastOrderAt = now
		}
	}
}

// silence returns the time since any peer was last heard; 0 if there are no peers.
func (tenure *Tenure) silence(now clock.Millis) clock.Millis {
	if len(tenure.lastHeard) == 0 {
		return 0
	}
	latest := clock.Millis(0)
	for _, at := range tenure.lastHeard {
		latest = max(latest, at)
	}
	return max(0, now-latest)
}

// Paused stops orders for Options.Settle after the process was suspended. Meanwhile other
// daemons may have sent orders that this one does not know about.
func (tenure *Tenure) Paused(now clock.Millis) {
	tenure.noOrdersBefore = now + tenure.options.Settle
	tenure.started = now // new claims wait as they do after a start
	clear(tenure.firstHeard)
	for _, state := range tenure.servers {
		if state.owner != tenure.self {
			state.ownerHeardAt = now
			state.lastOrderAt = now
		}
	}
}

// Claim claims the servers that are free and for which this daemon is the first choice.
// It returns the newly claimed servers; the caller must send its claims to peers at once.
func (tenure *Tenure) Claim(now clock.Millis, servers []string) []string {
	if now < tenure.noOrdersBefore || now < tenure.started+tenure.startWait() {
		return nil
	}
	live := tenure.Live(now)
	var claimed []string
	for _, server := range servers {
		if tenure.isFirstChoice(live, server) && tenure.isFree(now, server) {
			tenure.claimServer(now, server)
			claimed = append(claimed, server)
		}
	}
	return claimed
}

// startWait returns the time between the start and the first claims. It is at least Quiet
// if a peer names an owner of servers that was not heard in time: that daemon may have
// sent orders after the start.
func (tenure *Tenure) startWait() clock.Millis {
	for _, names := range tenure.orderersByPeer {
		if slices.ContainsFunc(names, tenure.notHeardInTime) {
			return max(tenure.options.StartWait, tenure.options.Quiet)
		}
	}
	return max(tenure.options.StartWait, tenure.minStartWait)
}

// notHeardInTime reports whether another daemon was not heard within StartWait of the
// start.
func (tenure *Tenure) notHeardInTime(name string) bool {
	first, heard := tenure.firstHeard[name]
	return name != tenure.self && (!heard || first > tenure.started+tenure.options.StartWait)
}

// Prune drops the state of servers that no longer exist and were last claimed, ordered or
// reported so long ago that no order can be in transit.
func (tenure *Tenure) Prune(now clock.Millis, exists func(server string) bool) {
	maps.DeleteFunc(tenure.servers, func(server string, state *serverState) bool {
		return now-max(state.ownerHeardAt, state.lastOrderAt, state.claimedAt) > removedServerRetention && !exists(server)
	})
}

// removedServerRetention is how long the state of a server that no longer exists is kept:
// its entry may only be missing because the store lost it.
const removedServerRetention = clock.Minute

// Live returns this daemon, followed by the peers that may claim servers and were heard
// within Suspicion.
func (tenure *Tenure) Live(now clock.Millis) []string {
	live := []string{tenure.self}
	for peer, at := range tenure.lastHeard {
		if now-at < tenure.options.Suspicion && !tenure.idle[peer] {
			live = append(live, peer)
		}
	}
	return live
}

// isFirstChoice reports whether the rendezvous hash assigns a server to this daemon.
func (tenure *Tenure) isFirstChoice(live []string, server string) bool {
	daemons := make([]ident.DaemonID, 0, len(live))
	for _, daemon := range live {
		daemons = append(daemons, ident.DaemonID(daemon))
	}
	best, _ := ownership.First(server, daemons)
	return best == ident.DaemonID(tenure.self)
}

// isFree reports whether a server has no live owner and Quiet has passed since the last
// order that it may have received.
func (tenure *Tenure) isFree(now clock.Millis, server string) bool {
	state, ok := tenure.servers[server]
	if !ok {
		return true
	}
	if state.owner == tenure.self {
		return false
	}
	if state.owner != "" {
		return now >= state.ownerHeardAt+tenure.options.Suspicion && now >= state.ownerHeardAt+tenure.options.Quiet
	}
	return now >= state.lastOrderAt+tenure.options.Quiet
}

// claimServer claims a server under a new fencing number.
func (tenure *Tenure) claimServer(now clock.Millis, server string) {
	state := tenure.servers[server]
	if state == nil {
		state = &serverState{}
		tenure.servers[server] = state
	}
	state.fence = int64(ownership.NextFence(tenure.wall(), ident.DaemonID(tenure.self), ident.Fence(state.fence)))
	state.owner = tenure.self
	state.ownerHeardAt = now
	state.claimedAt = now
}

// Holds returns the fencing number of this daemon's claim to a server, if it has one.
func (tenure *Tenure) Holds(server string) (int64, bool) {
	state, ok := tenure.servers[server]
	if !ok || state.owner != tenure.self {
		return 0, false
	}
	return state.fence, true
}

// MayOrder returns the fencing number for an order sent now, or false if this daemon
// must not send orders to the server.
func (tenure *Tenure) MayOrder(now clock.Millis, server string) (int64, bool) {
	fence, ok := tenure.Holds(server)
	if !ok || now < tenure.servers[server].claimedAt+tenure.options.Announce || now < tenure.noOrdersBefore || now-tenure.lastTick > tenure.options.Pause || tenure.isolated(now, server) {
		return 0, false
	}
	return fence, true
}

// isolated reports whether all peers have been silent for Silence since the claim was
// made: others may be about to take the server over. A claim made after that silence
// began is not affected, as this daemon is then the one that remains.
func (tenure *Tenure) isolated(now clock.Millis, server string) bool {
	silence := tenure.silence(now)
	return silence >= tenure.options.Silence && tenure.servers[server].claimedAt <= now-silence+tenure.options.Silence
}

// Ordered records that an order was sent to a server.
func (tenure *Tenure) Ordered(now clock.Millis, server string) {
	if state, ok := tenure.servers[server]; ok {
		state.lastOrderAt = now
	}
}

// fenceStep is added to a fencing number that a server refused: 10 s in the milliseconds
// of the wall clock, which exceeds the skew between clocks, shifted past the low 10 bits
// that distinguish daemons.
const fenceStep = 10_000 << 10

// Fenced gives up a server that refused an order because it has seen a higher fencing
// number.
func (tenure *Tenure) Fenced(now clock.Millis, server string) {
	state, ok := tenure.servers[server]
	if !ok {
		return
	}
	state.owner = ""
	state.fence += fenceStep
	state.lastOrderAt = now
}

// Release gives up all claims when the daemon stops.
func (tenure *Tenure) Release() {
	for _, state := range tenure.servers {
		if state.owner == tenure.self {
			state.owner = ""
		}
	}
}

// Forget drops the state of a server that no longer exists.
func (tenure *Tenure) Forget(server string) {
	delete(tenure.servers, server)
}

// Claims returns this daemon's claims, sorted by server, and records that they are sent
// to peers now.
func (tenure *Tenure) Claims(now clock.Millis) []Claim {
	tenure.claimsSentAt = now
	var claims []Claim
	for server, state := range tenure.servers {
		if state.owner == tenure.self {
			claims = append(claims, Claim{Server: server, Fence: state.fence, Idle: now - state.lastOrderAt})
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Server, b.Server) })
	return claims
}

// Owner returns the known owner of a server, and whether it is this daemon or was heard
// within Suspicion.
func (tenure *Tenure) Owner(now clock.Millis, server string) (string, bool) {
	state, ok := tenure.servers[server]
	if !ok || state.owner == "" {
		return "", false
	}
	if state.owner == tenure.self {
		return tenure.self, true
	}
	return state.owner, now-state.ownerHeardAt < tenure.options.Suspicion
}
