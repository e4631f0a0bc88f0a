package node

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/owner"
)

// submitReceived admits a submit and drops duplicates of it. A resume is always
// admitted, because resuming a run twice is harmless.
func (node *Node) submitReceived(from ident.DaemonID, submit message.Submit) {
	if submit.Resume || node.submitHistory.recordNew(node.now, submit) {
		node.admitSubmit(from, submit)
	}
}

// admitSubmit queues a request at its engine, or forwards or refuses it if this
// daemon does not own the engine.
func (node *Node) admitSubmit(from ident.DaemonID, submit message.Submit) {
	if submit.Entry != "" {
		from = submit.Entry
	}
	owned, known := node.ownerRole.owned[submit.Engine]
	if !known {
		node.forwardOrRefuseSubmit(from, submit)
		return
	}
	node.updatePermission(submit.Engine, owned)
	node.ownerEffects(owned, owned.owner.Submit(node.now, from, submit))
}

// forwardSubmit forwards a request to the new owner of an engine that was handed
// over while the request was waiting or in transit, and informs the entry.
func (node *Node) forwardSubmit(successor, entry ident.DaemonID, submit message.Submit) {
	submit.Entry = entry
	submit.Hops++
	node.send(successor, submit)
	node.send(entry, message.RequestMoved{Stream: submit.Stream, Class: submit.Request.Class, Owner: successor})
}

// forwardOrRefuseSubmit handles a request for an engine that this daemon does not
// own. It forwards the request to the successor, keeps it if a former owner forwarded
// it before the handover arrived, and otherwise refuses it.
func (node *Node) forwardOrRefuseSubmit(from ident.DaemonID, submit message.Submit) {
	if successor, handed := node.ownerRole.successors[submit.Engine]; handed && !submit.Resume {
		node.forwardSubmit(successor, from, submit)
		return
	}
	if submit.Entry != "" {
		node.ownerRole.earlySubmits = append(node.ownerRole.earlySubmits, earlySubmit{submit: submit, receivedAt: node.now})
		return
	}
	refusal := message.Ended{Stream: submit.Stream, Class: submit.Request.Class, Outcome: outcome.Refused(outcome.NotOwner, clock.Second)}
	if claim, known := node.ownerRole.claims[submit.Engine]; known && claim.Owner != node.options.Self {
		refusal.Owner = claim.Owner
	}
	if submit.Resume {
		refusal.Outcome, refusal.Dispatched = outcome.MayHaveRun(outcome.OwnerLost), true
	}
	node.send(from, refusal)
}

// cancelReceived cancels an attempt. Only the current owner may give orders to the
// engine, so a former owner that still relays runs forwards the message.
func (node *Node) cancelReceived(cancel message.Cancel) {
	if owned, known := node.ownerRole.owned[cancel.Engine]; known {
		node.ownerEffects(owned, owned.owner.Cancel(node.now, cancel.Stream))
		return
	}
	claim, known := node.ownerRole.claims[cancel.Engine]
	if known && claim.Owner != node.options.Self && len(node.ownerRole.formerlyOwned[cancel.Engine]) > 0 {
		node.send(claim.Owner, cancel)
	}
}

func (node *Node) runEnded(event RunEnded) {
	if owned, known := node.ownerRole.owned[event.Engine]; known {
		if event.Result.Stream == node.fenceStream(owned) {
			owned.owner.FenceConfirmed(node.now + node.options.Ownership.ReportLag)
			return
		}
		node.updatePermission(event.Engine, owned)
		node.ownerEffects(owned, owned.owner.RunEnded(node.now, event.Result))
		if event.Result.Result == owner.ResultFenced {
			node.engineFenced(event.Engine)
		}
	}
	for _, owned := range node.ownerRole.formerlyOwned[event.Engine] {
		node.ownerEffects(owned, owned.owner.RunEnded(node.now, event.Result))
	}
	node.pruneFormerlyOwned(event.Engine)
}

// presentFence shows this owner's fencing number to an engine that checks them, by
// cancelling a run that does not exist.
func (node *Node) presentFence(name ident.EngineID, owned *ownedEngine) {
	if owned.owner.FenceUnconfirmed() {
		node.emit(effect.CancelRun{Stream: node.fenceStream(owned), Engine: name, Fence: owned.owner.Fence})
	}
}

// fenceStream returns a stream id that no attempt uses: it has the fencing number
// in place of the incarnation.
func (node *Node) fenceStream(owned *ownedEngine) ident.StreamID {
	return ident.StreamID{Daemon: node.options.Self, Incarnation: ident.Incarnation(owned.owner.Fence)}
}

// engineFenced releases an engine that rejected an order because it had received a
// higher fencing number.
func (node *Node) engineFenced(name ident.EngineID) {
	node.releaseToHigherClaim(name, "the engine refused an order for its old fencing number")
}

// pruneFormerlyOwned drops the former ownerships of an engine without unfinished runs.
func (node *Node) pruneFormerlyOwned(name ident.EngineID) {
	kept := slices.DeleteFunc(node.ownerRole.formerlyOwned[name], func(owned *ownedEngine) bool { return !owned.owner.Busy() })
	node.ownerRole.formerlyOwned[name] = kept
	if len(kept) == 0 {
		delete(node.ownerRole.formerlyOwned, name)
	}
}

func (node *Node) loadEnded(event LoadEnded) {
	owned, known := node.ownerRole.owned[event.Engine]
	if !known {
		return
	}
	node.updatePermission(event.Engine, owned)
	node.ownerEffects(owned, owned.owner.LoadEnded(node.now, event.Adapter, event.Failed))
	node.updates.urgent = true
	if event.Fenced {
		node.engineFenced(event.Engine)
	}
}

func (node *Node) unloadEnded(event UnloadEnded) {
	owned, known := node.ownerRole.owned[event.Engine]
	if !known {
		return
	}
	node.updatePermission(event.Engine, owned)
	node.ownerEffects(owned, owned.owner.UnloadEnded(node.now, event.Adapter, event.Failed))
	if event.Fenced {
		node.engineFenced(event.Engine)
	}
}

func (node *Node) engineReported(event EngineReported) {
	owned, known := node.ownerRole.owned[event.Engine]
	if !known {
		return
	}
	askedAt := event.AskedAt
	if askedAt == 0 {
		askedAt = node.now
	}
	if !owned.owner.HasReport() {
		node.updates.urgent = true
	}
	owned.reportAskedAt = max(owned.reportAskedAt, askedAt)
	node.updatePermission(event.Engine, owned)
	node.ownerEffects(owned, owned.owner.ReportedAt(node.now, askedAt-event.Report.Age, event.Report))
}

// updateEngineView updates the placement view of an engine with its owner's report.
func (node *Node) updateEngineView(state message.EngineState) {
	node.views.Update(node.now, state)
}
