package gateway

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
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
			continue // an entry without a start stands for the process, and one that drains is that of the last process
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

// confirmable returns the servers that must be confirmed before a service's history shows all software versions. It is empty if there are
// none, or if one has been removed, as that one cannot be confirmed. The mutex must be held.
func (core *core) confirmable(now clock.Millis, service string) []*fleet.Member {
	var members []*fleet.Member
	for _, id := range core.origins.history.Unconfirmed(now, service) {
		member, known := core.fleet.Member(id)
		if !known {
			return nil
		}
		members = append(members, member)
	}
	return members
}

// confirmServers reads the reports of the servers of a service that must be confirmed, and reports whether they may be soon: not if one
// cannot be reached, or if they are too many for one daemon. The mutex must be held.
func (gateway *Gateway) confirmServers(now clock.Millis, service string) bool {
	core := gateway.core
	members := core.confirmable(now, service)
	unreachable := slices.ContainsFunc(members, func(member *fleet.Member) bool { return member.Suspect(now) })
	if len(members) == 0 || len(members) > maxReportsPerTick || unreachable || !core.isEngine(service) {
		return false
	}
	for _, member := range members {
		lastRequest, requested := core.reportRequestedAt[member.ID]
		if !requested || now-lastRequest >= reportRetryInterval {
			gateway.startReadingHoldings(now, member.Server)
		}
	}
	return true
}
