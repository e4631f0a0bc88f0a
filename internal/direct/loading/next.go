package loading

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// stuckFactor is the multiple of its usual time after which the load of a base model counts
// as stuck.
const stuckFactor = 4

// Traffic is the number of loads from the weight store in progress.
type Traffic struct {
	InFlight int // adapters being loaded by all servers
	Servers  int // servers that load adapters
}

// Uses returns how many requests of all daemons use an adapter at the server.
type Uses func(platformapi.Adapter) int

// NextOrder returns the order to send to the server now, if there is one. Otherwise it returns
// when to call it again; 0 means not before something changes. MayLoadModel reports whether a
// base model may be loaded if the server holds none.
func (planner *Planner) NextOrder(now clock.Millis, uses Uses, newest func(platformapi.Adapter) int, traffic Traffic, mayLoadModel bool) (platformapi.Order, bool, clock.Millis) {
	if now < planner.waitUntil {
		return platformapi.Order{}, false, planner.waitUntil
	}
	planner.expire(now)
	if !mayLoadModel && (planner.mustFence() || len(planner.models) == 0 && len(planner.modelLoads) == 0) {
		return platformapi.Order{}, false, now + turnInterval
	}
	if planner.mustFence() {
		order, ok := planner.firstModel()
		return order, ok, 0
	}
	if order, ok := planner.nextModel(now); ok {
		return order, true, 0
	}
	if order, ok := planner.nextCheck(now); ok {
		return order, true, 0
	}
	if order, ok := planner.nextVersion(uses, newest); ok {
		return order, true, 0
	}
	if order, ok := planner.nextRequested(now, uses, traffic); ok {
		return order, true, 0
	}
	return platformapi.Order{}, false, planner.nextCallAt(now)
}

// expire drops requested adapters that no request waits for any longer.
func (planner *Planner) expire(now clock.Millis) {
	for adapter, requested := range planner.requested {
		if now >= requested.until {
			delete(planner.requested, adapter)
			planner.number++
		}
	}
}

// nextModel loads a base model if the server holds none, as after a restart. While one is
// being loaded, it repeats the order to check whether the load has ended.
func (planner *Planner) nextModel(now clock.Millis) (platformapi.Order, bool) {
	for name, load := range planner.modelLoads {
		if !load.stuck && now-load.since > stuckFactor*planner.limits.ModelTime[name] {
			load.stuck = true
			planner.modelLoads[name] = load
			planner.number++
		}
		if now < load.checkAt {
			return platformapi.Order{}, false
		}
		return platformapi.Order{Load: true, Adapter: platformapi.Adapter{Model: name}}, true
	}
	if len(planner.models) > 0 {
		return platformapi.Order{}, false
	}
	return planner.firstModel()
}

// firstModel returns the order to load the model that every server should hold. It also
// makes the fencing number known to a server, and changes nothing if the server holds the
// model already.
func (planner *Planner) firstModel() (platformapi.Order, bool) {
	for _, name := range slices.Sorted(maps.Keys(planner.limits.ModelMB)) {
		if planner.limits.ModelMB[name] <= planner.limits.MemoryMB {
			return platformapi.Order{Load: true, Adapter: platformapi.Adapter{Model: name}}, true
		}
	}
	return platformapi.Order{}, false
}

// nextCheck repeats the order of a load or unload that should have ended. The server's
// answer says whether it has; a report is more expensive and may be stale.
func (planner *Planner) nextCheck(now clock.Millis) (platformapi.Order, bool) {
	for adapter, entry := range planner.slots {
		if now < entry.checkAt || !entry.loading && !entry.unloading {
			continue
		}
		if entry.unloading {
			return platformapi.Order{Adapter: adapter}, true
		}
		return platformapi.Order{Load: true, Adapter: adapter, Version: entry.version}, true
	}
	return platformapi.Order{}, false
}

// nextVersion replaces an adapter that has a newer version, or unloads it if it is not in use.
func (planner *Planner) nextVersion(uses Uses, newest func(platformapi.Adapter) int) (platformapi.Order, bool) {
	for adapter, entry := range planner.slots {
		version := newest(adapter)
		if entry.loading || entry.unloading || entry.version >= version {
			continue
		}
		if uses(adapter) > 0 || planner.requested[adapter] != nil {
			return platformapi.Order{Load: true, Adapter: adapter, Version: version}, true
		}
		return platformapi.Order{Adapter: adapter}, true
	}
	return platformapi.Order{}, false
}

// nextRequested loads the most urgently requested adapter, or unloads another one to make room.
func (planner *Planner) nextRequested(now clock.Millis, uses Uses, traffic Traffic) (platformapi.Order, bool) {
	limit := planner.options.MostIncoming
	if traffic.InFlight >= planner.rate.FullSpeedLoads(traffic.Servers) {
		limit = planner.options.CrowdedIncoming
	}
	if planner.loadCount() >= limit {
		return platformapi.Order{}, false
	}
	adapter, requested, ok := planner.firstRequested()
	if !ok {
		return platformapi.Order{}, false
	}
	if planner.hasRoom(adapter) {
		return platformapi.Order{Load: true, Adapter: adapter, Version: requested.version}, true
	}
	if planner.unloadCount() >= len(planner.requested) {
		return platformapi.Order{}, false // unloads in progress will make room
	}
	victim, ok := planner.victim(now, uses)
	return platformapi.Order{Adapter: victim}, ok
}

// firstRequested returns the requested adapter to load first, of those that can be loaded now:
// the most urgent one, and the oldest of these.
func (planner *Planner) firstRequested() (platformapi.Adapter, *requestedAdapter, bool) {
	var first platformapi.Adapter
	var best *requestedAdapter
	for adapter, requested := range planner.requested {
		if entry, ok := planner.slots[adapter]; ok && (entry.loading || entry.unloading || entry.version >= requested.version) || !planner.models[adapter.Model] {
			continue
		}
		if best == nil || requested.rank < best.rank || requested.rank == best.rank && requested.since < best.since {
			first, best = adapter, requested
		}
	}
	return first, best, best != nil
}

func (planner *Planner) loadCount() int {
	count := 0
	for _, entry := range planner.slots {
		if entry.loading {
			count++
		}
	}
	return count
}

func (planner *Planner) unloadCount() int {
	count := 0
	for _, entry := range planner.slots {
		if entry.unloading {
			count++
		}
	}
	return count
}

// hasRoom reports whether one more adapter fits. A server that is ordered to load more
// than it can hold crashes.
func (planner *Planner) hasRoom(adapter platformapi.Adapter) bool {
	if _, held := planner.slots[adapter]; held {
		return true // a newer version replaces the one held
	}
	if len(planner.slots) >= planner.limits.AdapterSlots {
		return false
	}
	used := planner.limits.AdapterMB[adapter.Model]
	for model := range planner.models {
		used += planner.limits.ModelMB[model]
	}
	for other := range planner.slots {
		used += planner.limits.AdapterMB[other.Model]
	}
	return used <= planner.limits.MemoryMB
}

// victim returns the adapter to evict: the one with the lowest score of those that no
// request uses or waits for.
func (planner *Planner) victim(now clock.Millis, uses Uses) (platformapi.Adapter, bool) {
	var victim platformapi.Adapter
	least := -1.0
	for adapter, entry := range planner.slots {
		if entry.loading || entry.unloading || now-entry.usedAt < planner.options.Settle || planner.requested[adapter] != nil || uses(adapter) > 0 {
			continue
		}
		score := planner.score(now, entry)
		if least < 0 || score < least || score == least && byName(adapter, victim) < 0 {
			victim, least = adapter, score
		}
	}
	return victim, least >= 0
}

// turnInterval is how often the owner of a server without a base model checks whether the
// server may load one. It is short against the seconds that the load takes.
const turnInterval clock.Millis = 100

// retryInterval is how soon a requested adapter that found no room is tried again: half of the
// delay that the planner may add to a load.
const retryInterval clock.Millis = 25

// nextCallAt returns when NextOrder has to be called again; 0: not before something changes.
func (planner *Planner) nextCallAt(now clock.Millis) clock.Millis {
	var at clock.Millis
	earlier := func(other clock.Millis) {
		if at == 0 || other < at {
			at = other
		}
	}
	for _, load := range planner.modelLoads {
		earlier(load.checkAt)
	}
	for _, entry := range planner.slots {
		if entry.loading || entry.unloading {
			earlier(entry.checkAt)
		}
	}
	if _, _, ok := planner.firstRequested(); ok {
		earlier(now + retryInterval)
	}
	return at
}
