package gateway

import (
	"context"
	"reflect"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/mirror"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/topology"
)

// stamp orders versions of one thing.
type stamp struct {
	major, minor int64
}

func (stamp stamp) after(other stamp) bool {
	return stamp.major > other.major || stamp.major == other.major && stamp.minor > other.minor
}

// toldState is what a peer has been told on the present connection to it, or has
// told itself.
type toldState struct {
	members  int64                                  // changes of the membership
	orderers []string                               // nil: none yet
	updateAt clock.Millis                           // when the last update was told
	shares   map[string]stamp                       // by daemon
	group    int64                                  // number of the last group share
	owners   int64                                  // number of the last owners
	reported map[string]int64                       // start of the servers' processes whose word was told, by server
	tables   map[string]stamp                       // by server
	tablesAt int64                                  // changes of tables when they were last looked at
	reports  int64                                  // reports of servers when they were last looked at
	sums     map[string]inflight.Sum                // by server; nil: none yet
	uses     map[string]map[platformapi.Adapter]int // by server
	era      int64                                  // of the store
	revision int64                                  // of that era
	usage    quota.SentTotals
	usageAt  clock.Millis // when usage was told last
	warned   warned
}

// toldTo returns what an address has been told. The mutex is held.
func (core *core) toldTo(address string) *toldState {
	told, ok := core.told[address]
	if !ok {
		told = newTold()
		core.told[address] = told
	}
	return told
}

func newTold() *toldState {
	return &toldState{
		usage: make(quota.SentTotals), shares: make(map[string]stamp), reported: make(map[string]int64), tables: make(map[string]stamp), uses: make(map[string]map[platformapi.Adapter]int),
	}
}

// self is this daemon as its peers know it.
func (core *core) self() topology.Daemon {
	address := core.settings.PeerAddress
	if core.options.Advertise != "" {
		address = core.options.Advertise
	}
	return topology.Daemon{
		Name: core.settings.Name, Address: address,
		DataCentre: core.settings.DataCentre, Capacity: core.settings.Capacity,
	}
}

// tellNews tells peers what they have not been told until the context ends: soon
// after a table has changed, else at intervals.
func (gateway *Gateway) tellNews(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			began := time.Now()
			gateway.core.renewShare()
			gateway.core.renewGroup()
			gateway.tellDigests(true)
			timer.Reset(gateway.core.tellInterval(clock.FromDuration(time.Since(began))).Duration())
		case <-gateway.core.dirty:
			gateway.tellDigests(false)
		}
	}
}

// A hub that takes long to tell its digests, as one of many daemons before thousands of
// servers does, rests for a multiple of that time, so that requests do not wait for it.
const (
	tellRest     = 9
	mostTellRest = 500 * clock.Millisecond
)

// tellInterval is the time until the next digests, after some that took so long. What a
// hub tells differs from round to round; what a daemon of a mesh tells is told to all
// others.
func (core *core) tellInterval(took clock.Millis) clock.Millis {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.members.Plan().Mesh || core.hub != "" {
		return core.options.TellInterval
	}
	return max(core.options.HubInterval, min(tellRest*took, mostTellRest))
}

// tellWork tells this daemon's hub its work soon after it has changed, until the context
// ends. A daemon with few requests sends hardly more messages than at intervals, and the
// hub knows of each a mean of half an interval earlier.
func (gateway *Gateway) tellWork(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.core.workChanged:
		}
		if gateway.core.hasHub() {
			gateway.core.renewShare()
			gateway.tellDigests(true)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(gateway.options.WorkPause.Duration()):
		}
	}
}

// hasHub reports whether another daemon adds up the work of others for this one.
func (core *core) hasHub() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.hub != ""
}

// renewShare takes down what this daemon has in progress, if that has changed.
func (core *core) renewShare() {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	own := core.work.Own()
	last := core.shares[core.settings.Name]
	if len(own.Loads) == 0 && len(last.Share.Loads) == 0 {
		return
	}
	core.shares[core.settings.Name] = peers.DaemonShare{
		Name: core.settings.Name, Incarnation: core.born, Number: last.Number + 1, Share: own.Clone(),
	}
}

// tellDigests tells each target its news, the requests in progress only if work is set.
// Digests are made and sent in one order: what a peer is told builds on what it was told
// before.
func (gateway *Gateway) tellDigests(work bool) {
	gateway.telling.Lock()
	defer gateway.telling.Unlock()
	core := gateway.core
	core.mutex.Lock()
	targets := core.members.Plan().Targets
	core.mutex.Unlock()
	for _, target := range targets {
		core.mutex.Lock()
		digest := core.digest(core.now(), target, work)
		core.mutex.Unlock()
		if digest != nil {
			gateway.send(target.Address, peers.Message{Delta: digest})
		}
	}
}

// digest returns the news for a target, or nil. The mutex is held.
func (core *core) digest(now clock.Millis, target topology.Target, work bool) *peers.Delta {
	told := core.toldTo(target.Address)
	digest := &peers.Delta{Tables: core.tableNews(now, target, told)}
	if work {
		core.addWork(now, digest, target, told)
	}
	if target.Scope == topology.Sums {
		digest.Owners = core.ownerNews(told)
		digest.Reported = core.reportNews(told)
	}
	if target.IncludesStore {
		digest.Store = core.storeNews(now, target.Name, told)
	}
	if reflect.ValueOf(*digest).IsZero() {
		return nil
	}
	return digest
}

// addWork adds what a target is told of requests in progress. The mutex is held.
func (core *core) addWork(now clock.Millis, digest *peers.Delta, target topology.Target, told *toldState) {
	switch target.Scope {
	case topology.Sums:
		digest.Sums = core.sumNews(now, target.Name, told)
	case topology.Group:
		digest.Group = core.groupNews(told)
	default:
		digest.Shares = core.shareNews(told)
	}
}

// shareNews returns this daemon's share, if a target has not been told of it. The mutex
// is held.
func (core *core) shareNews(told *toldState) []peers.DaemonShare {
	share, ok := core.shares[core.settings.Name]
	version := stamp{share.Incarnation, share.Number}
	if !ok || !version.after(told.shares[share.Name]) {
		return nil
	}
	told.shares[share.Name] = version
	return []peers.DaemonShare{share}
}

// tableNews returns the tables that a target has not been told. The mutex is held.
func (core *core) tableNews(now clock.Millis, target topology.Target, told *toldState) []fleet.Table {
	since := int64(0)
	if target.Scope == topology.Sums {
		since = told.tablesAt // it is told every table
	}
	changed, changes := core.fleet.TablesSince(since)
	told.tablesAt = changes
	var news []fleet.Table
	for _, table := range changed {
		version := stampOf(table)
		if version.after(told.tables[table.Server]) && core.tellsTable(now, target.Scope, table.Server) {
			told.tables[table.Server] = version
			news = append(news, table)
		}
	}
	return news
}

// tellsTable reports whether a target is told the table of a server by this daemon.
// The mutex is held.
func (core *core) tellsTable(now clock.Millis, scope topology.Scope, server string) bool {
	if _, own := core.orders[server]; own || scope == topology.Sums {
		return true
	}
	owner, known := core.ownerOf(now, server)
	return scope == topology.Group && (!known || core.inGroup(owner))
}

// inGroup reports whether this daemon is the hub of another one. The mutex is held.
func (core *core) inGroup(name string) bool {
	peer, ok := core.members.Peer(name)
	return ok && peer.Hub == core.settings.Name
}

func stampOf(table fleet.Table) stamp {
	return stamp{table.Fence, table.Number}
}

// storeNews returns what was read of the store since a peer was told, and that
// the store still answers. The mutex is held.
func (core *core) storeNews(now clock.Millis, target string, told *toldState) *peers.StoreUpdate {
	if core.store.readAt == 0 {
		return nil
	}
	if told.era != core.store.era {
		told.era, told.revision = core.store.era, 0
	}
	if peer, ok := core.members.Peer(target); ok && peer.Era == core.store.era {
		told.revision = max(told.revision, peer.Revision) // it has read that itself
	}
	news := &peers.StoreUpdate{StoreItems: core.store.itemsSince(told.revision), Age: now - core.store.readAt}
	if backAt := core.fleet.OutageEnd(); backAt > 0 {
		news.Back = now - backAt
	}
	told.revision = core.store.revision
	return news
}

// takeDigest takes over a peer's news.
func (gateway *Gateway) takeDigest(from string, digest *peers.Delta) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	told := newTold()
	if peer, ok := core.members.Peer(from); ok {
		told = core.toldTo(peer.Address)
	}
	for _, share := range digest.Shares {
		core.takeShare(now, share)
	}
	if digest.Group != nil {
		core.takeGroup(now, from, digest.Group)
	}
	if len(digest.Loads) > 0 && core.hub == "" {
		core.takeWork(now, from, digest.Loads)
	}
	gateway.takeTables(told, digest.Tables)
	core.takeReported(digest.Reported)
	if digest.Owners != nil && from == core.hub {
		core.owners = digest.Owners.By
		if !core.members.Role().SendsOrders() {
			core.loadRate.SetEstimate(digest.Owners.Learned)
		}
	}
	if digest.Sums != nil {
		core.takeSums(now, from, digest.Sums)
	}
	if digest.Store != nil {
		core.takeStoreNews(now, digest.Store)
	}
	if digest.Usage != nil {
		core.takeUsage(now, from, *digest.Usage)
	}
}

// takeTables takes over what servers hold, from a peer that need not be told of it
// again. The mutex is held.
func (gateway *Gateway) takeTables(told *toldState, tables []fleet.Table) {
	core := gateway.core
	news := false
	for _, table := range tables {
		told.tables[table.Server] = stampOf(table)
		if !core.fleet.SetTable(table) {
			continue
		}
		news = true
		gateway.tellAskers(core.askers[table.Server], table)
	}
	if news {
		core.notify()
	}
}

// takeShare takes over what a daemon has in progress. The mutex is held.
func (core *core) takeShare(now clock.Millis, share peers.DaemonShare) {
	known := core.shares[share.Name]
	newer := stamp{share.Incarnation, share.Number}.after(stamp{known.Incarnation, known.Number})
	if share.Name == core.settings.Name || !newer {
		return
	}
	core.shares[share.Name] = share
	if core.hub == "" {
		core.countUses(now, core.work.SetPeer(share.Name, share.Share))
	}
}

// countUses has planners know how often adapters are used through other daemons.
// The mutex is held.
func (core *core) countUses(now clock.Millis, uses map[inflight.Use]int) {
	for use, more := range uses {
		if held, ok := core.orders[use.Server]; ok {
			held.planner.RecordUse(now, use.Adapter, more)
		}
	}
}

// takeStoreNews takes over what a peer has read of the store. The mutex is held.
func (core *core) takeStoreNews(now clock.Millis, news *peers.StoreUpdate) {
	if news.Back > 0 {
		core.fleet.RecordOutageEnd(now - news.Back)
	}
	if !core.takeStore(news.StoreItems) {
		return
	}
	core.store.coveredAt = max(core.store.coveredAt, now-news.Age)
	core.store.newsAt = now
}

// NextTurn implements mirror.Sink.
func (core *core) NextTurn() (bool, mirror.Position) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	reads := core.options.Mirror.ShouldRead(mirror.ReaderState{
		ReadsForOthers: core.members.Plan().ReadsStore, HasData: core.store.revision > 0, HasHub: core.hub != "",
		HubReadAge: now - core.store.coveredAt, HubSilence: now - core.store.newsAt, LastCallFailed: core.store.lostAt > 0, SinceLastCall: now - core.store.triedAt,
	})
	if reads {
		core.store.triedAt = now
	}
	return reads, mirror.Position{Era: core.store.era, Revision: core.store.revision}
}
