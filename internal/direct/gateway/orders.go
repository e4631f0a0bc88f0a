package gateway

import (
	"context"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/topology"
)

// poke has the worker of a server look again.
func (ordering *ordering) poke() {
	select {
	case ordering.wake <- struct{}{}:
	default:
	}
}

// claim takes over the servers whose orders fall to this daemon, and gives up
// those that another one has claimed.
func (gateway *Gateway) claim(now clock.Millis) {
	if gateway.claimed(now) {
		gateway.tellOrderers(now)
	}
}

// claimed reports whether anything was claimed.
func (gateway *Gateway) claimed(now clock.Millis) bool {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.catalog == nil || core.leaving {
		return false
	}
	core.dropOrders()
	if core.members.Role() != topology.Candidate {
		return false
	}
	var servers []string
	for _, member := range core.fleet.Members() {
		if core.isEngine(member.Service) {
			servers = append(servers, member.ID)
		}
	}
	taken := core.tenure.Claim(now, servers)
	for _, server := range taken {
		gateway.startOrders(server)
	}
	return len(taken) > 0
}

// dropOrders gives up the servers that are gone or that another daemon has
// claimed. The mutex is held.
func (core *core) dropOrders() {
	for server, held := range core.orders {
		_, claimed := core.tenure.Holds(server)
		_, known := core.fleet.Member(server)
		if claimed && known {
			continue
		}
		core.log.Info("orders given up", "Server", server, "Claimed", claimed, "Known", known)
		held.stop()
		delete(core.orders, server)
		if !known {
			core.tenure.Forget(server)
		}
	}
}

// startOrders begins to give orders to a server. The mutex is held.
func (gateway *Gateway) startOrders(server string) {
	core := gateway.core
	fence, _ := core.tenure.Holds(server)
	ctx, cancel := context.WithCancel(gateway.group.Context())
	atHand := func(adapter platformapi.Adapter) bool {
		member, ok := core.fleet.Member(server)
		return ok && member.RecentlyHeld(adapter)
	}
	held := &ordering{
		planner: loading.New(core.options.Loading, loading.Limits{}, core.loadRate, atHand), fence: fence,
		wake: make(chan struct{}, 1), stop: cancel, askers: make(askers),
	}
	core.orders[server] = held
	core.log.Info("orders taken over", "Server", server, "Fence", fence, "Live", core.tenure.Live(core.now()))
	gateway.group.Go("orders "+server, func(context.Context) error { return gateway.order(ctx, server, held) })
}

// limitsOf returns what a server of a service can hold. The mutex is held.
func limitsOf(service *catalog.Service) loading.Limits {
	limits := loading.Limits{
		ModelMB: make(map[string]float64), AdapterMB: make(map[string]float64), ModelTime: make(map[string]clock.Millis),
	}
	if service == nil || service.Engine == nil {
		return limits
	}
	limits.AdapterSlots = service.Engine.AdapterSlots
	limits.MemoryMB = service.Engine.MemoryMB
	for _, model := range service.Engine.Models {
		limits.ModelMB[model.Name] = model.MB
		limits.AdapterMB[model.Name] = model.AdapterMB
		limits.ModelTime[model.Name] = model.LoadTime
	}
	return limits
}

// idleLook is how often a worker without orders looks whether it may order again.
const idleLook = 100 * clock.Millisecond

// order gives a server its orders, one at a time, until the context ends.
func (gateway *Gateway) order(ctx context.Context, server string, held *ordering) error {
	for ctx.Err() == nil {
		wait := gateway.orderOnce(ctx, server, held)
		if wait <= 0 {
			continue
		}
		timer := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
		case <-held.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// orderOnce reads the report or gives an order, where one is due. It returns the
// time to wait before the next.
func (gateway *Gateway) orderOnce(ctx context.Context, server string, held *ordering) clock.Millis {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	member, known := core.fleet.Member(server)
	fence, may := core.tenure.MayOrder(now, server)
	if !known || !may || member.Suspect(now) || member.Draining || member.PausedFor(now) > 0 {
		core.mutex.Unlock()
		return idleLook
	}
	target := member.Server
	held.fence = fence
	held.planner.SetLimits(limitsOf(core.catalog.Services[member.Service]))
	if needed, from := held.planner.NeedsReport(); needed {
		core.mutex.Unlock()
		if now < from {
			return from - now
		}
		return gateway.readReport(ctx, target, held)
	}
	uses := func(adapter platformapi.Adapter) int {
		return core.work.Uses(inflight.Use{Server: server, Adapter: adapter})
	}
	order, ok, at := held.planner.NextOrder(now, uses, core.newest, core.traffic(), core.modelTurn(now, member))
	if !ok {
		core.mutex.Unlock()
		if at == 0 {
			return clock.Second
		}
		return max(1, at-now)
	}
	if order.Load && order.Adapter.Name == "" && member.HasNoModel() && !member.LoadingModel() {
		core.log.Info("base model ordered", "Server", server, "Model", order.Adapter.Model, "Ends", core.turnsOf(member.Service).RemainingTimes(now))
	}
	order.Owner, order.Fence = core.settings.Name, fence
	core.tenure.Ordered(now, server)
	core.mutex.Unlock()
	gateway.give(ctx, target, held, order)
	return 0
}

func (gateway *Gateway) give(ctx context.Context, target platformapi.Server, held *ordering, order platformapi.Order) {
	answer, err := gateway.servers.SendOrder(ctx, target, order)
	gateway.noteLeaving(target, answer.Leaving, "order")
	result := answer.Result
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	core.tenure.Ordered(now, target.ID)
	core.ordersGiven++
	line := []any{
		"Server", target.ID, "Load", order.Load, "Model", order.Adapter.Model, "Adapter", order.Adapter.Name,
		"Version", order.Version, "Fence", order.Fence, "Result", result.String(),
	}
	if err != nil {
		line = append(line, "Error", err.Error())
	}
	core.log.Info("order given", line...)
	if result == platformapi.Fenced {
		core.tenure.Fenced(now, target.ID)
	}
	if result == platformapi.Unknown {
		core.fleet.MarkUnreachable(now, target.ID)
	}
	held.planner.HandleResult(now, order, result, core.traffic())
	gateway.publish(target.ID, held)
}

// coming returns how many adapters are on their way to all servers, and how many
// wait for their load to begin. The mutex is held.
func (core *core) coming() (loading, queued int) {
	for _, member := range core.fleet.Members() {
		loadingHere, queuedHere := member.LoadCounts()
		loading += loadingHere
		queued += queuedHere
	}
	return loading, queued
}

// traffic is what is on its way from the weight store. The mutex is held.
func (core *core) traffic() loading.Traffic {
	onWay, _ := core.coming()
	return loading.Traffic{InFlight: onWay, Servers: core.engines()}
}

// engines is how many servers adapters are loaded to. The mutex is held.
func (core *core) engines() int {
	return len(core.fleet.Tables())
}

// publish makes a planner's table known here and to peers. Until the server's report
// was read there is none: an empty table under a new claim would hide what the server
// holds, as the former daemon's table has it. The mutex is held.
func (gateway *Gateway) publish(server string, held *ordering) {
	if !held.planner.HoldingsKnown() {
		return
	}
	core := gateway.core
	number, models, slots := held.planner.Table()
	table := fleet.Table{Server: server, Born: held.born, Fence: held.fence, Number: number, Models: models, Slots: slots}
	if core.fleet.SetTable(table) {
		core.notify()
		core.hurry()
		gateway.tellAskers(held.askers, table)
	}
}

// readReport learns what a server holds before it is given orders.
func (gateway *Gateway) readReport(ctx context.Context, target platformapi.Server, held *ordering) clock.Millis {
	report, err := gateway.servers.ReadReport(ctx, target)
	target.StartedAt = max(report.StartedAt, target.StartedAt)
	gateway.noteLeaving(target, report.Leaving, "report")
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if err != nil {
		core.log.Warn("report not read", "Server", target.ID, "Error", err.Error())
		core.fleet.MarkUnreachable(now, target.ID)
		return idleLook
	}
	held.born = target.StartedAt
	held.planner.SetReport(now, report)
	core.log.Info("report read", "Server", target.ID, "Born", report.StartedAt, "Models", len(report.Models), "Incoming", len(report.Incoming))
	gateway.publish(target.ID, held)
	return 0
}
