package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/effect"
)

const (
	// drainGrace is the least span between the announcement of a graceful end and
	// the end: what others sent before they heard of it still arrives.
	drainGrace = clock.Second
	// drainSettle is the span between the end of the last thing in progress and
	// the end of the daemon, so that what was sent last gets out.
	drainSettle = 200 * clock.Millisecond
	// drainHandover is the span for which a leaving daemon waits for others to
	// take its engines over.
	drainHandover = 10 * clock.Second
)

// shutdown begins a graceful end: no new requests, records of keys to the next
// homes, engines to the next owners.
func (node *Node) shutdown() {
	if node.draining {
		return
	}
	node.draining = true
	node.drainingSince, node.busyAt = node.now, node.now
	node.news.due = true
	node.homeEffects(node.home.Shutdown(node.now))
	node.emit(effect.Audit{At: node.now, Kind: effect.ShutdownStarted, Object: string(node.options.Self), Cause: "signal"})
}

// Idle reports whether nothing is in progress, so that a draining daemon may
// exit: not in the moment in which the last answer goes out.
func (node *Node) Idle() bool {
	return !node.busy() && (!node.draining || node.now-node.busyAt >= drainSettle)
}

// tickShutdown notes when something was last in progress.
func (node *Node) tickShutdown() {
	if node.draining && node.busy() {
		node.busyAt = node.now
	}
}

func (node *Node) busy() bool {
	if len(node.requests) > 0 || len(node.finishes) > 0 || !node.home.Idle() || len(node.owning.former) > 0 {
		return true
	}
	for _, held := range node.owning.owned {
		if held.owner.Busy() {
			return true
		}
	}
	return !node.left()
}

// left reports whether a draining daemon's engines are with others, and what was
// sent to it before they knew has arrived. A daemon without others leaves at once.
func (node *Node) left() bool {
	if !node.draining || len(node.regionNames) <= 1 {
		return true
	}
	since := node.now - node.drainingSince
	return since >= drainGrace && (node.released() || since >= drainHandover)
}
