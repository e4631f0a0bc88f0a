package loading

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// HandleResult applies the result of an order. After one that has had no answer the next ones must have a higher fencing number: the server
// then refuses it if it arrives later.
func (planner *Planner) HandleResult(now clock.Millis, order platformapi.Order, result platformapi.Result, traffic Traffic) {
	if result != platformapi.Conflict && result != platformapi.Fenced && result != platformapi.WrongServer {
		planner.lastOrderAt = now
	}
	switch result {
	case platformapi.Accepted, platformapi.NothingToDo:
		planner.fenceKnown, planner.unanswered = true, false
		planner.accepted(now, order, result == platformapi.NothingToDo, traffic)
	case platformapi.Conflict:
		planner.waitUntil = now + planner.options.Backoff
	case platformapi.Unknown:
		planner.unanswered = true
		planner.keepSlot(now, order)
	case platformapi.Doubtful:
		planner.keepSlot(now, order)
		planner.reportValid = false
	case platformapi.WrongServer, platformapi.Fenced:
		planner.reportValid = false
		planner.fenceKnown = false
	case platformapi.InvalidOrder:
		planner.refused(now, order)
	}
}

// keepSlot handles an order without an answer. A load may have been accepted, so it takes
// an adapter slot until the order has been repeated and answered.
func (planner *Planner) keepSlot(now clock.Millis, order platformapi.Order) {
	planner.waitUntil = now + planner.options.Backoff
	planner.number++
	if !order.Load {
		return // the adapter keeps its adapter slot
	}
	if order.Adapter.Name == "" {
		planner.modelStarted(now, order.Adapter.Model, planner.waitUntil)
		return
	}
	entry, ok := planner.slots[order.Adapter]
	if !ok {
		entry = &slot{version: order.Version}
		planner.slots[order.Adapter] = entry
	}
	entry.loading = true
	entry.began = 0
	entry.checkAt = planner.waitUntil
}

// accepted handles an order that the server has accepted. Done reports whether the server had
// nothing left to do: the load or unload has ended.
func (planner *Planner) accepted(now clock.Millis, order platformapi.Order, done bool, traffic Traffic) {
	planner.number++
	switch {
	case order.Adapter.Name == "":
		planner.modelAccepted(now, order.Adapter.Model, done)
	case !order.Load:
		planner.unloadAccepted(now, order.Adapter, done)
	default:
		planner.loadAccepted(now, order, done, traffic)
	}
}

// unloadAccepted frees the adapter slot once no request uses the adapter any more. Until
// then the server still counts it.
func (planner *Planner) unloadAccepted(now clock.Millis, adapter platformapi.Adapter, done bool) {
	entry, ok := planner.slots[adapter]
	if done || !ok {
		delete(planner.slots, adapter)
		return
	}
	entry.unloading = true
	entry.checkAt = now + planner.options.CheckInterval
}

func (planner *Planner) modelAccepted(now clock.Millis, model string, done bool) {
	if done {
		planner.models[model] = true
		delete(planner.modelLoads, model)
		return
	}
	planner.modelStarted(now, model, now+planner.options.ModelCheckInterval)
}

func (planner *Planner) modelStarted(now clock.Millis, model string, checkAt clock.Millis) {
	load, known := planner.modelLoads[model]
	if !known {
		load.since = now
	}
	load.checkAt = checkAt
	planner.modelLoads[model] = load
}

// loadAccepted records that a load was started, is still in progress, or has ended.
func (planner *Planner) loadAccepted(now clock.Millis, order platformapi.Order, done bool, traffic Traffic) {
	entry, ok := planner.slots[order.Adapter]
	if !ok {
		entry = &slot{}
		planner.slots[order.Adapter] = entry
	}
	if done {
		if entry.began > 0 {
			planner.rate.Observe(Observation{InFlight: entry.inFlight, Servers: traffic.Servers, MinTime: entry.lastSeenAfter, MaxTime: now - entry.began})
		}
		entry.loading = false
		entry.checks = 0
		entry.began = 0
		entry.version = max(entry.version, order.Version, 1)
		entry.usedAt = now
		delete(planner.requested, order.Adapter)
		return
	}
	entry.version = max(entry.version, order.Version)
	if !entry.loading {
		entry.loading = true
		entry.checks = 0
		planner.loadStarted(now, order.Adapter, entry, traffic)
		return
	}
	entry.checks++
	if entry.began > 0 {
		entry.lastSeenAfter = now - entry.began
	}
	entry.checkAt = now + planner.options.CheckInterval
	if entry.checks > planner.options.MostChecks {
		planner.reportValid = false
	}
}

// loadStarted records the start of a load and when to check it first.
func (planner *Planner) loadStarted(now clock.Millis, adapter platformapi.Adapter, entry *slot, traffic Traffic) {
	if planner.recentlyHeld(adapter) {
		entry.began = 0 // its duration says nothing about the weight store
		entry.checkAt = now + planner.rate.RecentLoadTime()
		return
	}
	entry.began = now
	entry.lastSeenAfter = 0
	entry.inFlight = traffic.InFlight + 1
	entry.checkAt = now + planner.rate.FirstCheck(entry.inFlight, traffic.Servers)
}

// refused drops a requested adapter whose order the server rejects as invalid, so that the
// order is not repeated forever.
func (planner *Planner) refused(now clock.Millis, order platformapi.Order) {
	delete(planner.requested, order.Adapter)
	planner.waitUntil = now + planner.options.Backoff
	planner.reportValid = false
}
