package claims

import "teaselmoor/internal/base/clock"

// watchInterval is the time between two looks at the orders of a server that is watched.
const watchInterval = clock.Second

// maxCountAge is how long the count of a server's orders may be used.
const maxCountAge = 2 * watchInterval

// claimSpread is the longest further wait before a server that is watched is claimed. It is drawn, so that of several daemons that do not
// hear each other one claims first and the others see its orders.
const claimSpread = 2 * clock.Second

// orderWatch is what is known of the orders that a server has accepted, as it reports them.
type orderWatch struct {
	contested bool         // a daemon whose heartbeats do not arrive here may order
	counted   bool         // the fields below are known
	count     int64        // orders that the server has accepted
	countedAt clock.Millis // when the server was last asked
	freeAt    clock.Millis // Options.Quiet and a drawn wait after the count was first seen, or last seen to have changed
	expected  bool         // no order under the claim of this daemon has been accepted yet
}

// SetAlone records whether this daemon hears no other daemon although there should be others. Each of them may own servers. It then claims
// only servers that it has watched: those whose orders have ceased for Options.Quiet, as they themselves report.
func (registry *Registry) SetAlone(alone bool) {
	registry.alone = alone
}

// Watches reports whether any server may have to be watched.
func (registry *Registry) Watches() bool {
	if registry.alone {
		return true
	}
	for _, state := range registry.servers {
		if state.watch.contested {
			return true
		}
	}
	return false
}

// Watched returns those of the servers whose orders have to be counted now, before this daemon may claim them.
func (registry *Registry) Watched(now clock.Millis, servers []string) []string {
	live := registry.Live(now)
	var watched []string
	for _, server := range servers {
		state := registry.servers[server]
		if state.isCountDue(now) && registry.mustWatch(state) && registry.isFirstChoice(live, server) {
			watched = append(watched, server)
		}
	}
	return watched
}

// isCountDue reports whether the orders of a server have to be counted, if it is watched: at intervals, and once more before it is claimed.
func (state *serverState) isCountDue(now clock.Millis) bool {
	if state == nil || !state.watch.counted {
		return true
	}
	watch := state.watch
	return now-watch.countedAt >= watchInterval || now >= watch.freeAt && watch.countedAt < watch.freeAt
}

// mustWatch reports whether a server that this daemon does not own may have an owner that it does not hear.
func (registry *Registry) mustWatch(state *serverState) bool {
	if state == nil {
		return registry.alone
	}
	return state.owner == "" && (registry.alone || state.watch.contested)
}

// CountOrders records how many orders a server has accepted, as it reports.
func (registry *Registry) CountOrders(now clock.Millis, server string, count int64) {
	state := registry.servers[server]
	if state == nil {
		state = &serverState{}
		registry.servers[server] = state
	}
	watch := &state.watch
	if !watch.counted || watch.count != count {
		watch.freeAt = now + registry.options.Quiet + clock.Millis(registry.random.Int64N(int64(claimSpread)))
	}
	watch.counted, watch.count, watch.countedAt = true, count, now
}

// ordersCeased reports whether a server that must be watched has accepted no orders for Options.Quiet and the drawn wait, as it has reported
// after that.
func (registry *Registry) ordersCeased(now clock.Millis, server string) bool {
	state := registry.servers[server]
	if !registry.mustWatch(state) {
		return true
	}
	if state == nil || !state.watch.counted {
		return false
	}
	return state.watch.countedAt >= state.watch.freeAt && now-state.watch.countedAt < maxCountAge
}

// ExpectedOrders returns how many orders a server must have accepted for the first order under this daemon's claim to be carried out. It
// returns false if the server need not check that.
func (registry *Registry) ExpectedOrders(server string) (int64, bool) {
	state, ok := registry.servers[server]
	if !ok || !state.watch.expected {
		return 0, false
	}
	return state.watch.count, true
}

// Confirmed records that a server may have accepted an order under this daemon's claim.
func (registry *Registry) Confirmed(server string) {
	if state, ok := registry.servers[server]; ok {
		state.watch = orderWatch{}
	}
}

// Contest gives up the claim to a server that has accepted orders of a daemon that this one does not hear. The server is watched before it is
// claimed again.
func (registry *Registry) Contest(now clock.Millis, server string) {
	state, ok := registry.servers[server]
	if !ok {
		return
	}
	state.owner = ""
	state.lastOrderAt = now
	state.watch = orderWatch{contested: true}
}
