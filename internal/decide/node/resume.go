package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

const (
	// minResumeTimeout is the minimum time for which a lost run's next owner is
	// awaited.
	minResumeTimeout = 10 * clock.Second
	// submitGrace is how long after the deadline an owner may still report that it
	// refused a request.
	submitGrace = clock.Second
	// orphanTimeout is how long the next owner of an orphan's engine is awaited.
	orphanTimeout = 30 * clock.Second
)

// orphan is a run whose request has ended, on an engine whose owner was lost. The
// next owner is asked to cancel it.
type orphan struct {
	cancel      message.Cancel
	cancelledAt clock.Millis
}

// peerLost handles the attempts that were in flight on a lost connection.
func (node *Node) peerLost(event PeerLost) {
	for _, request := range node.requestsInOrder() {
		if request.owner == event.Peer && message.LaneOf(request.rule.Class) == event.Lane && request.inFlight() {
			node.ownerLost(request)
		}
	}
}

// ownerLost retries a repeatable request elsewhere. If the request must not be
// repeated or its answer has begun, its run is resumed instead and no second run is
// started.
func (node *Node) ownerLost(request *request) {
	lost := outcome.MayHaveRun(outcome.OwnerLost)
	request.lastAttempt().Outcome = lost
	if !request.rule.Repeatable || request.answerStarted {
		node.awaitOwner(request, "")
		return
	}
	request.attemptOpen = false
	request.mayHaveRun = true
	node.cancelOrphan(request)
	if !node.mayRetry(request, lost) {
		node.answer(request, lost)
		return
	}
	request.triedEngines = append(request.triedEngines, request.engine)
	node.retry(request)
}

// awaitOwner waits for the engine's next owner, or resumes at once if the hint
// names another owner.
func (node *Node) awaitOwner(request *request, hint ident.DaemonID) {
	requestTable.MustApply(&request.state, loseOwner)
	request.lostAt = node.now
	if !request.resumed {
		request.resumed = true
		request.resumeUntil = max(request.deadline, node.now+minResumeTimeout)
	}
	if hint != "" && hint != request.owner {
		node.resume(request, hint)
	}
}

// tickResume resumes a run once the state of its engine has been received since the
// loss, from the same owner or another.
func (node *Node) tickResume(request *request) {
	if request.resumeUntil <= node.now {
		node.cancelOrphan(request)
		node.answer(request, outcome.MayHaveRun(outcome.OwnerLost))
		return
	}
	if owner, found := node.ownerSince(request.engine, request.lostAt); found {
		node.resume(request, owner)
	}
}

// ownerSince returns an engine's owner if its state was received after the given
// time.
func (node *Node) ownerSince(engine ident.EngineID, since clock.Millis) (ident.DaemonID, bool) {
	view := node.views.View(engine)
	if view == nil || view.ConfirmedAt <= since {
		return "", false
	}
	return view.State.Owner, true
}

func (node *Node) resume(request *request, owner ident.DaemonID) {
	request.owner = owner
	requestTable.MustApply(&request.state, resumeRequest)
	node.submit(request)
}

// tickInFlight handles owners that have become silent, answers requests that were not
// dispatched by the deadline, and asks again for attempts whose end may have been lost
// in transit.
func (node *Node) tickInFlight(request *request) {
	switch {
	case request.service != nil:
	case node.ownerSilent(request):
		node.ownerLost(request)
	case request.state == requestSubmitted && !request.resumed && request.deadline+submitGrace <= node.now:
		node.cancelOrphan(request)
		node.answer(request, outcome.MayHaveRun(outcome.OwnerLost))
	case request.probeAt <= node.now:
		node.awaitOwner(request, "")
	}
}

// ownerSilent reports whether a request's owner has been silent long enough to count
// as lost although no connection to it broke.
func (node *Node) ownerSilent(request *request) bool {
	if request.owner == node.options.Self || node.vms == nil {
		return false
	}
	return node.peers.Silent(node.now, request.owner, 2*node.silenceTimeout(request.owner))
}

// cancelOrphan has an abandoned run cancelled by its owner or the engine's next
// owner. Otherwise the run would continue to use the engine and its adapter's slot.
func (node *Node) cancelOrphan(request *request) {
	cancel := message.Cancel{Stream: request.stream, Engine: request.engine, Class: request.rule.Class}
	node.send(request.owner, cancel)
	node.orphans = append(node.orphans, orphan{cancel: cancel, cancelledAt: node.now})
}

func (node *Node) tickOrphans() {
	remaining := node.orphans[:0]
	for _, orphan := range node.orphans {
		owner, found := node.ownerSince(orphan.cancel.Engine, orphan.cancelledAt)
		switch {
		case found:
			node.send(owner, orphan.cancel)
		case orphan.cancelledAt+orphanTimeout > node.now:
			remaining = append(remaining, orphan)
		}
	}
	node.orphans = remaining
}
