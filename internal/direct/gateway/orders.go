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
	"teaselmoor/internal/direct/prefill"
	"teaselmoor/internal/direct/topology"
)

// wakeUp makes the worker check whether an order is due.
func (orderWorker *orderWorker) wakeUp() {
	select {
	case orderWorker.wake <- struct{}{}:
	default:
	}
}

// updateClaims claims the servers that this daemon is to own, and releases those that another
// daemon has claimed.
func (gateway *Gateway) updateClaims(now clock.Millis) {
	if gateway.claimServers(now) {
		gateway.sendUpdateToOrderers(now)
	}
}

// claimServers updates claims and the workers that send orders, and reports whether any server
// was newly claimed.
func (gateway *Gateway) claimServers(now clock.Millis) bool {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.catalog == nil || core.leaving {
		return false
	}
	core.dropOrderWorkers()
	if core.members.Role() != topology.Candidate || core.links.CutOff() {
		return false
	}
	claimed := core.claims.Claim(now, core.engineIDs())
	for _, server := range claimed {
		gateway.startOrderWorker(server)
	}
	return len(claimed) > 0
}

// engineIDs returns the ids of all model engines. The mutex must be held.
func (core *core) engineIDs() []string {
	var servers []string
	for _, member := range core.fleet.Members() {
		if core.isEngine(member.Service) {
			servers = append(servers, member.ID)
		}
	}
	return servers
}

// dropOrderWorkers stops the workers of servers that are no longer known or that this daemon no
// longer claims. The mutex must be held.
func (core *core) dropOrderWorkers() {
	for server, worker := range core.orderWorkers {
		_, claimed := core.claims.Holds(server)
		_, known := core.fleet.Member(server)
		if claimed && known {
			continue
		}
		core.log.Info("server ownership released", "Server", server, "Claimed", claimed, "Known", known)
		worker.stop()
		delete(core.orderWorkers, server)
		if !known {
			core.claims.Forget(server)
		}
	}
}

// startOrderWorker starts the worker that sends orders to a server. The mutex must be held.
func (gateway *Gateway) startOrderWorker(server string) {
	core := gateway.core
	fence, _ := core.claims.Holds(server)
	ctx, cancel := context.WithCancel(gateway.tasks.Context())
	recentlyHeld := func(adapter platformapi.Adapter) bool {
		member, ok := core.fleet.Member(server)
		return ok && member.RecentlyHeld(adapter)
	}
	worker := &orderWorker{
		planner: loading.New(core.options.Loading, loading.Limits{}, core.loadRate, recentlyHeld), fence: fence,
		wake: make(chan struct{}, 1), stop: cancel, waiting: make(waitingPeers),
		prompts: prefill.New(core.options.Turns),
	}
	core.orderWorkers[server] = worker
	core.log.Info("server ownership taken over", "Server", server, "Fence", fence, "Live", core.claims.Live(core.now()))
	gateway.tasks.Go("orders "+server, func(context.Context) error { return gateway.runOrderWorker(ctx, server, worker) })
}

// engineLimits returns how much a server of a service can hold, and the sizes and load times of
// its models.
func engineLimits(service *catalog.Service) loading.Limits {
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

// idleCheckInterval is how often a worker that may not send orders checks whether it may again,
// and how long it waits after a report that could not be read.
const idleCheckInterval = 100 * clock.Millisecond

// runOrderWorker sends a server its orders, one at a time, until the context ends.
func (gateway *Gateway) runOrderWorker(ctx context.Context, server string, worker *orderWorker) error {
	for ctx.Err() == nil {
		wait := gateway.orderOnce(ctx, server, worker)
		if wait <= 0 {
			continue
		}
		timer := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
		case <-worker.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// orderOnce reads the server's report if it is needed, or else sends an order if one is due. It
// returns the time to wait before the next call.
func (gateway *Gateway) orderOnce(ctx context.Context, server string, worker *orderWorker) clock.Millis {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	member, known := core.fleet.Member(server)
	fence, allowed := core.claims.MayOrder(now, server)
	if !known || !allowed || member.Suspect(now) || member.Draining || member.PausedFor(now) > 0 {
		core.mutex.Unlock()
		return idleCheckInterval
	}
	target := member.Server
	worker.fence = fence
	worker.planner.SetLimits(engineLimits(core.catalog.Services[member.Service]))
	if needed, from := worker.planner.NeedsReport(); needed {
		core.mutex.Unlock()
		if now < from {
			return from - now
		}
		return gateway.readReport(ctx, target, worker)
	}
	uses := func(adapter platformapi.Adapter) int {
		return core.work.Uses(inflight.Use{Server: server, Adapter: adapter})
	}
	order, ok, at := worker.planner.NextOrder(now, uses, core.newestVersion, core.traffic(), core.mayLoadModel(now, member))
	if !ok {
		core.mutex.Unlock()
		if at == 0 {
			return clock.Second
		}
		return max(1, at-now)
	}
	if order.Load && order.Adapter.Name == "" && member.HasNoModel() && !member.LoadingModel() {
		core.log.Info("base model load ordered", "Server", server, "Model", order.Adapter.Model, "Ends", core.turnsOf(member.Service).RemainingTimes(now))
	}
	order.Owner, order.Fence = core.settings.Name, fence
	order.Expected, order.HasExpected = core.claims.ExpectedOrders(server)
	core.claims.Ordered(now, server)
	core.mutex.Unlock()
	gateway.sendOrder(ctx, target, worker, order)
	return 0
}

// sendOrder sends an order to a server and passes the result to the planner.
func (gateway *Gateway) sendOrder(ctx context.Context, target platformapi.Server, worker *orderWorker, order platformapi.Order) {
	answer, err := gateway.servers.SendOrder(ctx, target, order, func() { gateway.doubtHoldings(target.ID, worker) })
	gateway.handleLeaving(target, answer.Leaving, "order")
	result := answer.Result
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	core.claims.Ordered(now, target.ID)
	core.ordersSent++
	line := []any{
		"Server", target.ID, "Load", order.Load, "Model", order.Adapter.Model, "Adapter", order.Adapter.Name,
		"Version", order.Version, "Fence", order.Fence, "Result", result.String(),
	}
	if err != nil {
		line = append(line, "Error", err.Error())
	}
	core.log.Info("order sent", line...)
	core.updateClaim(now, target.ID, order, result)
	worker.planner.HandleResult(now, order, result, core.traffic())
	gateway.publishTable(target.ID, worker)
}

// updateClaim applies the result of an order to the claim to its server. The mutex must be held.
func (core *core) updateClaim(now clock.Millis, server string, order platformapi.Order, result platformapi.Result) {
	switch result {
	case platformapi.Fenced:
		core.claims.Fenced(now, server)
	case platformapi.Conflict:
		if order.HasExpected {
			core.log.Info("server has another owner", "Server", server, "ExpectedOrders", order.Expected)
			core.claims.Contest(now, server)
		}
	case platformapi.Unknown:
		core.claims.Confirmed(server)
		core.claims.Renew(server)
		core.fleet.MarkUnreachable(now, server)
		core.links.ConnectFailed(now)
	case platformapi.Accepted, platformapi.NothingToDo, platformapi.Doubtful:
		core.claims.Confirmed(server)
	}
}

// doubtHoldings has a server's report read again, as the answer to an order may have been that to an earlier one.
func (gateway *Gateway) doubtHoldings(server string, worker *orderWorker) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.log.Warn("answer to order in doubt", "Server", server)
	worker.planner.InvalidateReport()
	worker.wakeUp()
}

// incomingAdapters returns how many adapters are being loaded on all servers, and how many
// loads are queued. The mutex must be held.
func (core *core) incomingAdapters() (loading, queued int) {
	for _, member := range core.fleet.Members() {
		loadingHere, queuedHere := member.LoadCounts()
		loading += loadingHere
		queued += queuedHere
	}
	return loading, queued
}

// traffic returns the loads in flight from the weight store. The mutex must be held.
func (core *core) traffic() loading.Traffic {
	inFlight, _ := core.incomingAdapters()
	return loading.Traffic{InFlight: inFlight, Servers: core.engineCount()}
}

// engineCount is the number of servers with an owner's table, on which adapters are loaded. The
// mutex must be held.
func (core *core) engineCount() int {
	return len(core.fleet.Tables())
}

// publishTable publishes a planner's table to this daemon and its peers. Nothing is published
// before the server's report was read: an empty table under a new claim would replace the
// former owner's table and hide what the server holds. The mutex must be held.
func (gateway *Gateway) publishTable(server string, worker *orderWorker) {
	if !worker.planner.HoldingsKnown() {
		return
	}
	core := gateway.core
	number, models, slots := worker.planner.Table()
	table := fleet.Table{Server: server, Born: worker.serverStart, Fence: worker.fence, Number: number, Models: models, Slots: slots}
	if core.fleet.SetTable(table) {
		core.wakeWaitingRequests()
		core.requestDelta()
		gateway.sendTableToWaiting(worker.waiting, table)
	}
}

// readReport reads what a server holds, which its planner needs before it sends orders. It
// returns the time to wait before the next call of orderOnce.
func (gateway *Gateway) readReport(ctx context.Context, target platformapi.Server, worker *orderWorker) clock.Millis {
	target, report, ok := gateway.fetchReport(ctx, target)
	if !ok {
		return idleCheckInterval
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.confirmProcess(target.Process())
	core.seeProcess(target.Process(), "report")
	worker.serverStart = target.StartedAt
	worker.planner.SetReport(core.now(), report)
	core.log.Info("report read", "Server", target.ID, "Born", report.StartedAt, "Models", len(report.Models), "Incoming", len(report.Incoming))
	gateway.publishTable(target.ID, worker)
	return 0
}
