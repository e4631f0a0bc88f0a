package gateway

import (
	"maps"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/peers"
)

// groupSnapshot is what a hub and the daemons that have chosen it have in progress, with its
// sequence number.
type groupSnapshot struct {
	number   int64
	snapshot inflight.Share
}

// updateGroup aggregates, on a hub, what this daemon and the daemons that have chosen it have
// in progress.
func (core *core) updateGroup() {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.members.Plan().Mesh || core.hub != "" {
		return
	}
	var group []string
	for name, peer := range core.members.Peers() {
		if peer.Hub == core.settings.Name {
			group = append(group, name)
		}
	}
	share := core.work.Group(group)
	if changes := share.DeltaFrom(core.groupSnapshot.snapshot); !changes.Empty() {
		core.groupSnapshot = groupSnapshot{number: core.groupSnapshot.number + 1, snapshot: share}
		core.groupChanges = changes
	}
}

// updateOwners records, on a hub, the owner of each server and the rates of loads from the
// weight store, as they are sent to other daemons. The mutex must be held.
func (core *core) updateOwners(now clock.Millis) {
	if core.members.Plan().Mesh || core.hub != "" {
		return
	}
	owners, learned := core.currentOwners(now), core.loadRate.Estimate()
	if maps.Equal(owners, core.owners) && learned.SimilarTo(core.learnedRates) {
		return
	}
	core.owners, core.learnedRates = owners, learned
	core.ownersVersion++
	core.requestDelta()
}

// unsentGroup returns the group's snapshot, or its changes if the target has the previous one.
// It returns nil if the target is up to date. The mutex must be held.
func (core *core) unsentGroup(sent *sentState) *peers.GroupShare {
	if sent.group == core.groupSnapshot.number {
		return nil
	}
	unsent := &peers.GroupShare{Number: core.groupSnapshot.number, Whole: true, Share: core.groupSnapshot.snapshot}
	if sent.group == core.groupSnapshot.number-1 && sent.group > 0 {
		unsent.Whole, unsent.Share = false, core.groupChanges
	}
	sent.group = core.groupSnapshot.number
	return unsent
}

// applyGroup applies the group snapshot of another hub. The mutex must be held.
func (core *core) applyGroup(now clock.Millis, from string, received *peers.GroupShare) {
	known, ok := core.groups[from]
	switch {
	case received.Whole:
		known = groupSnapshot{number: received.Number, snapshot: received.Share}
	case ok && received.Number == known.number+1:
		known = groupSnapshot{number: received.Number, snapshot: known.snapshot.ApplyDelta(received.Share)}
	default:
		return // the full snapshot was lost with its connection; the next connection begins with one
	}
	core.groups[from] = known
	if core.hub == "" {
		core.countUses(now, core.work.SetPeer(from, known.snapshot))
	}
}

// currentOwners returns the known owners, by server. The mutex must be held.
func (core *core) currentOwners(now clock.Millis) map[string]string {
	owners := make(map[string]string)
	for _, member := range core.fleet.Members() {
		if owner, ok := core.claims.Owner(now, member.ID); ok {
			owners[member.ID] = owner
		}
	}
	return owners
}

// unsentOwners returns the owners of servers if they have changed since they were last sent to
// a target. The mutex must be held.
func (core *core) unsentOwners(sent *sentState) *peers.Owners {
	if sent.owners == core.ownersVersion {
		return nil
	}
	sent.owners = core.ownersVersion
	return &peers.Owners{By: core.owners, Learned: core.learnedRates}
}

// unsentReports returns the holdings from servers' own reports that a target has not been sent.
// They are used for servers without an owner's table. The mutex must be held.
func (core *core) unsentReports(sent *sentState) []peers.ServerReport {
	if sent.reportCount == core.fleet.ReportCount() {
		return nil
	}
	sent.reportCount = core.fleet.ReportCount()
	var unsent []peers.ServerReport
	for _, member := range core.fleet.Members() {
		startedAt, holdings, ok := member.Reported()
		if ok && sent.reportedStarts[member.ID] < startedAt {
			sent.reportedStarts[member.ID] = startedAt
			unsent = append(unsent, peers.ServerReport{Server: member.ID, Born: startedAt, Holdings: holdings})
		}
	}
	return unsent
}

// applyReports applies holdings from servers' own reports. The mutex must be held.
func (core *core) applyReports(reports []peers.ServerReport) {
	for _, reported := range reports {
		core.fleet.SetReport(reported.Server, reported.Born, reported.Holdings)
	}
	if len(reports) > 0 {
		core.wakeWaitingRequests()
	}
}
