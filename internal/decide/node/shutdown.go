package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/effect"
)

const (
	// drainGrace is the minimum time between the announcement of the shutdown and
	// the exit. Messages sent by daemons that did not know of it yet still arrive.
	drainGrace = clock.Second
	// drainSettle is the time between the end of the last work in progress and the
	// exit, so that the last messages are sent.
	drainSettle = 200 * clock.Millisecond
	// drainHandoverTimeout is how long a leaving daemon waits until others have
	// taken over its engines.
	drainHandoverTimeout = 10 * clock.Second
)

// shutdown begins a graceful shutdown: no new requests are accepted, key records
// move to the next homes, and engines are handed over to the next owners.
func (node *Node) shutdown() {
	if node.draining {
		return
	}
	node.draining = true
	node.drainingSince, node.lastBusyAt = node.now, node.now
	node.updates.urgent = true
	node.homeEffects(node.home.Shutdown(node.now))
	node.emit(effect.Audit{At: node.now, Kind: effect.ShutdownStarted, Object: string(node.options.Self), Cause: "signal"})
}

// Idle reports whether no work is in progress, so that a draining daemon may exit.
// A draining daemon becomes idle drainSettle after the last work ended, not at
// once.
func (node *Node) Idle() bool {
	return !node.busy() && (!node.draining || node.now-node.lastBusyAt >= drainSettle)
}

// tickShutdown records when work was last in progress.
func (node *Node) tickShutdown() {
	if node.draining && node.busy() {
		node.lastBusyAt = node.now
	}
}

func (node *Node) busy() bool {
	if len(node.requests) > 0 || len(node.pendingFinishes) > 0 || !node.home.Idle() || len(node.ownerRole.formerlyOwned) > 0 {
		return true
	}
	for _, owned := range node.ownerRole.owned {
		if owned.owner.Busy() {
			return true
		}
	}
	return !node.handoverComplete()
}

// handoverComplete reports whether a draining daemon has handed over its engines
// and has waited for messages that were sent to it before the others knew of the
// shutdown. A daemon without live peers does not wait.
func (node *Node) handoverComplete() bool {
	if !node.draining || len(node.regionNames) <= 1 {
		return true
	}
	since := node.now - node.drainingSince
	return since >= drainGrace && (node.allEnginesHandedOver() || since >= drainHandoverTimeout)
}
