package gateway

import (
	"context"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/topology"
)

// watchOrders has servers be asked how many orders they have accepted, those that may have an owner which this daemon does not hear.
func (gateway *Gateway) watchOrders(now clock.Millis) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.claims.SetAlone(!core.members.Joined())
	for _, target := range core.watchedServers(now) {
		core.ordersWatchedAt[target.ID] = now
		gateway.tasks.Go("watch orders "+target.ID, func(ctx context.Context) error {
			gateway.countOrders(ctx, target)
			return nil
		})
	}
}

// watchedServers returns the servers that are asked now, at most maxReportsPerTick. The mutex must be held.
func (core *core) watchedServers(now clock.Millis) []platformapi.Server {
	mayClaim := core.members.Role() == topology.Candidate || core.mayReadReports(now)
	if core.catalog == nil || core.leaving || !mayClaim || !core.claims.Watches() {
		return nil
	}
	var targets []platformapi.Server
	for _, id := range core.claims.Watched(now, core.engineIDs()) {
		member, ok := core.fleet.Member(id)
		askedAt, asked := core.ordersWatchedAt[id]
		due := ok && !member.Suspect(now) && member.PausedFor(now) == 0 && (!asked || now-askedAt >= reportRetryInterval)
		if due && len(targets) < maxReportsPerTick {
			targets = append(targets, member.Server)
		}
	}
	return targets
}

// countOrders reads how many orders a server has accepted.
func (gateway *Gateway) countOrders(ctx context.Context, target platformapi.Server) {
	_, report, ok := gateway.fetchReport(ctx, target)
	if !ok {
		return
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	delete(core.ordersWatchedAt, target.ID)
	core.claims.CountOrders(core.now(), target.ID, report.Orders)
	core.log.Debug("orders counted", "Server", target.ID, "Orders", report.Orders)
}
