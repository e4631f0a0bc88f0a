package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/ownership"
)

// Spans of a handover.
const (
	// askInterval is the span between two asks for the same engine.
	askInterval = 500 * clock.Millisecond
	// yieldSpan is how long a handover waits for an unload order to end.
	yieldSpan = 2 * clock.Second
)

// earlySubmit is a request passed on by a former owner that came in ahead of
// the handover.
type earlySubmit struct {
	submit message.Submit
	at     clock.Millis
}

// askHandover asks the owner for an engine that this daemon waits for.
func (node *Node) askHandover(name ident.EngineID) {
	claim, known := node.owning.claims[name]
	if !known || claim.Owner == node.options.Self || node.now-node.owning.asking[name] < askInterval {
		return
	}
	node.owning.asking[name] = node.now
	node.send(claim.Owner, message.HandoverRequest{Engine: name})
}

// handoverAsked notes that another daemon asks for an engine; it gets it once
// this daemon's own view agrees.
func (node *Node) handoverAsked(from ident.DaemonID, ask message.HandoverRequest) {
	if _, known := node.owning.owned[ask.Engine]; !known || node.config == nil || node.vms == nil {
		return
	}
	engine, known := node.config.Engine(ask.Engine)
	if known && node.firstCandidate(engine) == from {
		node.owning.asked[ask.Engine] = node.now
		node.revise(engine)
	}
}

// beginYield stops new orders and hands over as soon as none is under way.
func (node *Node) beginYield(name ident.EngineID) {
	held := node.owning.owned[name]
	held.yieldUntil = node.now + yieldSpan
	node.permit(name, held)
	node.tickYield(name, held)
}

// tickYield hands over once the last unload order has ended. When that takes too
// long there is no handover, and the next owner waits for the hold-down: at an
// engine that ignores fencing numbers, another may be about to claim after it.
func (node *Node) tickYield(name ident.EngineID, held *owned) {
	if node.tenure(name).State() != ownership.Yielding {
		return
	}
	if held.owner.Ordering() {
		if node.now >= held.yieldUntil {
			node.release(name, "no longer first candidate; an order under way did not end")
		}
		return
	}
	engine, known := node.config.Engine(name)
	inTime := node.now <= node.tenure(name).OrdersUntil()+node.options.Ownership.OrderSpan
	if known && (engine.ChecksFencing || inTime) {
		if heir := node.firstCandidate(engine); heir != "" && heir != node.options.Self {
			node.handOver(heir, name, held)
		}
	}
	node.release(name, "no longer first candidate")
}

func (node *Node) handOver(heir ident.DaemonID, name ident.EngineID, held *owned) {
	node.owning.heirs[name] = heir
	node.send(heir, message.Handover{
		Engine: name, Fence: held.owner.Fence, SentAt: node.now, Runs: held.owner.HandedRuns(),
	})
	if node.peers.Unreachable(heir) {
		return // what waits is refused as not run, and the entries place it anew
	}
	for _, submit := range held.owner.TakeWaiting(node.now) {
		node.passOnSubmit(heir, submit.Entry, submit)
	}
}

// moved notes at the entry who has a waiting request now.
func (node *Node) moved(moved message.RequestMoved) {
	if found, known := node.requests[moved.Stream]; known {
		found.owner = moved.Owner
	}
}

// handedOver takes in a handover. An owner only takes note of the runs.
func (node *Node) handedOver(from ident.DaemonID, handover message.Handover) {
	if held, known := node.owning.owned[handover.Engine]; known && held.owner.Fence > handover.Fence {
		held.owner.TakeOver(0, handover.Runs)
		return
	}
	if handover.Owner == "" {
		handover.Owner = from
	}
	node.outbidHeard(message.HigherClaim{Engine: handover.Engine, Owner: handover.Owner, Fence: handover.Fence})
	claim, known := node.owning.claims[handover.Engine]
	if known && (claim.Fence > handover.Fence || claim.Owner != handover.Owner && claim.Fence == handover.Fence) {
		return
	}
	node.owning.handed[handover.Engine] = handover
	if node.config == nil || node.vms == nil {
		return
	}
	engine, configured := node.config.Engine(handover.Engine)
	if configured && !node.passOnHandover(engine) {
		node.revise(engine)
	}
}

// passOnHandover gives a handover to the next candidate when this daemon has
// begun to leave since it asked. Without it, two daemons that leave at once would
// leave the engine to the hold-down, and its waiting requests to each other.
func (node *Node) passOnHandover(engine *config.Engine) bool {
	handover, fresh := node.freshHandover(engine.Name)
	next := node.firstCandidate(engine)
	if !fresh || !node.draining || next == "" || next == node.options.Self || next == handover.Owner {
		return false
	}
	delete(node.owning.handed, engine.Name)
	node.owning.heirs[engine.Name] = next
	node.send(next, handover)
	early := node.owning.early
	node.owning.early = nil
	for _, waiting := range early {
		if waiting.submit.Engine == engine.Name {
			node.passOnSubmit(next, waiting.submit.Entry, waiting.submit)
		} else {
			node.owning.early = append(node.owning.early, waiting)
		}
	}
	return true
}

// outbidHeard takes in word of a claim with a higher number. An owner that has
// missed it, because it was paused or cut off, gives its engine up.
func (node *Node) outbidHeard(outbid message.HigherClaim) {
	if outbid.Fence <= node.owning.claims[outbid.Engine].Fence {
		return
	}
	node.owning.claims[outbid.Engine] = ownership.Heard{
		Owner: outbid.Owner, Incarnation: outbid.Incarnation, Fence: outbid.Fence,
	}
	node.outbid(outbid.Engine, "a higher claim was heard of")
}

// released reports whether a draining daemon has handed over every engine that
// another can own.
func (node *Node) released() bool {
	for name := range node.owning.owned {
		engine, known := node.config.Engine(name)
		if known && node.firstCandidate(engine) != node.options.Self {
			return false
		}
	}
	return true
}

// freshHandover returns a handover that is young enough to replace the hold-down.
func (node *Node) freshHandover(name ident.EngineID) (message.Handover, bool) {
	handover, known := node.owning.handed[name]
	age := node.now - handover.SentAt
	margin := node.options.Ownership.ClockMargin
	fresh := known && age <= node.options.Ownership.HandoverSpan && age >= -margin
	if known && !fresh {
		delete(node.owning.handed, name)
	}
	return handover, fresh
}

// admitEarly queues the requests that came in ahead of a handover.
func (node *Node) admitEarly(name ident.EngineID) {
	early := node.owning.early
	node.owning.early = nil
	for _, waiting := range early {
		if waiting.submit.Engine == name {
			node.submitted(waiting.submit.Entry, waiting.submit)
		} else {
			node.owning.early = append(node.owning.early, waiting)
		}
	}
}

// expireEarly refuses the requests whose handover did not come.
func (node *Node) expireEarly() {
	early := node.owning.early
	node.owning.early = nil
	for _, waiting := range early {
		if node.now-waiting.at > node.options.Ownership.HandoverSpan {
			entry := waiting.submit.Entry
			waiting.submit.Entry = ""
			node.submittedElsewhere(entry, waiting.submit)
		} else {
			node.owning.early = append(node.owning.early, waiting)
		}
	}
}
