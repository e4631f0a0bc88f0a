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
		status.Owned = append(status.Owned, node.owned[name].owner.State(now))
	}
	for view := range node.views.All() {
		status.Known = append(status.Known, EngineKnowledge{State: view.State, Age: now - view.HeardAt})
	}
	return status
}

// Ready reports whether the daemon can serve callers.
func (node *Node) Ready() bool {
	return node.rollout.Ready() && node.vms != nil && !node.draining
}
