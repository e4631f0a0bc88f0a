// Package claims decides which daemon gives orders to a backend server. No
// shared state can be written, so daemons claim servers by rendezvous hash, tell
// each other, and leave a quiet span between the orders of two daemons. A claim
// is sticky: a daemon that joins takes nothing over. It does no I/O and reads no
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

// Options are the times of claims.
type Options struct {
	// Quiet is the span without orders between two daemons (the lease of the
	// platform's settings, and a margin for an order on its way).
	Quiet clock.Millis
	// StartWait is the wait between a daemon's start and its first claims. Where
	// servers check fencing numbers it is the time that peers need to tell what
	// they claim; where they do not, the orders of a daemon that has stopped may
	// still be on their way, and it is Quiet.
	StartWait clock.Millis
	// Announce is the wait between a claim and the first order under it. The claim
	// is told at once; a daemon that stopped before it was heard would leave orders
	// that nobody waits for.
	Announce clock.Millis
	// Silence is how long a daemon that hears none of its peers goes on giving
	// orders. It is shorter than Suspicion, so that it has stopped before another
	// daemon starts to wait.
	Silence clock.Millis
	// Stale is how long claims stand that peers could not be told of, or since
	// peers could last tell theirs: after it another daemon may have taken a server
	// over, and may have stopped since.
	Stale clock.Millis
	// Suspicion is how long a peer is silent before others claim its servers.
	Suspicion clock.Millis
	// Pause is a gap between two ticks after which nothing is ordered before
	// peers were heard again.
	Pause clock.Millis
	// Settle is the wait after a pause.
	Settle clock.Millis
}

// settleWait is the time that peers need to tell what they claim: an update
// each 500 ms at least, and a connection made anew each 300 ms.
const settleWait = 900 * clock.Millisecond

// updateInterval is the time between two updates of a daemon that says nothing
// else of it.
const updateInterval = 500 * clock.Millisecond

// quietMargin is added to the lease for orders that a daemon gave after it was
// last heard, and for one on its way.
const quietMargin = updateInterval + onItsWay

// onItsWay is how long an order may take to a server.
const onItsWay = 200 * clock.Millisecond

// staleMargin is how long before others may take over that claims lapse.
const staleMargin = 300 * clock.Millisecond

// DefaultOptions returns times for a lease. Fenced tells that servers check
// fencing numbers.
func DefaultOptions(lease clock.Millis, fenced bool) Options {
	options := Options{Quiet: lease + quietMargin, Announce: 200, Silence: 1200, Suspicion: 1500, Pause: 400, Settle: 600}
	options.Stale = max(options.Quiet, options.Suspicion) - staleMargin
	options.StartWait = settleWait
	if !fenced {
		options.StartWait = max(options.Quiet, settleWait)
	}
	return options
}

// Claim is a daemon's word that it gives orders to a server.
type Claim struct {
	Server string
	Fence  int64
	// Idle is how long ago the last order was given; the claim says it at the
	// time of sending.
	Idle clock.Millis
}

// holder is what is known of the orders to one server.
type holder struct {
	owner   string
	fence   int64
	heardAt clock.Millis // when its owner was last heard, or had leave to be silent
	orderAt clock.Millis // no order of its owner is known after it
	takenAt clock.Millis // when this daemon claimed the server
}

// Registry holds the claims of one daemon and what it knows of others'.
type Registry struct {
	options Options
	self    string
	wall    clock.Source // for fencing numbers, which rise across restarts
	started clock.Millis
	ticked  clock.Millis
	toldAt  clock.Millis            // when claims were last told
	barred  clock.Millis            // no orders before this time
	heard   map[string]clock.Millis // peers, and when they were heard
	first   map[string]clock.Millis // the same, for the first time
	named   map[string][]string     // daemons that give orders, by the peer that named them last
	idle    map[string]bool         // peers that claim no further servers
	// leastWait is the least wait between started and the first claims.
	leastWait clock.Millis
	holders   map[string]*holder
}

// New returns the tenure of a daemon that starts now.
func New(options Options, self string, now clock.Millis, wall clock.Source) *Registry {
	return &Registry{
		options: options, self: self, wall: wall, started: now, ticked: now, toldAt: now,
		heard: make(map[string]clock.Millis), first: make(map[string]clock.Millis), named: make(map[string][]string),
		idle:    make(map[string]bool),
		holders: make(map[string]*holder),
	}
}

// Heartbeat is what a peer says of itself.
type Heartbeat struct {
	Peer string
	// Interval is the time until its next word at the latest; it may give orders all
	// the while without one.
	Interval clock.Millis
	Claims   []Claim  // all of them
	Orderers []string // daemons that it knows to give orders; nil: as it named them before
	Idle     bool     // it claims no further servers
}

// ApplyHeartbeat notes the word of a peer.
func (registry *Registry) ApplyHeartbeat(now clock.Millis, word Heartbeat) {
	peer, claims := word.Peer, word.Claims
	until := now + max(0, word.Interval-updateInterval)
	registry.heard[peer] = until
	if _, ok := registry.first[peer]; !ok {
		registry.first[peer] = now
	}
	if word.Orderers != nil {
		registry.named[peer] = word.Orderers
	}
	registry.idle[peer] = word.Idle
	for server, known := range registry.holders {
		given := !slices.ContainsFunc(claims, func(claim Claim) bool { return claim.Server == server })
		if known.owner == peer && given {
			known.owner = ""
			known.orderAt = now // it may have given orders since it told last
		}
	}
	for _, claim := range claims {
		registry.claimed(now, until, peer, claim)
	}
}

func (registry *Registry) claimed(now, until clock.Millis, peer string, claim Claim) {
	known, ok := registry.holders[claim.Server]
	if !ok {
		known = &holder{}
		registry.holders[claim.Server] = known
	}
	if claim.Fence < known.fence && registry.stands(now, known) {
		return
	}
	// A claim under a lower number counts where the higher one's daemon is gone:
	// it is the one that gives orders.
	known.owner = peer
	known.fence = max(known.fence, claim.Fence)
	known.heardAt = until
	known.orderAt = max(known.orderAt, now-claim.Idle)
}

// stands reports whether the owner of a server is this daemon, or was heard of late.
func (registry *Registry) stands(now clock.Millis, known *holder) bool {
	return known.owner == registry.self || known.owner != "" && now-known.heardAt < registry.options.Suspicion
}

// Left notes that a peer claims nothing any more, though it may still be heard:
// free servers do not wait for it.
func (registry *Registry) Left(now clock.Millis, peer string) {
	delete(registry.heard, peer)
	delete(registry.named, peer)
	delete(registry.idle, peer)
	for teller, names := range registry.named {
		registry.named[teller] = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == peer })
	}
	for _, known := range registry.holders {
		if known.owner == peer {
			known.owner = ""
			// It has stopped before it said so: no order follows its word.
			known.orderAt = max(known.orderAt, now-quietMargin+onItsWay)
		}
	}
}

// Tick notes the passing of time. After a pause nothing is ordered until peers
// had time to say what has changed.
func (registry *Registry) Tick(now clock.Millis) {
	if now-registry.ticked > registry.options.Pause {
		registry.Paused(now)
	}
	registry.ticked = now
	if now-registry.toldAt >= registry.options.Stale || registry.silence(now) >= registry.options.Stale {
		registry.giveUp(now)
	}
}

// giveUp drops claims that were made before peers fell silent.
func (registry *Registry) giveUp(now clock.Millis) {
	since := min(registry.toldAt, now-registry.silence(now))
	for _, known := range registry.holders {
		if known.owner == registry.self && known.takenAt <= since {
			known.owner = ""
			known.orderAt = now
		}
	}
}

// silence is how long no peer was heard; 0 where there is none.
func (registry *Registry) silence(now clock.Millis) clock.Millis {
	if len(registry.heard) == 0 {
		return 0
	}
	latest := clock.Millis(0)
	for _, at := range registry.heard {
		latest = max(latest, at)
	}
	return max(0, now-latest)
}

// Paused bars orders for a while: the process stood still. Other daemons may have
// given orders meanwhile of which this one heard nothing.
func (registry *Registry) Paused(now clock.Millis) {
	registry.barred = now + registry.options.Settle
	registry.started = now // new claims wait as after a start
	clear(registry.first)
	for _, known := range registry.holders {
		if known.owner != registry.self {
			known.heardAt = now
			known.orderAt = now
		}
	}
}

// Claim takes over the servers that are this daemon's to order and free. It
// returns the servers that were claimed, which peers must be told at once.
func (registry *Registry) Claim(now clock.Millis, servers []string) []string {
	if now < registry.barred || now < registry.started+registry.startWait() {
		return nil
	}
	live := registry.Live(now)
	var taken []string
	for _, server := range servers {
		if registry.chosen(live, server) && registry.free(now, server) {
			registry.take(now, server)
			taken = append(taken, server)
		}
	}
	return taken
}

// startWait is the wait between the start and the first claims. A daemon that
// others know but that was not heard in time may have given orders after the start.
func (registry *Registry) startWait() clock.Millis {
	for _, names := range registry.named {
		if slices.ContainsFunc(names, registry.missed) {
			return max(registry.options.StartWait, registry.options.Quiet)
		}
	}
	return max(registry.options.StartWait, registry.leastWait)
}

// missed reports whether a daemon was not heard in time after the start.
func (registry *Registry) missed(name string) bool {
	first, heard := registry.first[name]
	return name != registry.self && (!heard || first > registry.started+registry.options.StartWait)
}

// Prune drops what is known of servers that are gone and were not ordered for so
// long that no order can be on its way.
func (registry *Registry) Prune(now clock.Millis, exists func(server string) bool) {
	maps.DeleteFunc(registry.holders, func(server string, known *holder) bool {
		return now-max(known.heardAt, known.orderAt, known.takenAt) > holderMemory && !exists(server)
	})
}

// holderMemory is how long a server that is gone is remembered: its entry may
// have lapsed with the store.
const holderMemory = clock.Minute

// Live returns the daemons that may claim servers and were heard of late, this one first.
func (registry *Registry) Live(now clock.Millis) []string {
	live := []string{registry.self}
	for peer, at := range registry.heard {
		if now-at < registry.options.Suspicion && !registry.idle[peer] {
			live = append(live, peer)
		}
	}
	return live
}

// chosen reports whether this daemon is the one for a server by rendezvous hash.
func (registry *Registry) chosen(live []string, server string) bool {
	daemons := make([]ident.DaemonID, 0, len(live))
	for _, daemon := range live {
		daemons = append(daemons, ident.DaemonID(daemon))
	}
	best, _ := ownership.First(server, daemons)
	return best == ident.DaemonID(registry.self)
}

// free reports whether no daemon orders a server and the quiet span is over.
func (registry *Registry) free(now clock.Millis, server string) bool {
	known, ok := registry.holders[server]
	if !ok {
		return true
	}
	if known.owner == registry.self {
		return false
	}
	if known.owner != "" {
		return now >= known.heardAt+registry.options.Suspicion && now >= known.heardAt+registry.options.Quiet
	}
	return now >= known.orderAt+registry.options.Quiet
}

func (registry *Registry) take(now clock.Millis, server string) {
	known := registry.holders[server]
	if known == nil {
		known = &holder{}
		registry.holders[server] = known
	}
	known.fence = int64(ownership.NextFence(registry.wall(), ident.DaemonID(registry.self), ident.Fence(known.fence)))
	known.owner = registry.self
	known.heardAt = now
	known.takenAt = now
}

// Holds returns the fencing number under which this daemon claims a server.
func (registry *Registry) Holds(server string) (int64, bool) {
	known, ok := registry.holders[server]
	if !ok || known.owner != registry.self {
		return 0, false
	}
	return known.fence, true
}

// MayOrder returns the fencing number for an order that is given now, or false
// when this daemon must not order the server.
func (registry *Registry) MayOrder(now clock.Millis, server string) (int64, bool) {
	fence, ok := registry.Holds(server)
	if !ok || now < registry.holders[server].takenAt+registry.options.Announce || now < registry.barred || now-registry.ticked > registry.options.Pause || registry.isolated(now, server) {
		return 0, false
	}
	return fence, true
}

// isolated reports whether all peers have fallen silent since the claim was made:
// others may be about to take over. A claim made since then is that of the daemon
// that is left.
func (registry *Registry) isolated(now clock.Millis, server string) bool {
	silence := registry.silence(now)
	return silence >= registry.options.Silence && registry.holders[server].takenAt <= now-silence+registry.options.Silence
}

// Ordered notes an order that was given.
func (registry *Registry) Ordered(now clock.Millis, server string) {
	if known, ok := registry.holders[server]; ok {
		known.orderAt = now
	}
}

// fenceStep is how far the next fencing number lies above one that a server
// refused: ten seconds of a wall clock's milliseconds, which is more than clocks
// are apart, above the bits that tell daemons apart.
const fenceStep = 10_000 << 10

// Fenced gives a server up: it has seen a higher number.
func (registry *Registry) Fenced(now clock.Millis, server string) {
	known, ok := registry.holders[server]
	if !ok {
		return
	}
	known.owner = ""
	known.fence += fenceStep
	known.orderAt = now
}

// Release gives up all claims, because the daemon stops.
func (registry *Registry) Release() {
	for _, known := range registry.holders {
		if known.owner == registry.self {
			known.owner = ""
		}
	}
}

// Forget drops a server that is gone.
func (registry *Registry) Forget(server string) {
	delete(registry.holders, server)
}

// Claims returns the claims, which peers are told now.
func (registry *Registry) Claims(now clock.Millis) []Claim {
	registry.toldAt = now
	var claims []Claim
	for server, known := range registry.holders {
		if known.owner == registry.self {
			claims = append(claims, Claim{Server: server, Fence: known.fence, Idle: now - known.orderAt})
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Server, b.Server) })
	return claims
}

// Owner returns the daemon that gives orders to a server, as far as known.
func (registry *Registry) Owner(now clock.Millis, server string) (string, bool) {
	known, ok := registry.holders[server]
	if !ok || known.owner == "" {
		return "", false
	}
	if known.owner == registry.self {
		return registry.self, true
	}
	return known.owner, now-known.heardAt < registry.options.Suspicion
}
