package gateway

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/topology"
)

// Daemons that claim servers send each other updates each UpdateInterval, and less often if
// they are many, as the number of messages grows with the square of their number. 12 daemons
// send 22 messages a second each (to 11 peers each 500 ms), 30 send 19 (to 29 peers each 1.5 s).
const (
	orderersPerIntervalStep = 12
	maxIntervalFactor       = 4 // with an update each 2 s the servers of a daemon that died wait 1.5 s longer for an owner
)

// memberIntervalFactor is the factor on UpdateInterval for updates that only show that the
// sender is alive.
const memberIntervalFactor = 2

// updateIntervalFactor is the factor on UpdateInterval for updates to daemons that claim
// servers. The mutex must be held.
func (core *core) updateIntervalFactor() int {
	orderers := len(core.members.OrderSenders()) + 1
	return min((orderers+orderersPerIntervalStep-1)/orderersPerIntervalStep, maxIntervalFactor)
}

// audience determines the contents of an update, so that each variant is encoded only once.
type audience struct {
	wants  bool // this daemon needs the connection itself, rather than only the peer
	claims bool // the peer claims servers, may soon do so, or has not reported its role
}

// updateInterval is the time between two updates to an audience. The mutex must be held.
func (core *core) updateInterval(to audience) clock.Millis {
	if to.claims && core.members.Role().SendsOrders() {
		return core.options.UpdateInterval * clock.Millis(core.updateIntervalFactor())
	}
	if core.members.Plan().Mesh {
		return core.options.UpdateInterval
	}
	return core.options.UpdateInterval * memberIntervalFactor
}

// audienceOf returns the audience that the daemon at an address belongs to. The mutex must be
// held.
func (core *core) audienceOf(address string) audience {
	name, ok := core.peerNames[address]
	if !ok {
		return audience{wants: true, claims: true}
	}
	peer, known := core.members.Peer(name)
	return audience{
		wants:  core.members.WantsConnection(name) || core.seedAddresses[address],
		claims: !known || peer.Role.SendsOrders() || core.members.InPlan(name),
	}
}

// sendDueUpdates sends an update to each peer for which one is due.
func (gateway *Gateway) sendDueUpdates() {
	core := gateway.core
	addresses := gateway.network.ConnectedAddresses()
	core.mutex.Lock()
	now := core.now()
	due := slices.DeleteFunc(addresses, func(address string) bool {
		sent, ok := core.sent[address]
		return ok && now-sent.updateAt < core.updateInterval(core.audienceOf(address))-core.options.UpdateInterval/2
	})
	ping := core.options.UpdateInterval
	if !core.members.Plan().Mesh {
		ping *= memberIntervalFactor
	}
	core.mutex.Unlock()
	gateway.network.SetPing(ping)
	gateway.sendUpdate(now, due)
}

// sendUpdateToOrderers sends an update at once to the daemons that claim servers.
func (gateway *Gateway) sendUpdateToOrderers(now clock.Millis) {
	core := gateway.core
	addresses := gateway.network.ConnectedAddresses()
	core.mutex.Lock()
	orderers := slices.DeleteFunc(addresses, func(address string) bool { return !core.audienceOf(address).claims })
	core.mutex.Unlock()
	gateway.sendUpdate(now, orderers)
}

// sendUpdate sends an update to the daemons at the given addresses. Each receives the
// membership changes that it has not been sent yet.
func (gateway *Gateway) sendUpdate(now clock.Millis, addresses []string) {
	core := gateway.core
	plain := make(map[audience][]byte) // updates without membership changes are the same for all of an audience
	for _, address := range addresses {
		core.mutex.Lock()
		sent := core.sentTo(address)
		audience := core.audienceOf(address)
		update := core.update(now, audience)
		hasUnsent := core.addUnsent(update, sent)
		sent.updateAt = now
		core.mutex.Unlock()
		encoded, ok := plain[audience]
		if hasUnsent || !ok {
			var err error
			if encoded, err = peers.Encode(peers.Message{Update: update}); err != nil {
				gateway.log.Error("cannot encode update", "Error", err.Error())
				return
			}
		}
		if !hasUnsent {
			plain[audience] = encoded
		}
		gateway.network.SendEncoded(address, encoded)
	}
}

// addUnsent adds the membership changes that a peer has not been sent, and reports whether
// there are any. The mutex must be held.
func (core *core) addUnsent(update *peers.Update, sent *sentState) bool {
	orderers := core.members.OrderSenders()
	if sent.orderers == nil || !slices.Equal(sent.orderers, orderers) {
		sent.orderers = orderers
		update.OrderSenders = orderers
	}
	update.Members, sent.members = core.members.RecordsSince(sent.members)
	return update.OrderSenders != nil || len(update.Members) > 0
}

// update returns an update without membership changes. The mutex must be held.
func (core *core) update(now clock.Millis, audience audience) *peers.Update {
	update := &peers.Update{Status: core.members.Status()}
	if core.handedOver && update.Role == topology.Candidate {
		update.Role = topology.Retired // so that others claim the servers that this daemon would
	}
	update.Interval = core.updateInterval(audience)
	update.WantsConnection = audience.wants
	if core.store.readAt > 0 && core.members.Plan().ReadsStore {
		contact := core.outages.Own(now)
		update.Store = &contact
	}
	update.Era, update.Revision = core.store.era, core.store.revision
	if core.catalog != nil {
		update.Version = core.catalog.Version
	}
	if audience.claims && update.Role.SendsOrders() {
		update.Claimed = true
		update.Claims = core.claims.Claims(now)
	}
	return update
}

// reviewMembership checks which peers are alive, and updates this daemon's role and hub. It
// reports whether either differs from what peers were sent. The mutex must be held.
func (core *core) reviewMembership(now clock.Millis) bool {
	for _, name := range core.members.Tick(now) {
		core.log.Info("peer removed", "Peer", name)
		core.claims.Left(now, name)
		delete(core.snapshots, name)
		delete(core.groups, name)
		delete(core.sums, name)
	}
	changed, promoted := core.members.UpdateRole(now, len(core.orderWorkers) > 0)
	if promoted {
		core.claims.Promoted(now)
	}
	if changed {
		core.claims.Announced(now)
		role := core.members.Role()
		core.log.Info("role changed", "Orders", role.SendsOrders(), "Claims", role == topology.Candidate, "Daemons", core.members.DaemonCount())
	}
	heard := false
	for name := range core.members.Peers() {
		if core.members.Live(now, name) {
			heard = true
			continue
		}
		core.work.RemovePeer(name)
	}
	if !heard && len(core.members.Peers()) > 0 {
		core.outages.RecordSilence()
	}
	if core.hub != "" {
		core.lastHubAt = now
	}
	return core.updateHub(now) || changed
}

// updateConnections opens and keeps the connections that this daemon or its peers need, and
// closes the others.
func (gateway *Gateway) updateConnections() {
	core := gateway.core
	core.mutex.Lock()
	links := core.members.Links(core.now())
	clear(core.peerNames)
	for _, daemon := range links {
		core.peerNames[daemon.Address] = daemon.Name
	}
	clear(core.seedAddresses)
	if !core.hasJoinedGroup() {
		// Seeds let daemons connect that have not discovered each other.
		for _, seed := range core.settings.Seeds {
			if seed != core.settings.PeerAddress {
				core.seedAddresses[seed] = true
				links = append(links, topology.Daemon{Address: seed})
			}
		}
	}
	maps.DeleteFunc(core.sent, func(address string, _ *sentState) bool {
		return core.peerNames[address] == "" && !core.seedAddresses[address]
	})
	core.mutex.Unlock()
	gateway.network.Retain(links)
}

// hasJoinedGroup reports whether this daemon is an ordinary member with a hub. Candidates and
// hubs keep connecting to seeds to find daemons on behalf of their members. The mutex must be
// held.
func (core *core) hasJoinedGroup() bool {
	return !core.members.Plan().Mesh && core.members.Role() == topology.Member && core.hub != ""
}
