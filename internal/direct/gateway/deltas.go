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

// versionStamp orders versions of the same object.
type versionStamp struct {
	major, minor int64
}

func (versionStamp versionStamp) after(other versionStamp) bool {
	return versionStamp.major > other.major || versionStamp.major == other.major && versionStamp.minor > other.minor
}

// sentState records what a peer has been sent on the current connection, or has sent itself, so
// that it is not sent again.
type sentState struct {
	members        int64                                  // number of membership changes sent
	orderers       []string                               // last sent; nil: none yet
	updateAt       clock.Millis                           // when the last update was sent
	snapshots      map[string]versionStamp                // last version sent, by daemon
	group          int64                                  // number of the last group snapshot sent
	owners         int64                                  // version of the owners last sent
	reportedStarts map[string]int64                       // process start in the last holdings sent from a server's own report, by server
	tables         map[string]versionStamp                // last version sent, by server
	tableChange    int64                                  // number for the next call of fleet.TablesSince
	reportCount    int64                                  // number of servers' reports applied when they were last compared
	sums           map[string]inflight.Sum                // last sent, by server; nil: none yet
	uses           map[string]map[platformapi.Adapter]int // last sent, by server
	era            int64                                  // of the store
	revision       int64                                  // of the store, in that era
	usage          quota.SentTotals
	usageAt        clock.Millis // when usage was last sent
	usageDaemons   int          // number of daemons that it covered
	warnings       warningsSent
	speeds         speedsSent
	origins        sentOrigins
}

// sentTo returns the record of what the peer at an address has been sent. The mutex must be
// held.
func (core *core) sentTo(address string) *sentState {
	sent, ok := core.sent[address]
	if !ok {
		sent = newSentState()
		core.sent[address] = sent
	}
	return sent
}

func newSentState() *sentState {
	return &sentState{
		usage: make(quota.SentTotals), snapshots: make(map[string]versionStamp), reportedStarts: make(map[string]int64), tables: make(map[string]versionStamp), uses: make(map[string]map[platformapi.Adapter]int),
	}
}

// self describes this daemon to its peers.
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

// sendDeltasLoop sends peers deltas until the context ends: soon after a table has changed, and
// otherwise at intervals.
func (gateway *Gateway) sendDeltasLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			began := time.Now()
			gateway.core.updateOwnSnapshot()
			gateway.core.updateGroup()
			gateway.sendDeltas(true)
			timer.Reset(gateway.core.deltaInterval(clock.FromDuration(time.Since(began))).Duration())
		case <-gateway.core.deltaDue:
			gateway.sendDeltas(false)
		}
	}
}

// A hub that takes long to send its deltas, as one of many daemons with thousands of servers
// does, pauses for a multiple of that time, so that requests do not have to wait for it.
const (
	deltaPauseFactor = 9
	maxDeltaPause    = 500 * clock.Millisecond
)

// deltaInterval is the time until the next deltas, given how long the last ones took. A daemon
// of a mesh uses a fixed interval, as it sends the same to all others, whereas what a hub sends
// differs in each round.
func (core *core) deltaInterval(took clock.Millis) clock.Millis {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.members.Plan().Mesh || core.hub != "" {
		return core.options.TellInterval
	}
	return max(core.options.HubInterval, min(deltaPauseFactor*took, maxDeltaPause))
}

// sendWorkLoop sends this daemon's hub its work soon after it has changed, until the context
// ends. A daemon with few requests sends hardly more messages than at fixed intervals, and the
// hub learns of each request half an interval earlier on average.
func (gateway *Gateway) sendWorkLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.core.workChanged:
		}
		if gateway.core.hasHub() {
			gateway.core.updateOwnSnapshot()
			gateway.sendDeltas(true)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(gateway.options.WorkPause.Duration()):
		}
	}
}

// hasHub reports whether another daemon aggregates the work of other daemons for this one.
func (core *core) hasHub() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.hub != ""
}

// updateOwnSnapshot records what this daemon has in progress, unless it has nothing now and had
// nothing at the last call.
func (core *core) updateOwnSnapshot() {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	own := core.work.Own()
	last := core.snapshots[core.settings.Name]
	if len(own.Loads) == 0 && len(last.Share.Loads) == 0 {
		return
	}
	core.snapshots[core.settings.Name] = peers.DaemonShare{
		Name: core.settings.Name, Incarnation: core.incarnation, Number: last.Number + 1, Share: own.Clone(),
	}
}

// sendDeltas sends each target its unsent changes, with requests in progress only if work is
// set. Deltas are encoded and sent in one order, as each builds on the ones before.
func (gateway *Gateway) sendDeltas(work bool) {
	gateway.deltaMutex.Lock()
	defer gateway.deltaMutex.Unlock()
	core := gateway.core
	core.mutex.Lock()
	targets := core.members.Plan().Targets
	core.mutex.Unlock()
	for _, target := range targets {
		core.mutex.Lock()
		delta := core.delta(core.now(), target, work)
		core.mutex.Unlock()
		if delta != nil {
			gateway.send(target.Address, peers.Message{Delta: delta})
		}
	}
}

// delta returns the unsent changes for a target, or nil if there are none. The mutex must be
// held.
func (core *core) delta(now clock.Millis, target topology.Target, work bool) *peers.Delta {
	sent := core.sentTo(target.Address)
	delta := &peers.Delta{Tables: core.unsentTables(now, target, sent)}
	if work {
		core.addWork(now, delta, target, sent)
	}
	if target.Scope == topology.Sums {
		delta.Owners = core.unsentOwners(sent)
		delta.Reported = core.unsentReports(sent)
	}
	if target.IncludesStore {
		delta.Store = core.unsentStoreItems(now, target.Name, sent)
	}
	if reflect.ValueOf(*delta).IsZero() {
		return nil
	}
	return delta
}

// addWork adds to a delta the requests in progress in the form that its target needs: aggregated
// counts, a group's snapshot or this daemon's own. The mutex must be held.
func (core *core) addWork(now clock.Millis, delta *peers.Delta, target topology.Target, sent *sentState) {
	switch target.Scope {
	case topology.Sums:
		delta.Sums = core.unsentSums(now, target.Name, sent)
	case topology.Group:
		delta.Group = core.unsentGroup(sent)
	default:
		delta.Shares = core.unsentSnapshot(sent)
	}
}

// unsentSnapshot returns this daemon's snapshot if a target has not been sent it. The mutex
// must be held.
func (core *core) unsentSnapshot(sent *sentState) []peers.DaemonShare {
	share, ok := core.snapshots[core.settings.Name]
	version := versionStamp{share.Incarnation, share.Number}
	if !ok || !version.after(sent.snapshots[share.Name]) {
		return nil
	}
	sent.snapshots[share.Name] = version
	return []peers.DaemonShare{share}
}

// unsentTables returns the tables that a target has not been sent. The mutex must be held.
func (core *core) unsentTables(now clock.Millis, target topology.Target, sent *sentState) []fleet.Table {
	since := int64(0)
	if target.Scope == topology.Sums {
		since = sent.tableChange // the target was sent every table; for others sendsTable may change
	}
	changed, changes := core.fleet.TablesSince(since)
	sent.tableChange = changes
	var unsent []fleet.Table
	for _, table := range changed {
		version := tableVersion(table)
		if version.after(sent.tables[table.Server]) && core.sendsTable(now, target.Scope, table.Server) {
			sent.tables[table.Server] = version
			unsent = append(unsent, table)
		}
	}
	return unsent
}

// sendsTable reports whether this daemon sends a target the table of a server. The mutex must
// be held.
func (core *core) sendsTable(now clock.Millis, scope topology.Scope, server string) bool {
	if _, own := core.orderWorkers[server]; own || scope == topology.Sums {
		return true
	}
	owner, known := core.ownerOf(now, server)
	return scope == topology.Group && (!known || core.inGroup(owner))
}

// inGroup reports whether another daemon has chosen this one as its hub. The mutex must be held.
func (core *core) inGroup(name string) bool {
	peer, ok := core.members.Peer(name)
	return ok && peer.Hub == core.settings.Name
}

func tableVersion(table fleet.Table) versionStamp {
	return versionStamp{table.Fence, table.Number}
}

// unsentStoreItems returns the store items that a peer has not been sent, and the age of the
// store's last answer. The mutex must be held.
func (core *core) unsentStoreItems(now clock.Millis, target string, sent *sentState) *peers.StoreUpdate {
	if core.store.readAt == 0 {
		return nil
	}
	if sent.era != core.store.era {
		sent.era, sent.revision = core.store.era, 0
	}
	if peer, ok := core.members.Peer(target); ok && peer.Era == core.store.era {
		sent.revision = max(sent.revision, peer.Revision) // the peer has read up to there itself
	}
	unsent := &peers.StoreUpdate{StoreItems: core.store.itemsSince(sent.revision), Age: now - core.store.readAt}
	if backAt := core.fleet.OutageEnd(); backAt > 0 {
		unsent.Back = now - backAt
	}
	sent.revision = core.store.revision
	return unsent
}

// applyDelta applies a peer's delta.
func (gateway *Gateway) applyDelta(from string, delta *peers.Delta) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	core.turns.heardAt[from] = now
	sent := newSentState()
	if peer, ok := core.members.Peer(from); ok {
		sent = core.sentTo(peer.Address)
	}
	for _, share := range delta.Shares {
		core.applySnapshot(now, share)
	}
	if delta.Group != nil {
		core.applyGroup(now, from, delta.Group)
	}
	if len(delta.Loads) > 0 && core.hub == "" {
		core.applyPeerWork(now, from, delta.Loads)
	}
	gateway.applyTables(sent, delta.Tables)
	core.applyReports(delta.Reported)
	if delta.Owners != nil && from == core.hub {
		core.owners = delta.Owners.By
		if !core.members.Role().SendsOrders() {
			core.loadRate.SetEstimate(delta.Owners.Learned)
		}
	}
	if delta.Sums != nil {
		core.applySums(now, from, delta.Sums)
	}
	core.observeOverload(now)
	if delta.Store != nil {
		core.applyStoreUpdate(now, delta.Store)
	}
	if delta.Usage != nil {
		core.applyUsage(now, from, *delta.Usage)
	}
}

// applyTables applies servers' tables from a peer, records that the peer has them, and sends new
// ones to the peers that wait for them. The mutex must be held.
func (gateway *Gateway) applyTables(sent *sentState, tables []fleet.Table) {
	core := gateway.core
	changed := false
	for _, table := range tables {
		sent.tables[table.Server] = tableVersion(table)
		core.seeProcess(platformapi.Process{Server: table.Server, StartedAt: table.Born}, "owner")
		if !core.fleet.SetTable(table) {
			continue
		}
		changed = true
		gateway.sendTableToWaiting(core.relayedAdapterRequests[table.Server], table)
	}
	if changed {
		core.wakeWaitingRequests()
	}
}

// applySnapshot applies the snapshot of what a daemon has in progress. The mutex must be held.
func (core *core) applySnapshot(now clock.Millis, share peers.DaemonShare) {
	known := core.snapshots[share.Name]
	newer := versionStamp{share.Incarnation, share.Number}.after(versionStamp{known.Incarnation, known.Number})
	if share.Name == core.settings.Name || !newer {
		return
	}
	core.snapshots[share.Name] = share
	if core.hub == "" {
		core.countUses(now, core.work.SetPeer(share.Name, share.Share))
	}
}

// countUses reports to the planners the uses of adapters by requests of other daemons. The mutex
// must be held.
func (core *core) countUses(now clock.Millis, uses map[inflight.Use]int) {
	for use, count := range uses {
		if worker, ok := core.orderWorkers[use.Server]; ok {
			worker.planner.RecordUse(now, use.Adapter, count)
		}
	}
}

// applyStoreUpdate applies store items from a peer that reads the store for this daemon. The
// mutex must be held.
func (core *core) applyStoreUpdate(now clock.Millis, received *peers.StoreUpdate) {
	if received.Back > 0 {
		core.fleet.RecordOutageEnd(now - received.Back)
	}
	if !core.applyStoreItems(received.StoreItems) {
		return
	}
	core.store.readerReadAt = max(core.store.readerReadAt, now-received.Age)
	core.store.readerUpdateAt = now
}

// NextTurn implements mirror.Sink.
func (core *core) NextTurn() (bool, mirror.Position) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	reads := core.options.Mirror.ShouldRead(mirror.ReaderState{
		ReadsForOthers: core.members.Plan().ReadsStore, HasData: core.store.revision > 0, HasHub: core.hub != "",
		HubReadAge: now - core.store.readerReadAt, HubSilence: now - core.store.readerUpdateAt, LastCallFailed: core.outages.FailingSince() > 0, SinceLastCall: now - core.store.calledAt,
	})
	if reads {
		core.store.calledAt = now
	}
	return reads, mirror.Position{Era: core.store.era, Revision: core.store.revision}
}
