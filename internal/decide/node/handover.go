package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/ownership"
)

// Timing of handovers.
const (
	// handoverRequestInterval is the minimum time between two handover requests for the
	// same engine.
	handoverRequestInterval = 500 * clock.Millisecond
	// yieldTimeout is how long a handover waits for an unload order in progress.
	yieldTimeout = 2 * clock.Second
)

// earlySubmit is a request forwarded by a former owner that arrived before the
// handover.
type earlySubmit struct {
	submit     message.Submit
	receivedAt clock.Millis
}

// requestHandover asks the owner of an engine to hand it over to this daemon, the
// new first candidate.
func (node *Node) requestHandover(name ident.EngineID) {
	claim, known := node.ownerRole.claims[name]
	if !known || claim.Owner == node.options.Self || node.now-node.ownerRole.handoverRequestSentAt[name] < handoverRequestInterval {
		return
	}
	node.ownerRole.handoverRequestSentAt[name] = node.now
	node.send(claim.Owner, message.HandoverRequest{Engine: name})
}

// handoverRequested handles another daemon's request for an engine. It ignores the
// request while that daemon is not the first candidate as far as this daemon knows;
// the other daemon repeats it.
func (node *Node) handoverRequested(from ident.DaemonID, request message.HandoverRequest) {
	if _, known := node.ownerRole.owned[request.Engine]; !known || node.config == nil || node.vms == nil {
		return
	}
	engine, known := node.config.Engine(request.Engine)
	if known && node.firstCandidate(engine) == from {
		node.ownerRole.handoverRequestedAt[request.Engine] = node.now
		node.revise(engine)
	}
}

// beginYield stops new orders to an engine and hands it over once no unload order is
// in progress.
func (node *Node) beginYield(name ident.EngineID) {
	owned := node.ownerRole.owned[name]
	owned.yieldDeadline = node.now + yieldTimeout
	node.updatePermission(name, owned)
	node.tickYield(name, owned)
}

// tickYield hands an engine over once the last unload order has ended. After
// yieldTimeout the engine is released without a handover and the next owner waits
// for the hold-down. The same happens for an engine that ignores fencing numbers
// when the handover is so late that another daemon may be about to claim the engine
// after its hold-down.
func (node *Node) tickYield(name ident.EngineID, owned *ownedEngine) {
	if node.tenure(name).State() != ownership.Yielding {
		return
	}
	if owned.owner.UnloadInProgress() {
		if node.now >= owned.yieldDeadline {
			node.release(name, "no longer first candidate; an order under way did not end")
		}
		return
	}
	engine, known := node.config.Engine(name)
	inTime := node.now <= node.tenure(name).OrdersUntil()+node.options.Ownership.MaxOrderDelay
	if known && (engine.ChecksFencing || inTime) {
		if successor := node.firstCandidate(engine); successor != "" && successor != node.options.Self {
			node.handOver(successor, name, owned)
		}
	}
	node.release(name, "no longer first candidate")
}

func (node *Node) handOver(successor ident.DaemonID, name ident.EngineID, owned *ownedEngine) {
	node.ownerRole.successors[name] = successor
	node.send(successor, message.Handover{
		Engine: name, Fence: owned.owner.Fence, SentAt: node.now, Runs: owned.owner.UnfinishedRuns(),
	})
	if node.peers.Disconnected(successor) {
		return // waiting requests are refused as not run, and their entries place them again
	}
	for _, submit := range owned.owner.RemoveWaiting(node.now) {
		node.forwardSubmit(successor, submit.Entry, submit)
	}
}

// requestMoved records the new owner of a request that its former owner forwarded.
func (node *Node) requestMoved(moved message.RequestMoved) {
	if request, known := node.requests[moved.Stream]; known {
		request.owner = moved.Owner
	}
}

// handoverReceived handles a handover from another daemon. If this daemon already
// owns the engine under a higher fencing number, it only takes over the unfinished
// runs.
func (node *Node) handoverReceived(from ident.DaemonID, handover message.Handover) {
	if owned, known := node.ownerRole.owned[handover.Engine]; known && owned.owner.Fence > handover.Fence {
		owned.owner.TakeOver(0, handover.Runs)
		return
	}
	if handover.Owner == "" {
		handover.Owner = from
	}
	node.higherClaimReceived(message.HigherClaim{Engine: handover.Engine, Owner: handover.Owner, Fence: handover.Fence})
	claim, known := node.ownerRole.claims[handover.Engine]
	if known && (claim.Fence > handover.Fence || claim.Owner != handover.Owner && claim.Fence == handover.Fence) {
		return
	}
	node.ownerRole.receivedHandovers[handover.Engine] = handover
	if node.config == nil || node.vms == nil {
		return
	}
	engine, configured := node.config.Engine(handover.Engine)
	if configured && !node.forwardHandover(engine) {
		node.revise(engine)
	}
}

// forwardHandover forwards a handover to the next candidate if this daemon has
// begun to shut down since it asked for the engine. Otherwise, when two daemons
// shut down at once, the engine would stay without an owner for the hold-down and
// its waiting requests would be sent back and forth.
func (node *Node) forwardHandover(engine *config.Engine) bool {
	handover, fresh := node.freshHandover(engine.Name)
	next := node.firstCandidate(engine)
	if !fresh || !node.draining || next == "" || next == node.options.Self || next == handover.Owner {
		return false
	}
	delete(node.ownerRole.receivedHandovers, engine.Name)
	node.ownerRole.successors[engine.Name] = next
	node.send(next, handover)
	earlySubmits := node.ownerRole.earlySubmits
	node.ownerRole.earlySubmits = nil
	for _, early := range earlySubmits {
		if early.submit.Engine == engine.Name {
			node.forwardSubmit(next, early.submit.Entry, early.submit)
		} else {
			node.ownerRole.earlySubmits = append(node.ownerRole.earlySubmits, early)
		}
	}
	return true
}

// higherClaimReceived handles a report of a claim with a higher fencing number. An
// owner that missed the claim, because it was paused or partitioned, releases its
// engine.
func (node *Node) higherClaimReceived(higherClaim message.HigherClaim) {
	if higherClaim.Fence <= node.ownerRole.claims[higherClaim.Engine].Fence {
		return
	}
	node.ownerRole.claims[higherClaim.Engine] = ownership.EngineClaim{
		Owner: higherClaim.Owner, Incarnation: higherClaim.Incarnation, Fence: higherClaim.Fence,
	}
	node.releaseToHigherClaim(higherClaim.Engine, "a higher claim was heard of")
}

// allEnginesHandedOver reports whether a draining daemon has handed over every
// engine that another daemon can own.
func (node *Node) allEnginesHandedOver() bool {
	for name := range node.ownerRole.owned {
		engine, known := node.config.Engine(name)
		if known && node.firstCandidate(engine) != node.options.Self {
			return false
		}
	}
	return true
}

// freshHandover returns the handover received for an engine and whether it is
// recent enough to replace the hold-down. It deletes a handover that is not.
func (node *Node) freshHandover(name ident.EngineID) (message.Handover, bool) {
	handover, known := node.ownerRole.receivedHandovers[name]
	age := node.now - handover.SentAt
	margin := node.options.Ownership.ClockMargin
	fresh := known && age <= node.options.Ownership.MaxHandoverAge && age >= -margin
	if known && !fresh {
		delete(node.ownerRole.receivedHandovers, name)
	}
	return handover, fresh
}

// admitEarlySubmits admits the requests for an engine that arrived before its
// handover.
func (node *Node) admitEarlySubmits(name ident.EngineID) {
	earlySubmits := node.ownerRole.earlySubmits
	node.ownerRole.earlySubmits = nil
	for _, early := range earlySubmits {
		if early.submit.Engine == name {
			node.admitSubmit(early.submit.Entry, early.submit)
		} else {
			node.ownerRole.earlySubmits = append(node.ownerRole.earlySubmits, early)
		}
	}
}

// expireEarlySubmits refuses the requests whose handover did not arrive in time, or
// forwards them if this daemon has handed over the engine itself.
func (node *Node) expireEarlySubmits() {
	earlySubmits := node.ownerRole.earlySubmits
	node.ownerRole.earlySubmits = nil
	for _, early := range earlySubmits {
		if node.now-early.receivedAt > node.options.Ownership.MaxHandoverAge {
			entry := early.submit.Entry
			early.submit.Entry = ""
			node.forwardOrRefuseSubmit(entry, early.submit)
		} else {
			node.ownerRole.earlySubmits = append(node.ownerRole.earlySubmits, early)
		}
	}
}
