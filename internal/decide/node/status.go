package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
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
	// Members are the daemons of the region, as listed and as heard of.
	Members []Member
	Owned   []message.EngineState
	Known   []KnownEngine
}

// Member is what a daemon knows of another of its region.
type Member struct {
	Daemon     ident.DaemonID
	DataCentre string
	// Listed is its state in the VM list.
	Listed members.State
	// Heard tells whether anything has come from it; Age is the span since.
	Heard bool
	Age   clock.Millis
	// ConfigVersion is the configuration that it said to be in force.
	ConfigVersion uint64
	// Leaving says that it told of its shutdown; Lost, that its connection broke.
	Leaving bool
	Lost    bool
}

// KnownEngine is what a daemon knows of one engine, and how old that is.
type KnownEngine struct {
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
		status.Members = node.membersAt(now)
	}
	for _, name := range node.ownedInOrder() {
		status.Owned = append(status.Owned, node.owning.owned[name].owner.State(now))
	}
	for view := range node.views.All() {
		status.Known = append(status.Known, KnownEngine{State: view.State, Age: now - view.HeardAt})
	}
	return status
}

// membersAt describes the listed daemons of the region, in the list's order.
func (node *Node) membersAt(now clock.Millis) []Member {
	var listed []Member
	for i := range node.vms.List.VMs {
		vm := &node.vms.List.VMs[i]
		if vm.Role != members.EntryRole || vm.Region != node.options.Region || vm.Name == string(node.options.Self) {
			continue
		}
		member := Member{Daemon: ident.DaemonID(vm.Name), DataCentre: vm.DataCentre, Listed: vm.State}
		if peer, known := node.peers.Peer(member.Daemon); known && peer.HeardAt > 0 {
			member.Heard, member.Age = true, now-peer.HeardAt
			member.ConfigVersion, member.Leaving, member.Lost = peer.ConfigVersion, peer.Leaving, peer.Lost
		}
		listed = append(listed, member)
	}
	return listed
}

// Ready reports whether the daemon can serve callers. One that the VM list does
// not name as live has no engines or keys of its own, and is about to end.
func (node *Node) Ready() bool {
	return node.listedLive() && node.rollout.Ready() && node.config != nil && node.vms != nil && !node.draining && (node.informed || node.informedNow()) &&
		node.home.VouchesFresh(node.now)
}

func (node *Node) listedLive() bool {
	if node.vms == nil {
		return false
	}
	vm, listed := node.vms.Daemon(node.options.Self)
	return listed && vm.State == members.Live
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
