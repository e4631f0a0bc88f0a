package gateway

import (
	"context"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// This file finds out whether the processes of servers are those that the store's history names. A server may have started again with
// another software version, begun streams for daemons that are lost since, and not have written an entry yet.

// recordUnconfirmed records which servers may have had a process that no entry has stated, given their last entries, and returns their
// number: those that serve, until a report, an answer or a later entry confirms them, and those that were removed without draining. The
// mutex must be held.
func (core *core) recordUnconfirmed(now clock.Millis, entries map[string]*lastEntry) int {
	count := 0
	for _, entry := range entries {
		if entry.StartedAt == 0 || entry.removed && entry.Draining {
			continue // an entry without a start stands for the process; one that drained was the last one's
		}
		core.origins.history.AddUnconfirmed(now, entry.ID, entry.Service)
		count++
	}
	return count
}

// confirmProcess records that a process has answered. If it is the one of its server's entry, no other one of it has come after. The mutex
// must be held.
func (core *core) confirmProcess(process platformapi.Process) {
	member, known := core.fleet.Member(process.Server)
	if known && member.StartedAt == process.StartedAt {
		core.origins.history.Confirm(core.now(), process.Server)
	}
}

// confirmServers reads the reports of the servers that must be confirmed before a service's history shows all software versions. It reports
// false if there are none, or if they cannot be confirmed: one has been removed, or they are too many for one daemon. The mutex must be
// held.
func (gateway *Gateway) confirmServers(now clock.Millis, service string) bool {
	core := gateway.core
	unconfirmed := core.origins.history.Unconfirmed(now, service)
	if len(unconfirmed) == 0 || len(unconfirmed) > maxReportsPerTick || !core.isEngine(service) {
		return false
	}
	var targets []platformapi.Server
	for _, id := range unconfirmed {
		member, known := core.fleet.Member(id)
		if !known || member.Suspect(now) {
			return false
		}
		lastRequest, requested := core.reportRequestedAt[id]
		if !requested || now-lastRequest >= reportRetryInterval {
			targets = append(targets, member.Server)
		}
	}
	for _, target := range targets {
		core.reportRequestedAt[target.ID] = now
		gateway.tasks.Go("confirmation "+target.ID, func(ctx context.Context) error {
			gateway.readHoldings(ctx, target)
			return nil
		})
	}
	return true
}
