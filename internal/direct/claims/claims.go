// Package claims decides which daemon is the owner of a backend server, the only one that
// may send it orders to load or unload adapters and models. There is no shared writable
// storage for locks, so daemons claim servers by rendezvous hash, send their claims to each
// other, and leave a period without orders when a server passes from one owner to another.
// Claims are sticky: a daemon that joins takes no server from its owner. Which daemons may
// claim servers at all is decided in package topology. The package does no I/O and reads no
// clock.
package claims

import (
	"maps"
	"math/rand/v2"

	"teaselmoor/internal/base/clock"
)

// serverState is what is known about the owner of one server and its orders.
type serverState struct {
	owner            string
	fence            int64
	ownerLastContact clock.Millis // time of the owner's last heartbeat, plus any excess of its Interval over updateInterval
	lastOrderAt      clock.Millis // latest time at which an owner may have sent an order, as far as known
	claimedAt        clock.Millis // when this daemon claimed the server
	watch            orderWatch
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
	alone              bool                    // no other daemon is heard although there should be others
	random             *rand.Rand              // source of the drawn parts of fencing numbers and waits
	// minStartWait is the minimum time between started and the first claims.
	minStartWait clock.Millis
	servers      map[string]*serverState
}

// New returns the claims of a daemon that starts now and knows of no other claims. Its random numbers must differ from those of all other
// daemons and starts.
func New(options Options, self string, now clock.Millis, wall clock.Source, random *rand.Rand) *Registry {
	return &Registry{
		options: options, self: self, wall: wall, random: random, started: now, lastTick: now, claimsSentAt: now,
		lastContact: make(map[string]clock.Millis), firstContact: make(map[string]clock.Millis), orderSendersByPeer: make(map[string][]string),
		idle:    make(map[string]bool),
		servers: make(map[string]*serverState),
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

// Owner returns the known owner of a server, and whether it is this daemon or a peer that is
// not silent.
func (registry *Registry) Owner(now clock.Millis, server string) (string, bool) {
	state, ok := registry.servers[server]
	if !ok || state.owner == "" {
		return "", false
	}
	return state.owner, registry.ownerIsLive(now, state)
}
