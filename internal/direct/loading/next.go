package loading

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// stuckAfter is how many times its usual time a base model may take.
const stuckAfter = 4

// Traffic is what is on its way from the weight store.
type Traffic struct {
	InFlight int // adapters on their way to all servers
	Servers  int // that adapters are loaded to
}

// Uses tells how many requests of all daemons use an adapter at the server.
type Uses func(platformapi.Adapter) int

// NextOrder returns the order to give now. Without one it returns the time at which
// to ask again, which is 0 when only a change calls for it.
// Turn says that a base model may be loaded where the server holds none.
func (planner *Planner) NextOrder(now clock.Millis, uses Uses, newest func(platformapi.Adapter) int, traffic Traffic, turn bool) (platformapi.Order, bool, clock.Millis) {
	if now < planner.waitTo {
		return platformapi.Order{}, false, planner.waitTo
	}
	planner.expire(now)
	if !turn && (!planner.shown || len(planner.models) == 0 && len(planner.coming) == 0) {
		return platformapi.Order{}, false, now + turnInterval
	}
	if !planner.shown {
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
	if order, ok := planner.nextWant(now, uses, traffic); ok {
		return order, true, 0
	}
	return platformapi.Order{}, false, planner.wakeAt(now)
}

// expire drops wants whose requests have given up.
func (planner *Planner) expire(now clock.Millis) {
	for adapter, wanted := range planner.wants {
		if now >= wanted.until {
			delete(planner.wants, adapter)
			planner.number++
		}
	}
}

// nextModel loads a base model where the server holds none: servers restart empty.
func (planner *Planner) nextModel(now clock.Millis) (platformapi.Order, bool) {
	for name, load := range planner.coming {
		if !load.stuck && now-load.since > stuckAfter*planner.limits.ModelTime[name] {
			load.stuck = true
			planner.coming[name] = load
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

// firstModel is the order for the model that every server should hold. It shows
// a fencing number without changing a server that holds the model already.
func (planner *Planner) firstModel() (platformapi.Order, bool) {
	for _, name := range slices.Sorted(maps.Keys(planner.limits.ModelMB)) {
		if planner.limits.ModelMB[name] <= planner.limits.MemoryMB {
			return platformapi.Order{Load: true, Adapter: platformapi.Adapter{Model: name}}, true
		}
	}
	return platformapi.Order{}, false
}

// nextCheck repeats the order of a load that should have ended: the server
// answers that it holds, at once and cheaper than a report, which lags.
func (planner *Planner) nextCheck(now clock.Millis) (platformapi.Order, bool) {
	for adapter, held := range planner.slots {
		if now < held.checkAt || !held.loading && !held.leaving {
			continue
		}
		if held.leaving {
			return platformapi.Order{Adapter: adapter}, true
		}
		return platformapi.Order{Load: true, Adapter: adapter, Version: held.version}, true
	}
	return platformapi.Order{}, false
}

// nextVersion replaces or drops an adapter of which a newer version was named.
func (planner *Planner) nextVersion(uses Uses, newest func(platformapi.Adapter) int) (platformapi.Order, bool) {
	for adapter, held := range planner.slots {
		version := newest(adapter)
		if held.loading || held.leaving || held.version >= version {
			continue
		}
		if uses(adapter) > 0 || planner.wants[adapter] != nil {
			return platformapi.Order{Load: true, Adapter: adapter, Version: version}, true
		}
		return platformapi.Order{Adapter: adapter}, true
	}
	return platformapi.Order{}, false
}

// nextWant loads the adapter that is wanted most urgently, or makes room for it.
func (planner *Planner) nextWant(now clock.Millis, uses Uses, traffic Traffic) (platformapi.Order, bool) {
	most := planner.options.MostIncoming
	if traffic.InFlight >= planner.rate.FullSpeedLoads(traffic.Servers) {
		most = planner.options.CrowdedIncoming
	}
	if planner.incoming() >= most {
		return platformapi.Order{}, false
	}
	adapter, wanted, ok := planner.firstWant()
	if !ok {
		return platformapi.Order{}, false
	}
	if planner.hasRoom(adapter) {
		return platformapi.Order{Load: true, Adapter: adapter, Version: wanted.version}, true
	}
	if planner.leaving() >= len(planner.wants) {
		return platformapi.Order{}, false // there will be room
	}
	victim, ok := planner.victim(now, uses)
	return platformapi.Order{Adapter: victim}, ok
}

func (planner *Planner) firstWant() (platformapi.Adapter, *want, bool) {
	var first platformapi.Adapter
	var best *want
	for adapter, wanted := range planner.wants {
		if held, ok := planner.slots[adapter]; ok && (held.loading || held.leaving || held.version >= wanted.version) || !planner.models[adapter.Model] {
			continue
		}
		if best == nil || wanted.rank < best.rank || wanted.rank == best.rank && wanted.since < best.since {
			first, best = adapter, wanted
		}
	}
	return first, best, best != nil
}

func (planner *Planner) incoming() int {
	count := 0
	for _, held := range planner.slots {
		if held.loading {
			count++
		}
	}
	return count
}

func (planner *Planner) leaving() int {
	count := 0
	for _, held := range planner.slots {
		if held.leaving {
			count++
		}
	}
	return count
}

// hasRoom reports whether one more adapter fits: a server that is ordered to
// load more than it can hold crashes.
func (planner *Planner) hasRoom(adapter platformapi.Adapter) bool {
	if _, held := planner.slots[adapter]; held {
		return true // a newer version takes the place of the one held
	}
	if len(planner.slots) >= planner.limits.AdapterSlots {
		return false
	}
	used := planner.limits.AdapterMB[adapter.Model]
	for model := range planner.models {
		used += planner.limits.ModelMB[model]
	}
	for held := range planner.slots {
		used += planner.limits.AdapterMB[held.Model]
	}
	return used <= planner.limits.MemoryMB
}

// victim is the adapter asked for least of those that nobody uses or waits for.
func (planner *Planner) victim(now clock.Millis, uses Uses) (platformapi.Adapter, bool) {
	var victim platformapi.Adapter
	least := -1.0
	for adapter, held := range planner.slots {
		if held.loading || held.leaving || now-held.usedAt < planner.options.Settle || planner.wants[adapter] != nil || uses(adapter) > 0 {
			continue
		}
		score := planner.score(now, held)
		if least < 0 || score < least || score == least && byName(adapter, victim) < 0 {
			victim, least = adapter, score
		}
	}
	return victim, least >= 0
}

// turnInterval is how often a server without a base model looks whether it is its
// turn: little against the seconds that a model takes.
const turnInterval clock.Millis = 100

// retryInterval is how soon a want that found no place looks for one again: half
// of what the decision adds to a load stall at most.
const retryInterval clock.Millis = 25

func (planner *Planner) wakeAt(now clock.Millis) clock.Millis {
	var at clock.Millis
	earlier := func(other clock.Millis) {
		if at == 0 || other < at {
			at = other
		}
	}
	for _, load := range planner.coming {
		earlier(load.checkAt)
	}
	for _, held := range planner.slots {
		if held.loading || held.leaving {
			earlier(held.checkAt)
		}
	}
	if _, _, ok := planner.firstWant(); ok {
		earlier(now + retryInterval)
	}
	return at
}
