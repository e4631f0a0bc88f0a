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

// submitArrived takes in a request for an engine, once: late copies of a submit
// are dropped. To resume a run twice does no harm.
func (node *Node) submitArrived(from ident.DaemonID, submit message.Submit) {
	if submit.Resume || node.repeats.first(node.now, submit) {
		node.submitted(from, submit)
	}
}

// submitted queues a request at its engine, or sends it where the engine went.
func (node *Node) submitted(from ident.DaemonID, submit message.Submit) {
	if submit.Entry != "" {
		from = submit.Entry
	}
	held, known := node.owning.owned[submit.Engine]
	if !known {
		node.submittedElsewhere(from, submit)
		return
	}
	node.permit(submit.Engine, held)
	node.ownerEffects(held, held.owner.Submit(node.now, from, submit))
}

// passOnSubmit sends a request after an engine that was handed over while the
// request was on its way.
func (node *Node) passOnSubmit(heir, entry ident.DaemonID, submit message.Submit) {
	submit.Entry = entry
	submit.Hops++
	node.send(heir, submit)
	node.send(entry, message.RequestMoved{Stream: submit.Stream, Class: submit.Request.Class, Owner: heir})
}

// submittedElsewhere refuses a request for an engine that this daemon does not
// own, unless a former owner passed it on ahead of its handover.
func (node *Node) submittedElsewhere(from ident.DaemonID, submit message.Submit) {
	if heir, handed := node.owning.heirs[submit.Engine]; handed && !submit.Resume {
		node.passOnSubmit(heir, from, submit)
		return
	}
	if submit.Entry != "" {
		node.owning.early = append(node.owning.early, earlySubmit{submit: submit, at: node.now})
		return
	}
	refusal := message.Ended{Stream: submit.Stream, Class: submit.Request.Class, Outcome: outcome.Refused(outcome.NotOwner, clock.Second)}
	if claim, known := node.owning.claims[submit.Engine]; known && claim.Owner != node.options.Self {
		refusal.Owner = claim.Owner
	}
	if submit.Resume {
		refusal.Outcome, refusal.Dispatched = outcome.Lost(outcome.OwnerLost), true
	}
	node.send(from, refusal)
}

// cancelled gives up an attempt. Only the owner may order the engine, so a
// former one passes the wish on.
func (node *Node) cancelled(cancel message.Cancel) {
	if held, known := node.owning.owned[cancel.Engine]; known {
		node.ownerEffects(held, held.owner.Cancel(node.now, cancel.Stream))
		return
	}
	claim, known := node.owning.claims[cancel.Engine]
	if known && claim.Owner != node.options.Self && len(node.owning.former[cancel.Engine]) > 0 {
		node.send(claim.Owner, cancel)
	}
}

func (node *Node) runEnded(event RunEnded) {
	if held, known := node.owning.owned[event.Engine]; known {
		if event.Result.Stream == node.numberStream(held) {
			held.owner.NumberSeen(node.now + node.options.Ownership.ReportLag)
			return
		}
		node.permit(event.Engine, held)
		node.ownerEffects(held, held.owner.RunEnded(node.now, event.Result))
		if event.Result.Result == owner.ResultFenced {
			node.fenced(event.Engine)
		}
	}
	for _, held := range node.owning.former[event.Engine] {
		node.ownerEffects(held, held.owner.RunEnded(node.now, event.Result))
	}
	node.forgetFormer(event.Engine)
}

// showNumber lets an engine that checks fencing numbers see this owner's, by the
// cancel of a run that never was.
func (node *Node) showNumber(name ident.EngineID, held *owned) {
	if held.owner.NumberUnseen() {
		node.emit(effect.CancelRun{Stream: node.numberStream(held), Engine: name, Fence: held.owner.Fence})
	}
}

// numberStream is an id that no attempt has: the number stands for the life.
func (node *Node) numberStream(held *owned) ident.StreamID {
	return ident.StreamID{Daemon: node.options.Self, Incarnation: ident.Incarnation(held.owner.Fence)}
}

// fenced takes in that the engine has seen a higher number.
func (node *Node) fenced(name ident.EngineID) {
	node.outbid(name, "the engine refused an order for its old fencing number")
}

func (node *Node) forgetFormer(name ident.EngineID) {
	kept := slices.DeleteFunc(node.owning.former[name], func(held *owned) bool { return !held.owner.Busy() })
	node.owning.former[name] = kept
	if len(kept) == 0 {
		delete(node.owning.former, name)
	}
}

func (node *Node) loadEnded(event LoadEnded) {
	held, known := node.owning.owned[event.Engine]
	if !known {
		return
	}
	node.permit(event.Engine, held)
	node.ownerEffects(held, held.owner.Loaded(node.now, event.Adapter, event.Failed))
	node.news.due = true
	if event.Fenced {
		node.fenced(event.Engine)
	}
}

func (node *Node) unloadEnded(event UnloadEnded) {
	held, known := node.owning.owned[event.Engine]
	if !known {
		return
	}
	node.permit(event.Engine, held)
	node.ownerEffects(held, held.owner.Unloaded(node.now, event.Adapter, event.Failed))
	if event.Fenced {
		node.fenced(event.Engine)
	}
}

func (node *Node) engineReported(event EngineReported) {
	held, known := node.owning.owned[event.Engine]
	if !known {
		return
	}
	askedAt := event.AskedAt
	if askedAt == 0 {
		askedAt = node.now
	}
	if !held.owner.Known() {
		node.news.due = true
	}
	held.askedAt = max(held.askedAt, askedAt)
	node.permit(event.Engine, held)
	node.ownerEffects(held, held.owner.ReportedAt(node.now, askedAt-event.Report.Age, event.Report))
}

// engineState takes in an owner's word on its engine.
func (node *Node) engineState(state message.EngineState) {
	node.views.Update(node.now, state)
}
