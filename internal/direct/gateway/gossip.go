package gateway

import (
	"maps"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/topology"
)

// Received implements peers.Handler.
func (gateway *Gateway) Received(from string, message peers.Message) {
	gateway.lastMessageAt.Store(int64(gateway.core.now()))
	switch {
	case message.Update != nil:
		gateway.handleUpdate(message.Update)
	case message.Delta != nil:
		gateway.applyDelta(from, message.Delta)
	case message.AdapterRequest != nil:
		gateway.handleAdapterRequest(from, *message.AdapterRequest)
	case message.PromptRequest != nil:
		gateway.handlePromptRequest(from, *message.PromptRequest)
	case message.PromptAnswer != nil:
		gateway.handlePromptAnswer(from, *message.PromptAnswer)
	case message.PromptWithdrawal != nil:
		gateway.handlePromptWithdrawal(from, *message.PromptWithdrawal)
	case message.Pull != nil:
		gateway.handlePull(from, *message.Pull)
	case message.Warnings != nil:
		gateway.handleWarnings(from, message.Warnings)
	case message.OriginQuery != nil:
		gateway.handleOriginQuery(from, message.OriginQuery)
	case message.OriginAnswer != nil:
		gateway.core.handleOriginAnswer(from, message.OriginAnswer)
	case len(message.Origins) > 0:
		gateway.core.applyOrigins(from, message.Origins)
	case len(message.Streams) > 0:
		gateway.core.applyStreams(from, message.Streams)
	case message.TakenUp != nil:
		gateway.handleTakenUp(from, message.TakenUp)
	case message.Items != nil:
		gateway.core.applyPulledItems(*message.Items)
	}
}

// Refused implements peers.Handler.
func (gateway *Gateway) Refused(from string, err error) {
	gateway.log.Warn("peer message rejected", "From", from, "Error", err.Error())
}

// Connected implements peers.Handler. It resets what the peer has been sent, as messages on an
// earlier connection may have been lost.
func (gateway *Gateway) Connected(address string) {
	core := gateway.core
	core.mutex.Lock()
	delete(core.sent, address)
	core.requestDelta()
	core.mutex.Unlock()
	gateway.sendUpdate(core.now(), []string{address})
}

// handleUpdate applies a peer's update, and adapts connections to it.
func (gateway *Gateway) handleUpdate(update *peers.Update) {
	if update.Name == gateway.settings.Name {
		return
	}
	if gateway.core.applyUpdate(update) {
		gateway.updateConnections()
		gateway.network.Redial(update.Address)
	}
}

// applyUpdate applies a peer's update. It reports whether connections may have to change.
func (core *core) applyUpdate(update *peers.Update) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	change := core.members.ApplyStatus(now, update.Status)
	if !change.Current {
		return false
	}
	if update.Store != nil {
		core.outages.Told(now, update.Name, *update.Store)
	}
	recordsChanged := core.members.Merge(update.Members)
	if change.New {
		core.log.Info("peer discovered", "Peer", update.Name, "Address", update.Address, "Incarnation", update.Incarnation)
	}
	if change.New || change.HubChanged || change.StoppedAggregating {
		// The peer's work now counts in the group of its new hub, or the peer has restarted.
		core.work.RemovePeer(update.Name)
		delete(core.snapshots, update.Name)
		delete(core.groups, update.Name)
	}
	if update.Claimed && update.Role.SendsOrders() {
		core.claims.ApplyHeartbeat(now, claims.Heartbeat{
			Peer: update.Name, Interval: update.Interval, Claims: update.Claims, OrderSenders: update.OrderSenders,
			Idle: update.Role != topology.Candidate,
		})
	}
	if change.Left || update.State == membership.Leaving {
		core.claims.Left(now, update.Name)
	}
	if !change.New && !recordsChanged {
		return false
	}
	core.members.Replan(now)
	return true
}

// handlePull sends a peer that cannot read the store the items that it lacks, if there are any.
func (gateway *Gateway) handlePull(from string, pull peers.Pull) {
	core := gateway.core
	core.mutex.Lock()
	known, ok := core.members.Peer(from)
	after := pull.After
	if pull.Era != core.store.era {
		after = 0
	}
	answer := core.store.itemsSince(after)
	core.mutex.Unlock()
	if ok && (answer.Era > pull.Era || answer.Era == pull.Era && answer.AsOf > pull.After) {
		gateway.send(known.Address, peers.Message{Items: &answer})
	}
}

// applyPulledItems applies store items that a peer sent in answer to a pull.
func (core *core) applyPulledItems(items peers.StoreItems) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.applyStoreItems(items)
}

// send sends a message. It reports false if there is no connection; a peer that reconnects is
// sent an update.
func (gateway *Gateway) send(address string, message peers.Message) bool {
	sent, err := gateway.network.Send(address, message)
	if err != nil {
		gateway.log.Error("cannot encode message", "Address", address, "Error", err.Error())
	}
	return sent
}

// tick does the periodic work of the daemon.
func (gateway *Gateway) tick(now clock.Millis) {
	core := gateway.core
	core.mutex.Lock()
	core.claims.Tick(now)
	core.retryAllowance.RecordDaemons(now, core.members.RunningCount())
	changed := core.reviewMembership(now)
	core.updateOwners(now)
	core.updateLimitSite(now)
	gateway.requestCopies(now)
	maps.DeleteFunc(core.relayedAdapterRequests, func(server string, _ waitingPeers) bool { _, ok := core.fleet.Member(server); return !ok })
	maps.DeleteFunc(core.copiesRequested, func(_ platformapi.Adapter, requested requestedCopies) bool {
		return now-requested.at >= copyVisibilityDelay
	})
	core.updateModelTurns(now)
	core.turns.prune(now)
	core.updateOrigins(now)
	for _, id := range core.fleet.Tick(now) {
		core.log.Info("server gone", "Server", id, "Cause", "its entry did not come back")
	}
	core.claims.Prune(now, func(server string) bool { _, ok := core.fleet.Member(server); return ok })
	core.pruneTombstones()
	maps.DeleteFunc(core.requestedAt, func(_ platformapi.Adapter, at clock.Millis) bool { return now-at >= frequentWindow })
	pull, address := core.choosePullPeer(now)
	core.updateDemand(now)
	core.quarantine.Prune(now)
	core.pruneLosses(now)
	if core.serverLimits.LimitedCount() > 0 {
		core.serverLimits.SetDaemons(now, core.members.AliveNames(), core.callerDemand.Shares())
	}
	core.serverLimits.Retain(func(server string) bool { _, ok := core.fleet.Member(server); return ok })
	known := func(server string) bool { _, ok := core.fleet.Member(server); return ok }
	core.brittle.Retain(known)
	maps.DeleteFunc(core.serverRanks, func(server string, _ int) bool { return !known(server) })
	core.promptBuckets.Retain(known)
	core.loadAverage.Retain(known)
	core.pruneShedding()
	gone := func(server string, _ clock.Millis) bool { return !known(server) }
	maps.DeleteFunc(core.reportRequestedAt, gone)
	maps.DeleteFunc(core.ordersWatchedAt, gone)
	core.mutex.Unlock()
	gateway.updateConnections()
	if changed {
		gateway.sendUpdate(now, gateway.network.ConnectedAddresses())
	}
	gateway.sendWarnings() // also to newly connected peers
	gateway.readUnknownHoldings(now)
	gateway.watchOrders(now)
	gateway.updateClaims(now)
	if address != "" {
		gateway.send(address, peers.Message{Pull: &pull})
	}
}

// pullDelay is how long the store must be unreachable before its items are requested from a
// peer. It is longer than reconnecting a watch takes.
const pullDelay = 700 * clock.Millisecond

// choosePullPeer returns a request for store items, and the address of the live peer that has
// the newest ones. The address is empty if this daemon can read the store itself, or if no peer
// has newer items. The mutex must be held.
func (core *core) choosePullPeer(now clock.Millis) (peers.Pull, string) {
	pull := peers.Pull{After: core.store.revision, Era: core.store.era}
	needed := core.storeFailsFor(now) >= pullDelay || pull.After == 0
	if !needed {
		return peers.Pull{}, ""
	}
	address, newest := "", versionStamp{pull.Era, pull.After}
	for name, peer := range core.members.Peers() {
		version := versionStamp{peer.Era, peer.Revision}
		if version.after(newest) && core.members.Live(now, name) {
			address, newest = peer.Address, version
		}
	}
	return pull, address
}
