package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/message"
)

// Status is a daemon's state, for operators.
type Status struct {
	Daemon        ident.DaemonID
	DataCentre    string
	Region        string
	ConfigVersion uint64
	VMListVersion uint64
	// VMListAge is the time since the list was read.
	VMListAge clock.Millis
	Draining  bool
	Requests  int
	Keys      int
	// Members are the other listed daemons of the region.
	Members []Member
	Owned   []message.EngineState
	Known   []KnownEngine
}

// Member is what a daemon knows of another daemon of its region.
type Member struct {
	Daemon     ident.DaemonID
	DataCentre string
	// Listed is its state in the VM list.
	Listed members.State
	// Heard is set if anything was received from it; Age is the time since the last
	// message.
	Heard bool
	Age   clock.Millis
	// ConfigVersion is the version that it last reported as in force.
	ConfigVersion uint64
	// Leaving is set if it reported its shutdown; Lost, if its connection broke.
	Leaving bool
	Lost    bool
}

// KnownEngine is what a daemon knows of one engine, and how old that is.
type KnownEngine struct {
	State message.EngineState
	Age   clock.Millis
}

// Status returns the node's state at the given time.
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
		status.Owned = append(status.Owned, node.ownerRole.owned[name].owner.State(now))
	}
	for view := range node.views.All() {
		status.Known = append(status.Known, KnownEngine{State: view.State, Age: now - view.ConfirmedAt})
	}
	return status
}

// membersAt returns the other listed daemons of the region, in the list's order.
func (node *Node) membersAt(now clock.Millis) []Member {
	var listedMembers []Member
	for i := range node.vms.List.VMs {
		vm := &node.vms.List.VMs[i]
		if vm.Role != members.EntryRole || vm.Region != node.options.Region || vm.Name == string(node.options.Self) {
			continue
		}
		member := Member{Daemon: ident.DaemonID(vm.Name), DataCentre: vm.DataCentre, Listed: vm.State}
		if peer, known := node.peers.Peer(member.Daemon); known && peer.LastContactAt > 0 {
			member.Heard, member.Age = true, now-peer.LastContactAt
			member.ConfigVersion, member.Leaving, member.Lost = peer.ConfigVersion, peer.Leaving, peer.Disconnected
		}
		listedMembers = append(listedMembers, member)
	}
	return listedMembers
}

// Ready reports whether the daemon can serve callers. A daemon that is not live in
// the VM list owns no engines or keys and is about to exit.
func (node *Node) Ready() bool {
	return node.listedLive() && node.rollout.Ready() && node.config != nil && node.vms != nil && !node.draining && (node.enginesKnown || node.knowsAllEngines()) &&
		node.home.CanVouchForNewKeys(node.now)
}

func (node *Node) listedLive() bool {
	if node.vms == nil {
		return false
	}
	vm, listed := node.vms.Daemon(node.options.Self)
	return listed && vm.State == members.Live
}

// warmUpTimeout is the time after which a new daemon serves callers although it does
// not know the state of every engine.
const warmUpTimeout = 10 * clock.Second

// knowsAllEngines reports whether the state of every engine of the region is known, so
// that a new daemon does not refuse requests that others would serve. Once this daemon
// has received messages from others, engines that it is itself waiting to own do not
// count. After warmUpTimeout it reports true in any case.
func (node *Node) knowsAllEngines() bool {
	if node.now-node.options.StartedAt < warmUpTimeout {
		for i := range node.config.Config.Engines {
			engine := &node.config.Config.Engines[i]
			awaited := node.peers.AnyContact() && node.firstCandidate(engine) == node.options.Self
			if node.views.View(engine.Name) == nil && engine.Region == node.options.Region && !awaited {
				return false
			}
		}
	}
	node.enginesKnown = true
	return true
}
