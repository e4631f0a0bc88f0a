package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/ownership"
)

// checkPause voids what was known before a gap between two steps: the process
// was paused, or the wall clock was set.
func (node *Node) checkPause() {
	before := node.owning.steppedAt
	node.owning.steppedAt = node.now
	gap := node.now - before
	if before == 0 || gap <= node.options.Ownership.Pause && gap >= -node.options.Ownership.Pause {
		return
	}
	node.owning.confirmAfter = node.now
	node.peers.Relisten(node.now)
	node.emit(effect.Audit{
		At: node.now, Kind: effect.PauseDetected, Object: string(node.options.Self),
		Cause: "two steps were too far apart", Before: versionText(uint64(before)), After: versionText(uint64(node.now)),
	})
	node.emit(effect.ReadVMList{})
	for _, name := range node.ownedInOrder() {
		node.owning.owned[name].readAt = 0
	}
}

// viewFresh reports whether the view of the VM list is young enough to act on.
func (node *Node) viewFresh() bool {
	age := node.now - node.vms.ReadAt
	return age >= 0 && age < node.options.Ownership.ViewAge && node.vms.ReadAt >= node.owning.confirmAfter
}

// mayOrder reports whether orders may be given to an owned engine now. An engine
// that checks fencing numbers judges the owner itself, so that only the report
// is read anew after a pause; for any other the VM list must be young.
func (node *Node) mayOrder(name ident.EngineID, held *owned) bool {
	if node.tenure(name).State() != ownership.Owning || held.askedAt < node.owning.confirmAfter {
		return false
	}
	return held.owner.Engine.ChecksFencing || node.viewFresh() && node.now < node.tenure(name).OrdersUntil()
}

// permit tells an owned engine's machine whether it may give orders. It stands
// before every event that may lead to one.
func (node *Node) permit(name ident.EngineID, held *owned) {
	held.owner.Suspend(!node.mayOrder(name, held))
}

// stamp puts the end of its leave on an order. An order without leave is a
// broken invariant.
func (node *Node) stamp(held *owned, next effect.Effect) effect.Effect {
	until := node.now + node.options.Ownership.OrderSpan
	switch next := next.(type) {
	case effect.StartRun:
		if next.Resume {
			return next // begins nothing
		}
		node.checkOrder(next.Engine, held)
		next.ExpiresAt = until
		return next
	case effect.Load:
		node.checkOrder(next.Engine, held)
		next.ExpiresAt = until
		return next
	case effect.Unload:
		node.checkOrder(next.Engine, held)
		next.ExpiresAt = until
		return next
	}
	return next
}

func (node *Node) checkOrder(name ident.EngineID, held *owned) {
	invariant.Check(node.owning.owned[name] == held && node.mayOrder(name, held),
		"only the confirmed owner of an engine gives it orders",
		"engine %s, tenure %s, list read at %d, leave until %d, report asked at %d, pause ended at %d, now %d",
		name, node.tenure(name).State(), node.vms.ReadAt, node.tenure(name).OrdersUntil(), held.askedAt,
		node.owning.confirmAfter, node.now)
}

// vmListRead takes in a reading of the VM list. An older list than the one known
// says nothing new, and does not renew the leave to act on it.
func (node *Node) vmListRead(view *members.View) {
	former := node.vms
	if former != nil && (view.List.Version < former.List.Version || view.ReadAt < former.ReadAt) {
		return
	}
	node.vms = view
	node.homeEffects(node.home.ListRead(node.now, view))
	if former != nil && view.List.Version == former.List.Version {
		node.reviseOwnership()
		return
	}
	node.auditMembers(former, view)
	node.peers.Keep(func(daemon ident.DaemonID) bool { _, listed := view.Daemon(daemon); return listed })
	if former != nil && view.ReadAt-former.ReadAt > node.options.Ownership.ViewAge {
		node.interrupt()
	}
	node.configEffects(node.rollout.Peers(node.now, view, node.options.DataCentre, node.options.Region))
	node.groupDaemons()
	node.rankCandidates()
}

// interrupt gives up the engines that ignore fencing numbers after a gap between
// two readings of the list: another daemon may have come and gone in between.
func (node *Node) interrupt() {
	for name, tenure := range node.owning.tenures {
		engine, known := node.config.Engine(name)
		if known && !engine.ChecksFencing && tenure.State() != ownership.Owning {
			tenure.Interrupt(node.now)
		}
	}
	for _, name := range node.ownedInOrder() {
		if !node.owning.owned[name].owner.Engine.ChecksFencing && node.tenure(name).Interrupt(node.now) {
			node.retire(name, "the VM list was not read for too long and has changed since")
		}
	}
}

func (node *Node) auditMembers(former, view *members.View) {
	for i := range view.List.VMs {
		vm := &view.List.VMs[i]
		before := members.State("")
		if former != nil {
			if known, listed := former.VM(vm.Name); listed {
				before = known.State
			}
		}
		if vm.Region == node.options.Region && before != vm.State {
			node.auditMember(vm.Name, before, vm.State)
		}
	}
	if former == nil {
		return
	}
	for i := range former.List.VMs {
		gone := &former.List.VMs[i]
		if _, listed := view.VM(gone.Name); !listed && gone.Region == node.options.Region {
			node.auditMember(gone.Name, gone.State, "")
		}
	}
}

func (node *Node) auditMember(name string, before, after members.State) {
	node.emit(effect.Audit{
		At: node.now, Kind: effect.MemberChanged, Object: name, Cause: "read in the VM list",
		Before: string(before), After: string(after),
	})
}

// departingSpan is the span for which a peer's word that an engine is leaving
// counts; it is repeated with each update.
const departingSpan = 10 * clock.Second

// engineLeaving reports whether an engine is leaving, by whichever of the
// configuration, the VM list and the peers says so first.
func (node *Node) engineLeaving(name ident.EngineID) bool {
	said, known := node.owning.departing[name]
	return known && node.now-said < departingSpan || node.readLeaving(name)
}

// readLeaving reports whether this daemon has itself read that an engine leaves.
func (node *Node) readLeaving(name ident.EngineID) bool {
	engine, known := node.config.Engine(name)
	return known && (engine.Leaving || node.vms.ServerLeaving(engine.Address))
}
