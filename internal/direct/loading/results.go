package loading

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// HandleResult takes the result of an order.
func (planner *Planner) HandleResult(now clock.Millis, order platformapi.Order, result platformapi.Result, traffic Traffic) {
	if result != platformapi.Conflict && result != platformapi.Fenced && result != platformapi.WrongServer {
		planner.ordered = now
	}
	switch result {
	case platformapi.Accepted, platformapi.NothingToDo:
		planner.shown = true
		planner.accepted(now, order, result == platformapi.NothingToDo, traffic)
	case platformapi.Conflict:
		planner.waitTo = now + planner.options.Backoff
	case platformapi.Unknown:
		planner.unanswered(now, order)
	case platformapi.WrongServer, platformapi.Fenced:
		planner.known = false
		planner.shown = false
	case platformapi.InvalidOrder:
		planner.refused(now, order)
	}
}

// unanswered counts a load that may have been accepted: its place is taken until
// the order, given again, is answered.
func (planner *Planner) unanswered(now clock.Millis, order platformapi.Order) {
	planner.waitTo = now + planner.options.Backoff
	planner.number++
	if !order.Load {
		return // the adapter keeps its place
	}
	if order.Adapter.Name == "" {
		planner.modelOnItsWay(now, order.Adapter.Model, planner.waitTo)
		return
	}
	held, ok := planner.slots[order.Adapter]
	if !ok {
		held = &slot{version: order.Version}
		planner.slots[order.Adapter] = held
	}
	held.loading = true
	held.began = 0
	held.checkAt = planner.waitTo
}

func (planner *Planner) accepted(now clock.Millis, order platformapi.Order, holds bool, traffic Traffic) {
	planner.number++
	switch {
	case order.Adapter.Name == "":
		planner.modelAccepted(now, order.Adapter.Model, holds)
	case !order.Load:
		planner.unloadAccepted(now, order.Adapter, holds)
	default:
		planner.loadAccepted(now, order, holds, traffic)
	}
}

// unloadAccepted frees the place once nothing runs on the adapter any more: until
// then the server still counts it.
func (planner *Planner) unloadAccepted(now clock.Millis, adapter platformapi.Adapter, holds bool) {
	held, ok := planner.slots[adapter]
	if holds || !ok {
		delete(planner.slots, adapter)
		return
	}
	held.leaving = true
	held.checkAt = now + planner.options.CheckInterval
}

func (planner *Planner) modelAccepted(now clock.Millis, model string, holds bool) {
	if holds {
		planner.models[model] = true
		delete(planner.coming, model)
		return
	}
	planner.modelOnItsWay(now, model, now+planner.options.ModelCheckInterval)
}

func (planner *Planner) modelOnItsWay(now clock.Millis, model string, checkAt clock.Millis) {
	load, known := planner.coming[model]
	if !known {
		load.since = now
	}
	load.checkAt = checkAt
	planner.coming[model] = load
}

func (planner *Planner) loadAccepted(now clock.Millis, order platformapi.Order, holds bool, traffic Traffic) {
	held, ok := planner.slots[order.Adapter]
	if !ok {
		held = &slot{}
		planner.slots[order.Adapter] = held
	}
	if holds {
		if held.began > 0 {
			planner.rate.Observe(Observation{OnWay: held.onWay, Servers: traffic.Servers, Least: held.seenFor, Most: now - held.began})
		}
		held.loading = false
		held.checks = 0
		held.began = 0
		held.version = max(held.version, order.Version, 1)
		held.usedAt = now
		delete(planner.wants, order.Adapter)
		return
	}
	held.version = max(held.version, order.Version)
	if !held.loading {
		held.loading = true
		held.checks = 0
		planner.begin(now, order.Adapter, held, traffic)
		return
	}
	held.checks++
	if held.began > 0 {
		held.seenFor = now - held.began
	}
	held.checkAt = now + planner.options.CheckInterval
	if held.checks > planner.options.MostChecks {
		planner.known = false
	}
}

// begin notes the start of a load, and when it is expected to have ended.
func (planner *Planner) begin(now clock.Millis, adapter platformapi.Adapter, held *slot, traffic Traffic) {
	if planner.atHand(adapter) {
		held.began = 0 // it says nothing of the weight store
		held.checkAt = now + planner.rate.RecentLoadTime()
		return
	}
	held.began = now
	held.seenFor = 0
	held.onWay = traffic.InFlight + 1
	held.checkAt = now + planner.rate.FirstLook(held.onWay, traffic.Servers)
}

// refused drops what the server says makes no sense, so that it is not tried for ever.
func (planner *Planner) refused(now clock.Millis, order platformapi.Order) {
	delete(planner.wants, order.Adapter)
	planner.waitTo = now + planner.options.Backoff
	planner.known = false
}
