package gateway

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/port"
	"teaselmoor/internal/direct/tenure"
)

// Received implements peers.Handler.
func (gateway *Gateway) Received(from string, message peers.Message) {
	switch {
	case message.Update != nil:
		gateway.updated(message.Update)
	case message.Digest != nil:
		gateway.core.takeDigest(from, message.Digest)
	case message.Want != nil:
		gateway.wanted(from, *message.Want)
	case message.Pull != nil:
		gateway.pulled(from, *message.Pull)
	case message.Items != nil:
		gateway.core.received(*message.Items)
	}
}

// Connected implements peers.Handler: what a peer was told on an earlier
// connection may have been lost.
func (gateway *Gateway) Connected(address string) {
	core := gateway.core
	core.mutex.Lock()
	delete(core.told, address)
	core.hurry()
	update := core.update(core.now())
	core.mutex.Unlock()
	gateway.send(address, peers.Message{Update: update})
}

func (gateway *Gateway) updated(update *peers.Update) {
	if update.From.Name == gateway.settings.Name {
		return
	}
	gateway.core.heard(update)
	gateway.mesh.Learn(update.From)
	for _, member := range update.Members {
		gateway.mesh.Learn(member)
	}
}

// heard takes over what a peer says.
func (core *core) heard(update *peers.Update) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	known, ok := core.peers[update.From.Name]
	if ok && update.Incarnation < known.incarnation {
		return
	}
	if !ok || known.incarnation != update.Incarnation {
		core.log.Info("peer found", "Peer", update.From.Name, "Address", update.From.Address, "Incarnation", update.Incarnation)
		known = &peerState{}
		core.peers[update.From.Name] = known
		core.memberNumber++
	}
	known.member = update.From
	known.incarnation = update.Incarnation
	known.heardAt = now + max(0, update.Interval-core.options.UpdateInterval)
	if known.leaving != update.Leaving {
		core.memberNumber++
	}
	known.leaving = update.Leaving
	known.revision = update.StoreRevision
	known.version = update.Version
	names := make([]string, 0, len(update.Members))
	for _, member := range update.Members {
		names = append(names, member.Name)
	}
	core.tenure.Heard(now, tenure.Word{
		Peer: update.From.Name, Interval: update.Interval, Claims: update.Claims, Named: names,
	})
	if update.Leaving {
		core.tenure.Left(now, update.From.Name)
	}
}

// wanted asks the planner of a server for an adapter on a peer's behalf.
func (gateway *Gateway) wanted(from string, want peers.Want) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if held, ok := core.orders[want.Server]; ok {
		held.asked(from, core.now()+want.Left)
	}
	gateway.want(want)
}

// asked notes that a peer waits for an adapter until a time.
func (ordering *ordering) asked(peer string, until clock.Millis) {
	ordering.askers[peer] = max(ordering.askers[peer], until)
}

// want passes a request's need to the planner, if it is this daemon's. The mutex is held.
func (gateway *Gateway) want(want peers.Want) {
	core := gateway.core
	held, ok := core.orders[want.Server]
	if !ok {
		return
	}
	now := core.now()
	if want.Absent {
		held.planner.Absent(now, want.Adapter)
		gateway.publish(want.Server, held)
	}
	held.planner.Want(now, want.Adapter, want.Version, want.Rank, now+want.Left)
	gateway.publish(want.Server, held)
	held.poke()
}

// pulled answers a peer that cannot read the store.
func (gateway *Gateway) pulled(from string, pull peers.Pull) {
	core := gateway.core
	core.mutex.Lock()
	known, ok := core.peers[from]
	answer := peers.Items{Items: core.store.since(pull.After), AsOf: core.store.revision}
	core.mutex.Unlock()
	if ok && answer.AsOf > pull.After {
		gateway.send(known.member.Address, peers.Message{Items: &answer})
	}
}

// received takes over what a peer has read of the store.
func (core *core) received(items peers.Items) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	for _, item := range items.Items {
		core.apply(item)
	}
	core.store.revision = max(core.store.revision, items.AsOf)
}

// send sends a message; a peer without a connection hears it with the next update.
func (gateway *Gateway) send(address string, message peers.Message) bool {
	sent, err := gateway.mesh.Send(address, message)
	if err != nil {
		gateway.log.Error("message not encoded", "Address", address, "Error", err.Error())
	}
	return sent
}

// updateInterval is the time between two updates in a site of this size. The
// mutex is held.
func (core *core) updateInterval(now clock.Millis) clock.Millis {
	return core.options.UpdateInterval * clock.Millis(core.plan(now).Pace)
}

// tellUpdates tells an update whenever one is due.
func (gateway *Gateway) tellUpdates() {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	interval := core.updateInterval(now)
	due := now-core.updatedAt >= interval-core.options.UpdateInterval/2
	core.mutex.Unlock()
	gateway.mesh.SetPing(interval)
	if due {
		gateway.tellUpdate(now)
	}
}

// tellUpdate tells everyone that there is a connection to, heard or not: daemons
// that know each other by a third one's word only meet this way. It names all
// members to those that have not been told them yet.
func (gateway *Gateway) tellUpdate(now clock.Millis) {
	core := gateway.core
	addresses := gateway.mesh.Addresses()
	core.mutex.Lock()
	core.updatedAt = now
	update := core.update(now)
	members := update.Members
	number := core.memberNumber
	var changed []string
	for _, address := range addresses {
		if told := core.toldTo(address); told.members != number {
			told.members = number
			changed = append(changed, address)
		}
	}
	core.mutex.Unlock()
	update.Members = nil
	gateway.sendAll(addresses, changed, update)
	update.Members = members
	gateway.sendAll(changed, nil, update)
}

// sendAll sends an update to all addresses but some; it is encoded once.
func (gateway *Gateway) sendAll(addresses, but []string, update *peers.Update) {
	encoded, err := peers.Encode(peers.Message{Update: update})
	if err != nil {
		gateway.log.Error("update not encoded", "Error", err.Error())
		return
	}
	for _, address := range addresses {
		if !slices.Contains(but, address) {
			gateway.mesh.SendEncoded(address, encoded)
		}
	}
}

// update is what all peers are told. The mutex is held.
func (core *core) update(now clock.Millis) *peers.Update {
	update := &peers.Update{
		From:        core.self(),
		Incarnation: core.born, Leaving: core.leaving, StoreRevision: core.store.revision,
		Interval: core.updateInterval(now), Claims: core.tenure.Claims(now),
	}
	if core.catalog != nil {
		update.Version = core.catalog.Version
	}
	for _, known := range core.peers {
		// A daemon that has said that it leaves gives no orders any more; one that
		// was named would make daemons that start wait for its word.
		if !known.leaving {
			update.Members = append(update.Members, known.member)
		}
	}
	return update
}

// tick does what passing time calls for.
func (gateway *Gateway) tick(now clock.Millis) {
	core := gateway.core
	core.mutex.Lock()
	core.tenure.Tick(now)
	core.follow(now)
	core.noteModels(now)
	for _, id := range core.fleet.Tick(now) {
		core.log.Info("server gone", "Server", id, "Cause", "its entry did not come back")
	}
	for name, known := range core.peers {
		if now-known.heardAt > core.options.PeerTimeout {
			core.work.Forget(name)
		}
		if now-known.heardAt > peerMemory {
			core.log.Info("peer forgotten", "Peer", name, "SilentMillis", now-known.heardAt)
			core.tenure.Left(now, name)
			delete(core.peers, name)
			delete(core.shares, name)
			delete(core.sums, name)
			delete(core.told, known.member.Address)
			core.memberNumber++
		}
	}
	core.tenure.Prune(now, func(server string) bool { _, ok := core.fleet.Member(server); return ok })
	core.forgetRemoved()
	maps.DeleteFunc(core.askedAt, func(_ port.Adapter, at clock.Millis) bool { return now-at >= frequentSpan })
	pull, address := core.pullFrom(now)
	core.intake.Retain(func(server string) bool { _, ok := core.fleet.Member(server); return ok })
	maps.DeleteFunc(core.reportAskedAt, func(server string, _ clock.Millis) bool { _, ok := core.fleet.Member(server); return !ok })
	core.mutex.Unlock()
	gateway.learnHoldings(now)
	gateway.claim(now)
	if address != "" {
		gateway.send(address, peers.Message{Pull: &pull})
	}
}

// peerMemory is how long a silent peer is remembered as one to connect to.
const peerMemory = 60 * clock.Second

// pullAfter is how long the store is away before peers are asked: longer than a
// watch takes to be made anew.
const pullAfter = 700 * clock.Millisecond

// pullFrom picks the peer that knows most of the store, when this daemon cannot
// read it. The mutex is held.
func (core *core) pullFrom(now clock.Millis) (peers.Pull, string) {
	revision := core.store.revision
	behind := core.store.lostAt > 0 && now-core.store.lostAt >= pullAfter || revision == 0
	if !behind {
		return peers.Pull{}, ""
	}
	address, most := "", revision
	for _, known := range core.peers {
		if known.revision > most && now-known.heardAt < core.options.PeerTimeout {
			address, most = known.member.Address, known.revision
		}
	}
	return peers.Pull{After: revision}, address
}
