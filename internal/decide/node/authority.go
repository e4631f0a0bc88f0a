package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/ownership"
)

// checkPause detects a gap between two steps, caused by a pause of the process or a
// change of the wall clock, and invalidates what was known before it.
func (node *Node) checkPause() {
	previousStep := node.ownerRole.lastStepAt
	node.ownerRole.lastStepAt = node.now
	gap := node.now - previousStep
	if previousStep == 0 || gap <= node.options.Ownership.MaxStepGap && gap >= -node.options.Ownership.MaxStepGap {
		return
	}
	node.ownerRole.pauseEndedAt = node.now
	node.peers.ResetSilence(node.now)
	node.emit(effect.Audit{
		At: node.now, Kind: effect.PauseDetected, Object: string(node.options.Self),
		Cause: "two steps were too far apart", Before: versionText(uint64(previousStep)), After: versionText(uint64(node.now)),
	})
	node.emit(effect.ReadVMList{})
	for _, name := range node.ownedInOrder() {
		node.ownerRole.owned[name].lastReadAt = 0
	}
}

// vmListFresh reports whether the VM list was read recently enough, and since the
// last pause, to act on it.
func (node *Node) vmListFresh() bool {
	age := node.now - node.vms.ReadAt
	return age >= 0 && age < node.options.Ownership.MaxListAge && node.vms.ReadAt >= node.ownerRole.pauseEndedAt
}

// mayOrder reports whether this daemon may give orders to an owned engine now. An
// engine that checks fencing numbers rejects former owners itself, so a report read
// since the last pause is enough; for any other engine the VM list must also be
// fresh.
func (node *Node) mayOrder(name ident.EngineID, owned *ownedEngine) bool {
	if node.tenure(name).State() != ownership.Owning || owned.reportAskedAt < node.ownerRole.pauseEndedAt {
		return false
	}
	return owned.owner.Engine.ChecksFencing || node.vmListFresh() && node.now < node.tenure(name).OrdersUntil()
}

// updatePermission sets whether the owner state machine of an engine may give orders.
// It is called before every event that may lead to an order.
func (node *Node) updatePermission(name ident.EngineID, owned *ownedEngine) {
	owned.owner.Suspend(!node.mayOrder(name, owned))
}

// setOrderExpiry sets the time after which an order must not be sent, and returns
// other effects as they are. It checks the invariant that only an owner with
// permission gives orders.
func (node *Node) setOrderExpiry(owned *ownedEngine, next effect.Effect) effect.Effect {
	expiresAt := node.now + node.options.Ownership.MaxOrderDelay
	switch next := next.(type) {
	case effect.StartRun:
		if next.Resume {
			return next // a resume starts no run
		}
		node.checkOrder(next.Engine, owned)
		next.ExpiresAt = expiresAt
		return next
	case effect.Load:
		node.checkOrder(next.Engine, owned)
		next.ExpiresAt = expiresAt
		return next
	case effect.Unload:
		node.checkOrder(next.Engine, owned)
		next.ExpiresAt = expiresAt
		return next
	}
	return next
}

func (node *Node) checkOrder(name ident.EngineID, owned *ownedEngine) {
	invariant.Check(node.ownerRole.owned[name] == owned && node.mayOrder(name, owned),
		"only the confirmed owner of an engine gives it orders",
		"engine %s, tenure %s, list read at %d, leave until %d, report asked at %d, pause ended at %d, now %d",
		name, node.tenure(name).State(), node.vms.ReadAt, node.tenure(name).OrdersUntil(), owned.reportAskedAt,
		node.ownerRole.pauseEndedAt, node.now)
}

// vmListRead handles a reading of the VM list. A list older than the known one is
// ignored and does not extend the permission to give orders.
func (node *Node) vmListRead(view *members.View) {
	previous := node.vms
	if previous != nil && (view.List.Version < previous.List.Version || view.ReadAt < previous.ReadAt) {
		return
	}
	node.vms = view
	node.homeEffects(node.home.UpdateVMList(node.now, view))
	if previous != nil && view.List.Version == previous.List.Version {
		node.reviseOwnership()
		return
	}
	node.auditMembers(previous, view)
	node.peers.Keep(func(daemon ident.DaemonID) bool { _, listed := view.Daemon(daemon); return listed })
	if previous != nil && view.ReadAt-previous.ReadAt > node.options.Ownership.MaxListAge {
		node.handleVMListGap()
	}
	node.configEffects(node.rollout.UpdateVMList(node.now, view, node.options.DataCentre, node.options.Region))
	node.groupDaemons()
	node.rankCandidates()
}

// handleVMListGap handles too long a gap between two readings of the VM list. Another
// daemon may have owned the engines that ignore fencing numbers in between, so those
// that this daemon owns are released, and the hold-down of those that it waits for
// starts again.
func (node *Node) handleVMListGap() {
	for name, tenure := range node.ownerRole.tenures {
		engine, known := node.config.Engine(name)
		if known && !engine.ChecksFencing && tenure.State() != ownership.Owning {
			tenure.Interrupt(node.now)
		}
	}
	for _, name := range node.ownedInOrder() {
		if !node.ownerRole.owned[name].owner.Engine.ChecksFencing && node.tenure(name).Interrupt(node.now) {
			node.endOwnership(name, "the VM list was not read for too long and has changed since")
		}
	}
}

func (node *Node) auditMembers(previous, view *members.View) {
	for i := range view.List.VMs {
		vm := &view.List.VMs[i]
		before := members.State("")
		if previous != nil {
			if known, listed := previous.VM(vm.Name); listed {
				before = known.State
			}
		}
		if vm.Region == node.options.Region && before != vm.State {
			node.auditMember(vm.Name, before, vm.State)
		}
	}
	if previous == nil {
		return
	}
	for i := range previous.List.VMs {
		removed := &previous.List.VMs[i]
		if _, listed := view.VM(removed.Name); !listed && removed.Region == node.options.Region {
			node.auditMember(removed.Name, removed.State, "")
		}
	}
}

func (node *Node) auditMember(name string, before, after members.State) {
	node.emit(effect.Audit{
		At: node.now, Kind: effect.MemberChanged, Object: name, Cause: "read in the VM list",
		Before: string(before), After: string(after),
	})
}

// leavingReportTimeout is how long a peer's report that an engine is leaving stays
// valid. Peers repeat the report in each update.
const leavingReportTimeout = 10 * clock.Second

// engineLeaving reports whether an engine is leaving according to the
// configuration, the VM list or a peer's recent report.
func (node *Node) engineLeaving(name ident.EngineID) bool {
	reportedAt, known := node.ownerRole.leavingReportedAt[name]
	return known && node.now-reportedAt < leavingReportTimeout || node.listedAsLeaving(name)
}

// listedAsLeaving reports whether the configuration or VM list that this daemon has
// read shows an engine as leaving.
func (node *Node) listedAsLeaving(name ident.EngineID) bool {
	engine, known := node.config.Engine(name)
	return known && (engine.Leaving || node.vms.ServerLeaving(engine.Address))
}
