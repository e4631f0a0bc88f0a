package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

const (
	// resumeSpan is the least span for which a lost run is sought.
	resumeSpan = 10 * clock.Second
	// submitGrace is the span past the deadline for which an owner may still say
	// that it refused a request.
	submitGrace = clock.Second
	// orphanSpan is how long the next owner of a given-up run's engine is awaited.
	orphanSpan = 30 * clock.Second
)

// orphan is a run that nobody waits for any more, at an engine whose owner was
// lost. The next owner is asked to cancel it.
type orphan struct {
	cancel message.Cancel
	since  clock.Millis
}

// peerLost deals with the attempts that were with a lost daemon.
func (node *Node) peerLost(event PeerLost) {
	for _, affected := range node.requestsInOrder() {
		if affected.owner == event.Peer && message.LaneOf(affected.rule.Class) == event.Lane && affected.handedOn() {
			node.ownerLost(affected)
		}
	}
}

// ownerLost re-runs a repeatable request elsewhere. A request that must not be
// repeated, or whose answer has begun, is resumed: the same run, never a second.
func (node *Node) ownerLost(affected *request) {
	lost := outcome.Lost(outcome.OwnerLost)
	affected.lastAttempt().Outcome = lost
	if !affected.rule.Repeatable || affected.delivering {
		node.seekOwner(affected, "")
		return
	}
	affected.open = false
	affected.mayHaveRun = true
	node.cancelOrphan(affected)
	if !node.mayRetry(affected, lost) {
		node.answer(affected, lost)
		return
	}
	affected.tried = append(affected.tried, affected.engine)
	node.retry(affected)
}

// seekOwner waits for the engine's next owner, unless it is known already.
func (node *Node) seekOwner(affected *request, hint ident.DaemonID) {
	requestTable.Must(&affected.state, loseOwner)
	affected.lostAt = node.now
	if !affected.resumed {
		affected.resumed = true
		affected.resumeUntil = max(affected.deadline, node.now+resumeSpan)
	}
	if hint != "" && hint != affected.owner {
		node.resume(affected, hint)
	}
}

// tickResume resumes a run once an owner of its engine has been heard of since
// the loss, be it the same one or the next.
func (node *Node) tickResume(waiting *request) {
	if waiting.resumeUntil <= node.now {
		node.cancelOrphan(waiting)
		node.answer(waiting, outcome.Lost(outcome.OwnerLost))
		return
	}
	if owner, found := node.ownerSince(waiting.engine, waiting.lostAt); found {
		node.resume(waiting, owner)
	}
}

// ownerSince returns the owner of an engine that was heard of after a time.
func (node *Node) ownerSince(engine ident.EngineID, since clock.Millis) (ident.DaemonID, bool) {
	view := node.views.View(engine)
	if view == nil || view.HeardAt <= since {
		return "", false
	}
	return view.State.Owner, true
}

func (node *Node) resume(waiting *request, owner ident.DaemonID) {
	waiting.owner = owner
	requestTable.Must(&waiting.state, resumeRequest)
	node.submit(waiting)
}

// tickHandedOn gives up owners that never answer, and asks for attempts whose
// end may have been lost on the way.
func (node *Node) tickHandedOn(waiting *request) {
	switch {
	case waiting.service != nil:
	case node.ownerSilent(waiting):
		node.ownerLost(waiting)
	case waiting.state == requestSubmitted && !waiting.resumed && waiting.deadline+submitGrace <= node.now:
		node.cancelOrphan(waiting)
		node.answer(waiting, outcome.Lost(outcome.OwnerLost))
	case waiting.probeAt <= node.now:
		node.seekOwner(waiting, "")
	}
}

// ownerSilent reports whether nothing has come from a request's owner for so
// long that it counts as lost, although no connection to it broke.
func (node *Node) ownerSilent(waiting *request) bool {
	if waiting.owner == node.options.Self || node.vms == nil {
		return false
	}
	return node.peers.Silent(node.now, waiting.owner, 2*node.suspicion(waiting.owner))
}

// cancelOrphan has a given-up run cancelled, by its owner or by the engine's
// next one: it would go on using a share of the engine and its adapter's slot.
func (node *Node) cancelOrphan(gone *request) {
	cancel := message.Cancel{Stream: gone.stream, Engine: gone.engine, Class: gone.rule.Class}
	node.send(gone.owner, cancel)
	node.orphans = append(node.orphans, orphan{cancel: cancel, since: node.now})
}

func (node *Node) tickOrphans() {
	left := node.orphans[:0]
	for _, orphan := range node.orphans {
		owner, found := node.ownerSince(orphan.cancel.Engine, orphan.since)
		switch {
		case found:
			node.send(owner, orphan.cancel)
		case orphan.since+orphanSpan > node.now:
			left = append(left, orphan)
		}
	}
	node.orphans = left
}
