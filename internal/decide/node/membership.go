package node

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/owner"
	"teaselmoor/internal/decide/ownership"
)

// Spans of updates. The span between two updates with news grows with the
// region, so that each daemon's share of control traffic stays within bounds.
const (
	// beatInterval is the longest span between two updates within the data centre.
	beatInterval = clock.Second
	// spanPerDaemon is added for each daemon of the region.
	spanPerDaemon = 25 * clock.Millisecond
	// fullAskInterval is the shortest span between two asks for a full update.
	fullAskInterval = 2 * clock.Second
	// mismatchTries is the number of updates in a row with a wrong digest after
	// which the full state is asked for.
	mismatchTries = 2
)

// news is what has been told to the daemons of the region, and heard from them.
type news struct {
	// due says that something happened that others should know at once.
	due    bool
	local  channel // daemons of the same data centre
	remote channel // one relay in each other data centre of the region
	// origins is what is known of each daemon's engines by its own word.
	origins map[ident.DaemonID]*origin
}

// origin is what a daemon has told of its engines.
type origin struct {
	engines map[ident.EngineID]toldEngine
	// digest sums up engines.
	digest uint64
	// mismatches counts updates in a row whose digest was another.
	mismatches int
	askedAt    clock.Millis // last ask for everything
}

// toldEngine is which state of an engine has been told.
type toldEngine struct {
	fence     ident.Fence
	residency uint64
}

func (origin *origin) set(name ident.EngineID, told toldEngine) {
	origin.remove(name)
	origin.engines[name] = told
	origin.digest ^= digestEngine(name, told.fence, told.residency)
}

func (origin *origin) remove(name ident.EngineID) {
	if told, known := origin.engines[name]; known {
		origin.digest ^= digestEngine(name, told.fence, told.residency)
		delete(origin.engines, name)
	}
}

func (news *news) origin(daemon ident.DaemonID) *origin {
	found, known := news.origins[daemon]
	if !known {
		found = &origin{engines: map[ident.EngineID]toldEngine{}}
		news.origins[daemon] = found
	}
	return found
}

// channel is one set of receivers that are told the same.
type channel struct {
	sentAt clock.Millis
	newsAt clock.Millis // last update that carried engines
	told   map[ident.EngineID]message.EngineDelta
}

func newNews() news {
	return news{origins: map[ident.DaemonID]*origin{}}
}

// newsInterval is the span between two updates with news of engines.
func (node *Node) newsInterval() clock.Millis {
	return max(node.options.MinUpdateInterval, spanPerDaemon*clock.Millis(len(node.regionNames)))
}

// remoteInterval is the span between two updates to other data centres.
func (node *Node) remoteInterval() clock.Millis {
	return 2 * node.newsInterval()
}

// suspicion is the silence after which a daemon is passed over.
func (node *Node) suspicion(daemon ident.DaemonID) clock.Millis {
	span := node.options.Ownership.Suspicion
	if vm, known := node.vms.Daemon(daemon); known && vm.DataCentre != node.options.DataCentre {
		span += 2 * max(beatInterval, node.remoteInterval())
	}
	return span
}

// tickNews sends the updates that are due.
func (node *Node) tickNews() {
	if node.vms == nil {
		return
	}
	atOnce := node.news.due && node.now-node.news.local.sentAt >= node.options.MinUpdateInterval
	interval := node.newsInterval()
	if withNews := atOnce || node.now-node.news.local.newsAt >= interval; withNews || node.now-node.news.local.sentAt >= beatInterval {
		update := node.update(&node.news.local, withNews)
		for _, peer := range node.localNames {
			node.sendUpdate(peer, update)
		}
	}
	if atOnce || node.now-node.news.remote.sentAt >= max(interval*2, node.options.MinUpdateInterval) {
		update := node.update(&node.news.remote, true)
		update.Relay = true
		for _, relay := range node.relays() {
			node.sendUpdate(relay, update)
		}
	}
	if atOnce {
		node.news.due = false
	}
}

func (node *Node) sendUpdate(to ident.DaemonID, update message.Update) {
	if to != node.options.Self {
		node.send(to, update)
	}
}

// update makes the next update of a channel.
func (node *Node) update(channel *channel, withNews bool) message.Update {
	channel.sentAt = node.now
	update := node.emptyUpdate()
	if !withNews {
		update.Digest = digestOf(channel.told)
		return update
	}
	channel.newsAt = node.now
	told := make(map[ident.EngineID]message.EngineDelta, len(node.owning.owned))
	for _, name := range node.ownedInOrder() {
		news := node.engineNews(node.owning.owned[name].owner)
		if news.Engine == "" {
			continue
		}
		before, known := channel.told[name]
		told[name] = news
		if known && before.Residency == news.Residency && before.Fence == news.Fence {
			news.Detail = nil
		}
		if !known || news.Detail != nil || changed(before, news) {
			update.Engines = append(update.Engines, news)
		}
	}
	channel.told = told
	update.Digest = digestOf(told)
	return update
}

func (node *Node) emptyUpdate() message.Update {
	update := message.Update{
		From: node.options.Self, Incarnation: node.options.Incarnation, SentAt: node.now, Leaving: node.draining,
	}
	if node.config != nil {
		update.ConfigVersion = node.config.Version()
	}
	if node.config != nil && node.vms != nil {
		update.Departing = node.departingRead()
	}
	return update
}

// departingRead lists the engines owned here or elsewhere in the region that
// this daemon has itself read to be leaving.
func (node *Node) departingRead() []ident.EngineID {
	var departing []ident.EngineID
	if !node.vms.AnyServerLeaving() {
		return nil
	}
	for i := range node.config.Config.Engines {
		engine := &node.config.Config.Engines[i]
		if engine.Region == node.options.Region && node.vms.ServerLeaving(engine.Address) {
			departing = append(departing, engine.Name)
		}
	}
	return departing
}

func changed(before, after message.EngineDelta) bool {
	return before.Queued != after.Queued || before.Running != after.Running ||
		before.LoadsWaiting != after.LoadsWaiting || before.Flags != after.Flags
}

// engineNews is the owner's word on an engine; empty before its first report.
func (node *Node) engineNews(owner *owner.Owner) message.EngineDelta {
	if !owner.Known() {
		return message.EngineDelta{}
	}
	state := owner.State(node.now)
	news := message.EngineDelta{
		Engine: state.Engine, Fence: state.Fence, Version: state.Version, Residency: owner.Residency(state.Resident, state.Wanted),
		Queued: state.Queued, Running: state.Running, LoadsWaiting: state.LoadsWaiting, ReportAge: state.ReportAge,
		Spare:  state.Spare,
		Detail: &message.EngineDetail{Resident: state.Resident, Wanted: state.Wanted, Boot: state.Boot},
	}
	if state.Quarantined {
		news.Flags |= message.FlagQuarantined
	}
	if state.Leaving {
		news.Flags |= message.FlagLeaving
	}
	return news
}

// digestOf sums up which engines are owned and what is loaded there.
func digestOf(told map[ident.EngineID]message.EngineDelta) uint64 {
	digest := uint64(0)
	for name, news := range told {
		digest ^= digestEngine(name, news.Fence, news.Residency)
	}
	return digest
}

func digestEngine(name ident.EngineID, fence ident.Fence, residency uint64) uint64 {
	const mixer = 0x9e3779b97f4a7c15
	return (xxhash.Sum64String(string(name))+uint64(fence))*mixer ^ residency*mixer
}

// relays returns one daemon in each other data centre of the region that passes
// this daemon's updates on there. Each origin has its own, so that the work
// spreads over all daemons.
func (node *Node) relays() []ident.DaemonID {
	var relays []ident.DaemonID
	for _, centre := range slices.Sorted(maps.Keys(node.remoteNames)) {
		reachable := slices.DeleteFunc(slices.Clone(node.remoteNames[centre]), node.peers.Unreachable)
		if relay, found := ownership.First("relay/"+string(node.options.Self), reachable); found {
			relays = append(relays, relay)
		}
	}
	return relays
}

// groupDaemons sorts the region's daemons by data centre, after a change.
func (node *Node) groupDaemons() {
	node.regionNames = node.regionDaemons()
	node.localNames = node.vms.Present(func(vm *members.VM) bool {
		return vm.Region == node.options.Region && vm.DataCentre == node.options.DataCentre
	})
	node.remoteNames = map[string][]ident.DaemonID{}
	for _, name := range node.regionNames {
		if vm, _ := node.vms.Daemon(name); vm.DataCentre != node.options.DataCentre {
			node.remoteNames[vm.DataCentre] = append(node.remoteNames[vm.DataCentre], name)
		}
	}
	for origin := range node.news.origins {
		if _, listed := node.vms.Daemon(origin); !listed {
			delete(node.news.origins, origin)
		}
	}
}

// updated takes in another daemon's update.
func (node *Node) updated(update message.Update) {
	heard := node.peers.Heard(node.now, update.From, members.Peer{
		Incarnation: update.Incarnation, ConfigVersion: update.ConfigVersion,
		SentAt: update.SentAt, Leaving: update.Leaving,
	})
	if !heard || update.From == node.options.Self {
		return
	}
	node.homeEffects(node.home.Met(node.now, update.From, update.Incarnation))
	if update.Relay {
		node.passOn(update)
	}
	for _, name := range update.Departing {
		node.owning.departing[name] = node.now
	}
	for _, news := range update.Engines {
		node.engineNewsReceived(update, news)
	}
	node.checkDigest(update)
}

func (node *Node) passOn(update message.Update) {
	update.Relay = false
	for _, peer := range node.localNames {
		if peer != update.From {
			node.sendUpdate(peer, update)
		}
	}
}

// engineNewsReceived takes in a claim and what is new at its engine. Of two
// claims the one with the higher number counts.
func (node *Node) engineNewsReceived(update message.Update, news message.EngineDelta) {
	claim, known := node.owning.claims[news.Engine]
	if known && news.Fence < claim.Fence {
		node.send(update.From, message.HigherClaim{
			Engine: news.Engine, Owner: claim.Owner, Incarnation: claim.Incarnation, Fence: claim.Fence,
		})
		return
	}
	if known && claim.Owner != update.From {
		node.news.origin(claim.Owner).remove(news.Engine)
	}
	node.owning.claims[news.Engine] = ownership.Heard{Owner: update.From, Incarnation: update.Incarnation, Fence: news.Fence}
	node.outbid(news.Engine, "a higher claim was heard of")
	state := message.EngineState{
		Engine: news.Engine, Owner: update.From, Fence: news.Fence, Version: news.Version,
		Queued: news.Queued, Running: news.Running, LoadsWaiting: news.LoadsWaiting, ReportAge: news.ReportAge, Spare: news.Spare,
		Quarantined: news.Flags&message.FlagQuarantined != 0, Leaving: news.Flags&message.FlagLeaving != 0,
	}
	origin := node.news.origin(update.From)
	told := toldEngine{fence: news.Fence, residency: origin.engines[news.Engine].residency}
	if news.Detail != nil {
		state.Resident, state.Wanted, state.Boot = news.Detail.Resident, news.Detail.Wanted, news.Detail.Boot
		told.residency = news.Residency
	} else if view := node.views.View(news.Engine); view != nil && view.State.Fence == news.Fence {
		state.Resident, state.Wanted, state.Boot = view.State.Resident, view.State.Wanted, view.State.Boot
	}
	origin.set(news.Engine, told)
	node.views.Update(node.now, state)
}

// checkDigest compares what is known of a daemon's engines with its word, and
// asks for all of it when updates have been missed.
func (node *Node) checkDigest(update message.Update) {
	origin := node.news.origin(update.From)
	if update.Full {
		node.dropMissing(origin, update)
	}
	if origin.digest == update.Digest {
		origin.mismatches = 0
		node.renewViews(origin)
		return
	}
	origin.mismatches++
	if origin.mismatches >= mismatchTries && node.now-origin.askedAt >= fullAskInterval {
		origin.askedAt = node.now
		node.send(update.From, message.FullUpdateRequest{From: node.options.Self})
	}
}

// renewViews notes that nothing else is new at a daemon's engines.
func (node *Node) renewViews(origin *origin) {
	for name := range origin.engines {
		if view := node.views.View(name); view != nil && view.HeardAt < node.now {
			view.HeardAt = node.now
			view.Sent = 0
			view.Lost = false
		}
	}
}

// dropMissing forgets engines that their owner no longer lists.
func (node *Node) dropMissing(origin *origin, update message.Update) {
	for name := range origin.engines {
		if !slices.ContainsFunc(update.Engines, func(news message.EngineDelta) bool { return news.Engine == name }) {
			origin.remove(name)
			node.views.Drop(name)
		}
	}
}

// updateAsked answers with everything.
func (node *Node) updateAsked(ask message.FullUpdateRequest) {
	update := node.emptyUpdate()
	update.Full = true
	told := map[ident.EngineID]message.EngineDelta{}
	for _, name := range node.ownedInOrder() {
		if news := node.engineNews(node.owning.owned[name].owner); news.Engine != "" {
			told[name] = news
			update.Engines = append(update.Engines, news)
		}
	}
	slices.SortFunc(update.Engines, func(a, b message.EngineDelta) int { return cmp.Compare(a.Engine, b.Engine) })
	update.Digest = digestOf(told)
	node.sendUpdate(ask.From, update)
}

// viewOwn keeps this daemon's own engines among the views that it places by.
func (node *Node) viewOwn() {
	for _, name := range node.ownedInOrder() {
		held, view := node.owning.owned[name], node.views.View(name)
		due := view == nil || view.State.Fence != held.owner.Fence || node.now-view.HeardAt >= node.options.MinUpdateInterval
		if held.owner.Known() && (due || node.news.due) {
			node.engineState(held.owner.State(node.now))
		}
	}
}
