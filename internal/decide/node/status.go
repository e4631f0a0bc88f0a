package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// Status is what a daemon knows, for operators.
type Status struct {
	Daemon        ident.DaemonID
	DataCentre    string
	Region        string
	ConfigVersion uint64
	VMListVersion uint64
	// VMListAge is the span since the list was read.
	VMListAge clock.Millis
	Draining  bool
	Requests  int
	Keys      int
	Owned     []message.EngineState
	Known     []EngineKnowledge
}

// EngineKnowledge is what a daemon knows of one engine, and how old that is.
type EngineKnowledge struct {
	State message.EngineState
	Age   clock.Millis
}

// Status describes the node at a time.
func (node *Node) Status(now clock.Millis) Status {
	status := Status{
		Daemon: node.options.Self, DataCentre: node.options.DataCentre, Region: node.options.Region,
		Draining: node.draining, Requests: len(node.requests), Keys: node.home.Len(),
	}
	if node.config != nil {
		status.ConfigVersion = node.config.Version()
	}
	if node.vms != nil {
		status.VMListVersion = node.vms.List.Version
		status.VMListAge = now - node.vms.ReadAt
	}
	for _, name := range node.ownedInOrder() {
		status.Owned = append(status.Owned, node.owning.owned[name].owner.State(now))
	}
	for view := range node.views.All() {
		status.Known = append(status.Known, EngineKnowledge{State: view.State, Age: now - view.HeardAt})
	}
	return status
}

// Ready reports whether the daemon can serve callers.
func (node *Node) Ready() bool {
	return node.rollout.Ready() && node.config != nil && node.vms != nil && !node.draining && (node.informed || node.informedNow())
}

// warmUp is the span after which a daemon serves callers although it has not
// heard of every engine.
const warmUp = 10 * clock.Second

// informedNow reports whether every engine of the region has been heard of, so
// that a new daemon does not refuse what others would serve. Where others are
// heard from, the engines that it waits to own itself do not count.
func (node *Node) informedNow() bool {
	if node.now-node.options.StartedAt < warmUp {
		for i := range node.config.Config.Engines {
			engine := &node.config.Config.Engines[i]
			own := node.peers.AnyHeard() && node.firstCandidate(engine) == node.options.Self
			if node.views.View(engine.Name) == nil && engine.Region == node.options.Region && !own {
				return false
			}
		}
	}
	node.informed = true
	return true
}
