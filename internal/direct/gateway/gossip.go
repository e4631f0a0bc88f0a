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
	switch {
	case message.Update != nil:
		gateway.updated(message.Update)
	case message.Delta != nil:
		gateway.takeDigest(from, message.Delta)
	case message.AdapterRequest != nil:
		gateway.wanted(from, *message.AdapterRequest)
	case message.Pull != nil:
		gateway.pulled(from, *message.Pull)
	case message.Warnings != nil:
		gateway.takeWarnings(from, message.Warnings)
	case message.Items != nil:
		gateway.core.received(*message.Items)
	}
}

// Refused implements peers.Handler.
func (gateway *Gateway) Refused(from string, err error) {
	gateway.log.Warn("peer refused", "From", from, "Error", err.Error())
}

// Connected implements peers.Handler: what a peer was told on an earlier
// connection may have been lost.
func (gateway *Gateway) Connected(address string) {
	core := gateway.core
	core.mutex.Lock()
	delete(core.told, address)
	core.hurry()
	core.mutex.Unlock()
	gateway.tellUpdate(core.now(), []string{address})
}

func (gateway *Gateway) updated(update *peers.Update) {
	if update.Name == gateway.settings.Name {
		return
	}
	if gateway.core.heard(update) {
		gateway.relink()
	}
}

// heard takes over what a peer says. It reports whether connections are to be looked
// at again.
func (core *core) heard(update *peers.Update) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	finding := core.members.ApplyStatus(now, update.Status)
	if !finding.Current {
		return false
	}
	news := core.members.Merge(update.Members)
	if finding.New {
		core.log.Info("peer found", "Peer", update.Name, "Address", update.Address, "Incarnation", update.Incarnation)
	}
	if finding.New || finding.HubChanged || finding.StoppedAggregating {
		// Its work counts in the group of its new hub, or it has started again.
		core.work.RemovePeer(update.Name)
		delete(core.shares, update.Name)
		delete(core.groups, update.Name)
	}
	if update.Claimed && update.Role.SendsOrders() {
		core.tenure.ApplyHeartbeat(now, claims.Heartbeat{
			Peer: update.Name, Interval: update.Interval, Claims: update.Claims, Orderers: update.Orderers,
			Idle: update.Role != topology.Candidate,
		})
	}
	if finding.Left || update.State == membership.Leaving {
		core.tenure.Left(now, update.Name)
	}
	if !finding.New && !news {
		return false
	}
	core.members.Replan(now)
	return true
}

// pulled answers a peer that cannot read the store.
func (gateway *Gateway) pulled(from string, pull peers.Pull) {
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

// received takes over what a peer has read of the store.
func (core *core) received(items peers.StoreItems) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.takeStore(items)
}

// send sends a message; a peer without a connection hears it with the next update.
func (gateway *Gateway) send(address string, message peers.Message) bool {
	sent, err := gateway.mesh.Send(address, message)
	if err != nil {
		gateway.log.Error("message not encoded", "Address", address, "Error", err.Error())
	}
	return sent
}

// tick does what passing time calls for.
func (gateway *Gateway) tick(now clock.Millis) {
	core := gateway.core
	core.mutex.Lock()
	core.tenure.Tick(now)
	changed := core.reconsider(now)
	core.renewOwners(now)
	core.renewLimits(now)
	gateway.addCopies(now)
	maps.DeleteFunc(core.askers, func(server string, _ askers) bool { _, ok := core.fleet.Member(server); return !ok })
	maps.DeleteFunc(core.copiesAsked, func(_ platformapi.Adapter, asked askedCopies) bool { return now-asked.at >= copyNews })
	core.noteModels(now)
	for _, id := range core.fleet.Tick(now) {
		core.log.Info("server gone", "Server", id, "Cause", "its entry did not come back")
	}
	core.tenure.Prune(now, func(server string) bool { _, ok := core.fleet.Member(server); return ok })
	core.forgetRemoved()
	maps.DeleteFunc(core.askedAt, func(_ platformapi.Adapter, at clock.Millis) bool { return now-at >= frequentSpan })
	pull, address := core.pullFrom(now)
	core.quarantine.Prune(now)
	core.pruneLosses(now)
	if core.limits.Limited() > 0 {
		core.limits.SetDaemons(now, core.members.AliveNames())
	}
	core.limits.Retain(func(server string) bool { _, ok := core.fleet.Member(server); return ok })
	core.intake.Retain(func(server string) bool { _, ok := core.fleet.Member(server); return ok })
	maps.DeleteFunc(core.reportAskedAt, func(server string, _ clock.Millis) bool { _, ok := core.fleet.Member(server); return !ok })
	core.mutex.Unlock()
	gateway.relink()
	if changed {
		gateway.tellUpdate(now, gateway.mesh.ConnectedAddresses())
	}
	gateway.tellWarnings() // also to peers that were connected anew
	gateway.learnHoldings(now)
	gateway.claim(now)
	if address != "" {
		gateway.send(address, peers.Message{Pull: &pull})
	}
}

// pullAfter is how long the store is away before peers are asked: longer than a
// watch takes to be made anew.
const pullAfter = 700 * clock.Millisecond

// pullFrom picks the peer that knows most of the store, when this daemon cannot
// read it. The mutex is held.
func (core *core) pullFrom(now clock.Millis) (peers.Pull, string) {
	pull := peers.Pull{After: core.store.revision, Era: core.store.era}
	behind := core.store.lostAt > 0 && now-core.store.lostAt >= pullAfter || pull.After == 0
	if !behind {
		return peers.Pull{}, ""
	}
	address, most := "", stamp{pull.Era, pull.After}
	for name, peer := range core.members.Peers() {
		knows := stamp{peer.Era, peer.Revision}
		if knows.after(most) && core.members.Live(now, name) {
			address, most = peer.Address, knows
		}
	}
	return pull, address
}
