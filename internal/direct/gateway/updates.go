package gateway

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/topology"
)

// Daemons that claim servers hear each other each UpdateInterval, and less often where
// they are many: their messages grow with the square of their number. 12 send 22 a second
// each, 30 send 29.
const (
	usualOrderers = 12
	mostPace      = 4 // with an update each 2 s the servers of a daemon that died wait 1.5 s longer
)

// memberPace is how many times longer than UpdateInterval the time between updates is
// that serve only to show that the sender lives.
const memberPace = 2

// pace is how many times UpdateInterval lies between two updates to daemons that claim
// servers. The mutex is held.
func (core *core) pace() int {
	orderers := len(core.members.Orderers()) + 1
	return min((orderers+usualOrderers-1)/usualOrderers, mostPace)
}

// audience is what decides which update a peer is told: each is encoded once.
type audience struct {
	wants  bool // the connection is wanted, and not only answered
	claims bool // the peer claims servers, may soon do so, or has not said whether it does
}

// interval is the time between two updates. The mutex is held.
func (core *core) interval(told audience) clock.Millis {
	if told.claims && core.members.Role().SendsOrders() {
		return core.options.UpdateInterval * clock.Millis(core.pace())
	}
	if core.members.Plan().Mesh {
		return core.options.UpdateInterval
	}
	return core.options.UpdateInterval * memberPace
}

// audienceOf returns how the daemon at an address is told. The mutex is held.
func (core *core) audienceOf(address string) audience {
	name, ok := core.nameAt[address]
	if !ok {
		return audience{wants: true, claims: true}
	}
	peer, heard := core.members.Peer(name)
	return audience{
		wants:  core.members.Wants(name) || core.seedAt[address],
		claims: !heard || peer.Role.SendsOrders() || core.members.InPlan(name),
	}
}

// tellUpdates tells an update to each peer that one is due for.
func (gateway *Gateway) tellUpdates() {
	core := gateway.core
	addresses := gateway.mesh.ConnectedAddresses()
	core.mutex.Lock()
	now := core.now()
	due := slices.DeleteFunc(addresses, func(address string) bool {
		told, ok := core.told[address]
		return ok && now-told.updateAt < core.interval(core.audienceOf(address))-core.options.UpdateInterval/2
	})
	ping := core.options.UpdateInterval
	if !core.members.Plan().Mesh {
		ping *= memberPace
	}
	core.mutex.Unlock()
	gateway.mesh.SetPing(ping)
	gateway.tellUpdate(now, due)
}

// tellOrderers tells the daemons that claim servers an update at once.
func (gateway *Gateway) tellOrderers(now clock.Millis) {
	core := gateway.core
	addresses := gateway.mesh.ConnectedAddresses()
	core.mutex.Lock()
	told := slices.DeleteFunc(addresses, func(address string) bool { return !core.audienceOf(address).claims })
	core.mutex.Unlock()
	gateway.tellUpdate(now, told)
}

// tellUpdate tells the daemons at some addresses an update; each is named the daemons
// that it has not been told of yet.
func (gateway *Gateway) tellUpdate(now clock.Millis, addresses []string) {
	core := gateway.core
	plain := make(map[audience][]byte) // updates without news are the same for an audience
	for _, address := range addresses {
		core.mutex.Lock()
		told := core.toldTo(address)
		audience := core.audienceOf(address)
		update := core.update(now, audience)
		news := core.addNews(update, told)
		told.updateAt = now
		core.mutex.Unlock()
		encoded, ok := plain[audience]
		if news || !ok {
			var err error
			if encoded, err = peers.Encode(peers.Message{Update: update}); err != nil {
				gateway.log.Error("update not encoded", "Error", err.Error())
				return
			}
		}
		if !news {
			plain[audience] = encoded
		}
		gateway.mesh.SendEncoded(address, encoded)
	}
}

// addNews adds what a peer has not been told of the site's daemons, and reports whether
// there is any. The mutex is held.
func (core *core) addNews(update *peers.Update, told *toldState) bool {
	orderers := core.members.Orderers()
	if told.orderers == nil || !slices.Equal(told.orderers, orderers) {
		told.orderers = orderers
		update.Orderers = orderers
	}
	update.Members, told.members = core.members.RecordsSince(told.members)
	return update.Orderers != nil || len(update.Members) > 0
}

// update is what peers are told. The mutex is held.
func (core *core) update(now clock.Millis, audience audience) *peers.Update {
	update := &peers.Update{Status: core.members.Status()}
	update.Interval = core.interval(audience)
	update.Wants = audience.wants
	update.Era, update.Revision = core.store.era, core.store.revision
	if core.catalog != nil {
		update.Version = core.catalog.Version
	}
	if audience.claims && update.Role.SendsOrders() {
		update.Claimed = true
		update.Claims = core.tenure.Claims(now)
	}
	return update
}

// reconsider looks who is heard and what this daemon is to do. It reports whether it has
// another role or another hub than peers were told. The mutex is held.
func (core *core) reconsider(now clock.Millis) bool {
	for _, name := range core.members.Tick(now) {
		core.log.Info("peer forgotten", "Peer", name)
		core.tenure.Left(now, name)
		delete(core.shares, name)
		delete(core.groups, name)
		delete(core.sums, name)
	}
	changed, promoted := core.members.UpdateRole(now, len(core.orders) > 0)
	if promoted {
		core.tenure.Promoted(now)
	}
	if changed {
		core.tenure.Announced(now)
		role := core.members.Role()
		core.log.Info("role changed", "Orders", role.SendsOrders(), "Claims", role == topology.Candidate, "Daemons", core.members.DaemonCount())
	}
	for name := range core.members.Peers() {
		if !core.members.Live(now, name) {
			core.work.RemovePeer(name)
		}
	}
	if core.hub != "" {
		core.hubAt = now
	}
	return core.follow(now) || changed
}

// relink keeps the connections that this daemon wants and those that its peers want.
func (gateway *Gateway) relink() {
	core := gateway.core
	core.mutex.Lock()
	links := core.members.Links(core.now())
	clear(core.nameAt)
	for _, daemon := range links {
		core.nameAt[daemon.Address] = daemon.Name
	}
	clear(core.seedAt)
	if !core.joined() {
		// Seeds are how daemons meet that know nothing of each other.
		for _, seed := range core.settings.Seeds {
			if seed != core.settings.PeerAddress {
				core.seedAt[seed] = true
				links = append(links, topology.Daemon{Address: seed})
			}
		}
	}
	maps.DeleteFunc(core.told, func(address string, _ *toldState) bool { return core.nameAt[address] == "" && !core.seedAt[address] })
	core.mutex.Unlock()
	gateway.mesh.Retain(links)
}

// joined reports whether this daemon has found its place: candidates and hubs look for
// others for it. The mutex is held.
func (core *core) joined() bool {
	return !core.members.Plan().Mesh && core.members.Role() == topology.Member && core.hub != ""
}
