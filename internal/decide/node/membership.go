package node

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/owner"
	"teaselmoor/internal/decide/ownership"
)

// Timing of updates. The interval between two updates with engine deltas grows with
// the size of the region, so that the control traffic of each daemon stays bounded.
const (
	// heartbeatInterval is the maximum time between two updates within the data
	// centre.
	heartbeatInterval = clock.Second
	// deltaIntervalPerDaemon times the number of the region's daemons is the interval
	// between two updates with engine deltas, unless MinUpdateInterval is longer.
	deltaIntervalPerDaemon = 25 * clock.Millisecond
	// fullUpdateRequestInterval is the minimum time between two requests for a full
	// update from the same daemon.
	fullUpdateRequestInterval = 2 * clock.Second
	// digestMismatchLimit is the number of consecutive updates with a different
	// digest after which a full update is requested.
	digestMismatchLimit = 2
)

// updateState is what this daemon has sent to the daemons of the region and
// received from them.
type updateState struct {
	// urgent is set when a change should be sent without waiting for the next
	// interval.
	urgent bool
	local  receiverGroup // daemons of the same data centre
	remote receiverGroup // one relay in each other data centre of the region
	// peerEngines holds the engine states that each daemon has reported.
	peerEngines map[ident.DaemonID]*peerEngines
}

// peerEngines is what a daemon has reported about its engines.
type peerEngines struct {
	engines map[ident.EngineID]reportedEngine
	// digest covers all entries of engines.
	digest uint64
	// digestMismatches counts consecutive updates whose digest differed from digest.
	digestMismatches int
	fullRequestedAt  clock.Millis // last request for a full update
}

// reportedEngine identifies the reported state of an engine.
type reportedEngine struct {
	fence     ident.Fence
	residency uint64
}

func (peerEngines *peerEngines) set(name ident.EngineID, reported reportedEngine) {
	peerEngines.remove(name)
	peerEngines.engines[name] = reported
	peerEngines.digest ^= digestEngine(name, reported.fence, reported.residency)
}

func (peerEngines *peerEngines) remove(name ident.EngineID) {
	if reported, known := peerEngines.engines[name]; known {
		peerEngines.digest ^= digestEngine(name, reported.fence, reported.residency)
		delete(peerEngines.engines, name)
	}
}

func (updateState *updateState) enginesOf(daemon ident.DaemonID) *peerEngines {
	engines, known := updateState.peerEngines[daemon]
	if !known {
		engines = &peerEngines{engines: map[ident.EngineID]reportedEngine{}}
		updateState.peerEngines[daemon] = engines
	}
	return engines
}

// receiverGroup is a set of receivers that get the same updates.
type receiverGroup struct {
	sentAt       clock.Millis
	deltasSentAt clock.Millis // last update that carried engines
	lastSent     map[ident.EngineID]message.EngineDelta
}

func newUpdateState() updateState {
	return updateState{peerEngines: map[ident.DaemonID]*peerEngines{}}
}

// deltaInterval returns the interval between two updates with engine deltas.
func (node *Node) deltaInterval() clock.Millis {
	return max(node.options.MinUpdateInterval, deltaIntervalPerDaemon*clock.Millis(len(node.regionNames)))
}

// remoteInterval returns the interval between two updates to other data centres.
func (node *Node) remoteInterval() clock.Millis {
	return 2 * node.deltaInterval()
}

// silenceTimeout returns how long a daemon may be silent before it is skipped as a
// candidate. The timeout is longer for daemons of other data centres, which send
// updates less often and through a relay.
func (node *Node) silenceTimeout(daemon ident.DaemonID) clock.Millis {
	timeout := node.options.Ownership.SilenceTimeout
	if vm, known := node.vms.Daemon(daemon); known && vm.DataCentre != node.options.DataCentre {
		timeout += 2 * max(heartbeatInterval, node.remoteInterval())
	}
	return timeout
}

// tickUpdates sends the updates that are due.
func (node *Node) tickUpdates() {
	if node.vms == nil {
		return
	}
	urgent := node.updates.urgent && node.now-node.updates.local.sentAt >= node.options.MinUpdateInterval
	interval := node.deltaInterval()
	if withEngines := urgent || node.now-node.updates.local.deltasSentAt >= interval; withEngines || node.now-node.updates.local.sentAt >= heartbeatInterval {
		update := node.nextUpdate(&node.updates.local, withEngines)
		for _, peer := range node.localNames {
			node.sendUpdate(peer, update)
		}
	}
	if urgent || node.now-node.updates.remote.sentAt >= max(interval*2, node.options.MinUpdateInterval) {
		update := node.nextUpdate(&node.updates.remote, true)
		update.Relay = true
		for _, relay := range node.relays() {
			node.sendUpdate(relay, update)
		}
	}
	if urgent {
		node.updates.urgent = false
	}
}

func (node *Node) sendUpdate(to ident.DaemonID, update message.Update) {
	if to != node.options.Self {
		node.send(to, update)
	}
}

// nextUpdate returns the next update for a group and records what it contains.
func (node *Node) nextUpdate(group *receiverGroup, withEngines bool) message.Update {
	group.sentAt = node.now
	update := node.updateWithoutEngines()
	if !withEngines {
		update.Digest = digestOf(group.lastSent)
		return update
	}
	group.deltasSentAt = node.now
	current := make(map[ident.EngineID]message.EngineDelta, len(node.ownerRole.owned))
	for _, name := range node.ownedInOrder() {
		delta := node.engineDelta(node.ownerRole.owned[name].owner)
		if delta.Engine == "" {
			continue
		}
		previous, known := group.lastSent[name]
		current[name] = delta
		if known && previous.Residency == delta.Residency && previous.Fence == delta.Fence {
			delta.Detail = nil
		}
		if !known || delta.Detail != nil || countersChanged(previous, delta) {
			update.Engines = append(update.Engines, delta)
		}
	}
	group.lastSent = current
	update.Digest = digestOf(current)
	return update
}

func (node *Node) updateWithoutEngines() message.Update {
	update := message.Update{
		From: node.options.Self, Incarnation: node.options.Incarnation, SentAt: node.now, Leaving: node.draining,
	}
	if node.config != nil {
		update.ConfigVersion = node.config.Version()
	}
	if node.config != nil && node.vms != nil {
		update.Departing = node.enginesListedAsLeaving()
	}
	return update
}

// enginesListedAsLeaving returns the region's engines, owned by any daemon, whose
// backend server is leaving according to the VM list that this daemon has read.
func (node *Node) enginesListedAsLeaving() []ident.EngineID {
	var leaving []ident.EngineID
	if !node.vms.AnyServerLeaving() {
		return nil
	}
	for i := range node.config.Config.Engines {
		engine := &node.config.Config.Engines[i]
		if engine.Region == node.options.Region && node.vms.ServerLeaving(engine.Address) {
			leaving = append(leaving, engine.Name)
		}
	}
	return leaving
}

func countersChanged(previous, current message.EngineDelta) bool {
	return previous.Queued != current.Queued || previous.Running != current.Running ||
		previous.LoadsWaiting != current.LoadsWaiting || previous.Flags != current.Flags
}

// engineDelta returns the state of an owned engine; it is empty before the engine's
// first report.
func (node *Node) engineDelta(owner *owner.Owner) message.EngineDelta {
	if !owner.HasReport() {
		return message.EngineDelta{}
	}
	state := owner.State(node.now)
	delta := message.EngineDelta{
		Engine: state.Engine, Fence: state.Fence, Version: state.Version, Residency: owner.ResidencyVersion(state.Resident, state.Wanted),
		Queued: state.Queued, Running: state.Running, LoadsWaiting: state.LoadsWaiting, ReportAge: state.ReportAge,
		Spare:  state.Spare,
		Detail: &message.EngineDetail{Resident: state.Resident, Wanted: state.Wanted, Boot: state.Boot},
	}
	if state.Quarantined {
		delta.Flags |= message.FlagQuarantined
	}
	if state.Leaving {
		delta.Flags |= message.FlagLeaving
	}
	return delta
}

// relays returns one daemon in each other data centre of the region that forwards
// this daemon's updates there. Each sender uses its own relays, so that the work
// spreads over all daemons.
func (node *Node) relays() []ident.DaemonID {
	var relays []ident.DaemonID
	for _, centre := range slices.Sorted(maps.Keys(node.remoteNames)) {
		reachable := slices.DeleteFunc(slices.Clone(node.remoteNames[centre]), node.peers.Disconnected)
		if relay, found := ownership.First("relay/"+string(node.options.Self), reachable); found {
			relays = append(relays, relay)
		}
	}
	return relays
}

// groupDaemons groups the region's daemons by data centre after a change of the VM
// list.
func (node *Node) groupDaemons() {
	node.regionNames = node.regionDaemons()
	node.localNames = node.vms.ListedDaemons(func(vm *members.VM) bool {
		return vm.Region == node.options.Region && vm.DataCentre == node.options.DataCentre
	})
	node.remoteNames = map[string][]ident.DaemonID{}
	for _, name := range node.regionNames {
		if vm, _ := node.vms.Daemon(name); vm.DataCentre != node.options.DataCentre {
			node.remoteNames[vm.DataCentre] = append(node.remoteNames[vm.DataCentre], name)
		}
	}
	for daemon := range node.updates.peerEngines {
		if _, listed := node.vms.Daemon(daemon); !listed {
			delete(node.updates.peerEngines, daemon)
		}
	}
}

// updateReceived handles another daemon's update.
func (node *Node) updateReceived(update message.Update) {
	applied := node.peers.ApplyUpdate(node.now, update.From, members.Peer{
		Incarnation: update.Incarnation, ConfigVersion: update.ConfigVersion,
		SentAt: update.SentAt, Leaving: update.Leaving,
	})
	if !applied || update.From == node.options.Self {
		return
	}
	node.homeEffects(node.home.ObserveIncarnation(node.now, update.From, update.Incarnation))
	if update.Relay {
		node.relayUpdate(update)
	}
	for _, name := range update.Departing {
		node.ownerRole.leavingReportedAt[name] = node.now
	}
	for _, delta := range update.Engines {
		node.engineDeltaReceived(update, delta)
	}
	node.checkDigest(update)
}

func (node *Node) relayUpdate(update message.Update) {
	update.Relay = false
	for _, peer := range node.localNames {
		if peer != update.From {
			node.sendUpdate(peer, update)
		}
	}
}

// engineDeltaReceived handles a claim to an engine and the changes of its state. Of
// two claims, the one with the higher fencing number wins.
func (node *Node) engineDeltaReceived(update message.Update, delta message.EngineDelta) {
	claim, known := node.ownerRole.claims[delta.Engine]
	if known && delta.Fence < claim.Fence {
		node.send(update.From, message.HigherClaim{
			Engine: delta.Engine, Owner: claim.Owner, Incarnation: claim.Incarnation, Fence: claim.Fence,
		})
		return
	}
	if known && claim.Owner != update.From {
		node.updates.enginesOf(claim.Owner).remove(delta.Engine)
	}
	node.ownerRole.claims[delta.Engine] = ownership.EngineClaim{Owner: update.From, Incarnation: update.Incarnation, Fence: delta.Fence}
	node.releaseToHigherClaim(delta.Engine, "a higher claim was heard of")
	state := message.EngineState{
		Engine: delta.Engine, Owner: update.From, Fence: delta.Fence, Version: delta.Version,
		Queued: delta.Queued, Running: delta.Running, LoadsWaiting: delta.LoadsWaiting, ReportAge: delta.ReportAge, Spare: delta.Spare,
		Quarantined: delta.Flags&message.FlagQuarantined != 0, Leaving: delta.Flags&message.FlagLeaving != 0,
	}
	engines := node.updates.enginesOf(update.From)
	reported := reportedEngine{fence: delta.Fence, residency: engines.engines[delta.Engine].residency}
	if delta.Detail != nil {
		state.Resident, state.Wanted, state.Boot = delta.Detail.Resident, delta.Detail.Wanted, delta.Detail.Boot
		reported.residency = delta.Residency
	} else if view := node.views.View(delta.Engine); view != nil && view.State.Fence == delta.Fence {
		state.Resident, state.Wanted, state.Boot = view.State.Resident, view.State.Wanted, view.State.Boot
	}
	engines.set(delta.Engine, reported)
	node.views.Update(node.now, state)
}

// refreshOwnViews updates the placement views of the engines that this daemon owns.
func (node *Node) refreshOwnViews() {
	for _, name := range node.ownedInOrder() {
		owned, view := node.ownerRole.owned[name], node.views.View(name)
		due := view == nil || view.State.Fence != owned.owner.Fence || node.now-view.ConfirmedAt >= node.options.MinUpdateInterval
		if owned.owner.HasReport() && (due || node.updates.urgent) {
			node.updateEngineView(owned.owner.State(node.now))
		}
	}
}
