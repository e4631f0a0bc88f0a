package gateway

import (
	"context"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/port"
	"teaselmoor/internal/direct/tally"
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
	members  int64
	shares   map[string]stamp                // by daemon
	tables   map[string]stamp                // by server
	sums     map[string]tally.Sum            // by server; nil: none yet
	uses     map[string]map[port.Adapter]int // by server
	revision int64                           // of the store
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
		shares: make(map[string]stamp), tables: make(map[string]stamp), uses: make(map[string]map[port.Adapter]int),
	}
}

// self is this daemon as its peers know it.
func (core *core) self() peers.Member {
	address := core.settings.PeerAddress
	if core.options.Advertise != "" {
		address = core.options.Advertise
	}
	return peers.Member{
		Name: core.settings.Name, Address: address,
		DataCentre: core.settings.DataCentre, Capacity: core.settings.Capacity,
	}
}

// plan says whom to tell what, by the peers heard of late. The mutex is held.
func (core *core) plan(now clock.Millis) topology.Plan {
	live := make([]topology.Daemon, 0, len(core.peers))
	for _, known := range core.peers {
		if now-known.heardAt < core.options.PeerTimeout && !known.leaving {
			live = append(live, topology.Daemon(known.member))
		}
	}
	return topology.Of(topology.Daemon(core.self()), live)
}

// tellNews tells peers what they have not been told until the context ends: soon
// after a table has changed, else at intervals.
func (gateway *Gateway) tellNews(ctx context.Context) error {
	interval := time.NewTicker(gateway.options.TellInterval.Duration())
	defer interval.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-interval.C:
			if !gateway.core.due() {
				continue
			}
			gateway.core.renewShare()
			gateway.tellDigests(true)
		case <-gateway.core.dirty:
			gateway.tellDigests(false)
		}
	}
}

// due reports whether it is time for a digest: in a site with hubs each tells all
// it knows to many, and less often.
func (core *core) due() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	core.planned = core.plan(now)
	interval := clock.Millis(0)
	if core.planned.Pace > 1 {
		interval = core.options.HubInterval - core.options.TellInterval/2
	}
	if now-core.digestAt < interval {
		return false
	}
	core.digestAt = now
	return true
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
func (gateway *Gateway) tellDigests(work bool) {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	targets := core.plan(now).Targets
	core.mutex.Unlock()
	for _, target := range targets {
		core.mutex.Lock()
		digest := core.digest(core.now(), target, work)
		core.mutex.Unlock()
		if digest != nil {
			gateway.send(target.Address, peers.Message{Digest: digest})
		}
	}
}

// digest returns the news for a target, or nil. The mutex is held.
func (core *core) digest(now clock.Millis, target topology.Target, work bool) *peers.Digest {
	told := core.toldTo(target.Address)
	digest := &peers.Digest{Tables: core.tableNews(now, target, told)}
	if work && target.Scope == topology.Sums {
		digest.Sums = core.sumNews(now, target.Name, told)
	} else if work {
		digest.Shares = core.shareNews(target, told)
	}
	if target.Store {
		digest.Store = core.storeNews(now, told)
	}
	if digest.Store == nil && digest.Sums == nil && len(digest.Shares) == 0 && len(digest.Tables) == 0 {
		return nil
	}
	return digest
}

// shareNews returns the shares that a target has not been told. The mutex is held.
func (core *core) shareNews(target topology.Target, told *toldState) []peers.DaemonShare {
	var news []peers.DaemonShare
	for name, share := range core.shares {
		version := stamp{share.Incarnation, share.Number}
		meant := name == core.settings.Name || target.Scope == topology.Near && core.near(name)
		if meant && version.after(told.shares[name]) {
			told.shares[name] = version
			news = append(news, share)
		}
	}
	return news
}

// tableNews returns the tables that a target has not been told. The mutex is held.
func (core *core) tableNews(now clock.Millis, target topology.Target, told *toldState) []fleet.Table {
	var news []fleet.Table
	for server, table := range core.fleet.Tables() {
		version := stampOf(table)
		if version.after(told.tables[server]) && core.tellsTable(now, target.Scope, server) {
			told.tables[server] = version
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
	owner, known := core.tenure.Owner(now, server)
	return scope == topology.Near && (!known || core.near(owner))
}

// near reports whether a daemon is in this one's data centre. The mutex is held.
func (core *core) near(name string) bool {
	known, ok := core.peers[name]
	return ok && known.member.DataCentre == core.settings.DataCentre
}

func stampOf(table fleet.Table) stamp {
	return stamp{table.Fence, table.Number}
}

// storeNews returns what was read of the store since a peer was told, and that
// the store still answers. The mutex is held.
func (core *core) storeNews(now clock.Millis, told *toldState) *peers.StoreNews {
	if core.store.readAt == 0 {
		return nil
	}
	news := &peers.StoreNews{AsOf: core.store.revision, Age: now - core.store.readAt, Items: core.store.since(told.revision)}
	if backAt := core.fleet.BackAt(); backAt > 0 {
		news.Back = now - backAt
	}
	told.revision = core.store.revision
	return news
}

// takeDigest takes over a peer's news.
func (core *core) takeDigest(from string, digest *peers.Digest) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	told := newTold()
	if known, ok := core.peers[from]; ok {
		told = core.toldTo(known.member.Address)
	}
	for _, share := range digest.Shares {
		core.takeShare(now, share)
		told.shares[share.Name] = stamp{share.Incarnation, share.Number}
	}
	news := false
	if len(digest.Loads) > 0 && core.hub == "" {
		core.takeWork(now, from, digest.Loads)
	}
	for _, table := range digest.Tables {
		news = core.fleet.SetTable(table) || news
		told.tables[table.Server] = stampOf(table)
	}
	if news {
		core.notify()
	}
	if digest.Sums != nil {
		core.takeSums(now, from, digest.Sums)
	}
	if digest.Store != nil {
		core.takeStoreNews(now, digest.Store)
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
		core.countUses(now, core.work.Peer(share.Name, share.Share))
	}
}

// countUses has planners know how often adapters are used through other daemons.
// The mutex is held.
func (core *core) countUses(now clock.Millis, uses map[tally.Use]int) {
	for use, more := range uses {
		if held, ok := core.orders[use.Server]; ok {
			held.planner.Used(now, use.Adapter, more)
		}
	}
}

// takeStoreNews takes over what a peer has read of the store. The mutex is held.
func (core *core) takeStoreNews(now clock.Millis, news *peers.StoreNews) {
	if news.Back > 0 {
		core.fleet.Back(now - news.Back)
	}
	for _, item := range news.Items {
		core.apply(item)
	}
	core.store.revision = max(core.store.revision, news.AsOf)
	core.store.coveredAt = max(core.store.coveredAt, now-news.Age)
}

// Turn implements mirror.Sink.
func (core *core) Turn() (bool, int64) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	reads := core.store.revision == 0 || core.plan(now).Reads || now-core.store.coveredAt > core.options.CoverLimit
	return reads, core.store.revision
}
