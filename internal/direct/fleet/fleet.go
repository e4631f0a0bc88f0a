// Package fleet is what a daemon believes of backend servers: which there are,
// which may take new work, what each holds, and which of them fail. It does no
// I/O and reads no clock.
package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// Options are the limits of a fleet.
type Options struct {
	// OutageSpan is how long the store must have been away for entries that are
	// missing on its return to be given ReturnGrace.
	OutageSpan clock.Millis
	// ReturnGrace is how long a server whose entry is missing after an outage is
	// still used. The platform puts entries of live servers back within 2 s.
	ReturnGrace clock.Millis
	// FirstBackoff and MostBackoff bound how long a server that cannot be reached
	// gets no work. The first is short, because connections are also refused to
	// single callers; the last bounds the delay until a restarted server is used.
	FirstBackoff, MostBackoff clock.Millis
	// TroubleHalfLife is the time in which the memory of failures halves.
	TroubleHalfLife clock.Millis
	// Recent is how many adapters a server keeps at hand after it has dropped
	// them: it loads those ten times as fast and not from the weight store.
	Recent int
	// Tombstone is how long the removal of a server is remembered, and that it has said
	// that it leaves, so that an older entry that a peer passes on does not bring it back.
	Tombstone clock.Millis
}

// DefaultOptions returns the options that the platform's pages call for.
func DefaultOptions() Options {
	return Options{
		OutageSpan: clock.Second, ReturnGrace: 2*clock.Second + 300,
		FirstBackoff: 150, MostBackoff: 1600,
		TroubleHalfLife: 2 * clock.Second, Recent: 80, Tombstone: clock.Minute,
	}
}

// Fleet is the set of backend servers.
type Fleet struct {
	options    Options
	members    map[string]*Member
	sorted     []*Member // the members in order of id; nil: to be sorted
	gone       map[string]tombstone
	departures map[string]departure // by server
	// departuresHeard is how many words of servers themselves that they leave were news.
	departuresHeard int64
	rests           map[string]clock.Millis           // by server that asked for it: when it ends
	tables          map[string]Table                  // by server, also of servers whose entry was not read yet
	tableLog        []string                          // servers in the order in which their tables changed
	logged          int64                             // changes of tables before those in the log
	reports         int64                             // how many reports were taken over
	byService       map[string][]*Member              // usable for new work, in order of id; nil: to be sorted
	holders         map[platformapi.Adapter][]*Member // with a slot for the adapter

	lostAt clock.Millis // since when the store is away; 0: it is not
	backAt clock.Millis // when it came back from its last outage
}

type tombstone struct {
	revision int64
	born     int64 // start of the process that the entry was of
	at       clock.Millis
}

// New returns an empty fleet.
func New(options Options) *Fleet {
	return &Fleet{
		options: options, members: make(map[string]*Member),
		gone: make(map[string]tombstone), departures: make(map[string]departure), rests: make(map[string]clock.Millis),
		tables: make(map[string]Table), holders: make(map[platformapi.Adapter][]*Member),
	}
}

// Members returns all servers in order of id. The slice must not be changed. It is made
// anew only when a server comes or goes: the daemons look at all servers each 100 ms.
func (fleet *Fleet) Members() []*Member {
	if fleet.sorted == nil {
		fleet.sorted = slices.SortedFunc(maps.Values(fleet.members), byID)
	}
	return fleet.sorted
}

func byID(a, b *Member) int { return cmp.Compare(a.ID, b.ID) }

// Usable returns the servers of a service that may take new work, suspects
// included, in order of id. The slice must not be changed.
func (fleet *Fleet) Usable(service string) []*Member {
	if fleet.byService == nil {
		fleet.index()
	}
	return fleet.byService[service]
}

// Holders returns the servers that hold, load or are to load an adapter, of whatever
// service or state. The slice must not be changed.
func (fleet *Fleet) Holders(adapter platformapi.Adapter) []*Member {
	return fleet.holders[adapter]
}

// settle takes over what is known of a server's holdings.
func (fleet *Fleet) settle(member *Member) {
	before := member.slots
	member.settle()
	for adapter := range before {
		if _, held := member.slots[adapter]; !held {
			fleet.lost(member, adapter)
		}
	}
	for adapter := range member.slots {
		if _, held := before[adapter]; !held {
			fleet.holders[adapter] = append(fleet.holders[adapter], member)
		}
	}
}

// lost notes that a server has no slot for an adapter any more. The slice is made
// anew: it may be in use.
func (fleet *Fleet) lost(member *Member, adapter platformapi.Adapter) {
	left := make([]*Member, 0, len(fleet.holders[adapter]))
	for _, holder := range fleet.holders[adapter] {
		if holder != member {
			left = append(left, holder)
		}
	}
	if len(left) == 0 {
		delete(fleet.holders, adapter)
		return
	}
	fleet.holders[adapter] = left
}

// Put applies an entry of the store. It reports whether the entry is news. A process that
// has said that it leaves is not taken back to work by an entry.
func (fleet *Fleet) Put(server platformapi.Server, revision int64) bool {
	if revision <= fleet.gone[server.ID].revision {
		return false
	}
	member, known := fleet.members[server.ID]
	if known && revision < member.Revision {
		return false
	}
	if known && member.outdated(server.StartedAt) {
		member.Revision, member.lapsesAt = revision, 0
		return false
	}
	news := !known || revision > member.Revision
	server.Draining = fleet.leaves(server)
	if !known {
		member = &Member{
			Hash: xxhash.Sum64String(server.ID), table: fleet.tables[server.ID], recent: make(map[platformapi.Adapter]int), onDisk: make(map[string]bool),
			restsUntil: fleet.rests[server.ID],
		}
		fleet.members[server.ID] = member
		fleet.sorted = nil
	}
	if member.StartedAt != server.StartedAt {
		clear(member.recent) // it has restarted
	}
	moved := !known || member.Draining != server.Draining || member.Service != server.Service
	void := member.StartedAt != server.StartedAt || member.table.Fence == 0
	member.Server = server
	member.Revision = revision
	member.lapsesAt = 0
	if void || !known {
		fleet.settle(member) // else the table says more than the entry
	}
	delete(fleet.gone, server.ID)
	if moved {
		fleet.byService = nil
	}
	return news
}

// settle takes the holdings from the table of the daemon that gives orders; while there
// is none, or the server has restarted since, from its own report, or else its entry.
func (member *Member) settle() {
	if member.told() {
		member.adopt(member.table.Models, member.table.Slots)
		return
	}
	if member.reports() {
		member.adopt(slotsOf(member.reported))
		return
	}
	member.adopt(slotsOf(member.Models))
}

// slotsOf returns base models and adapters as a table names them.
func slotsOf(holdings []platformapi.Holding) (models []string, slots []Slot) {
	for _, holding := range holdings {
		models = append(models, holding.Model)
		for name, version := range holding.Adapters {
			slots = append(slots, Slot{Adapter: platformapi.Adapter{Model: holding.Model, Name: name}, Version: version})
		}
	}
	return models, slots
}

// SetTable takes over what the daemon that gives orders to a server says.
func (fleet *Fleet) SetTable(table Table) bool {
	known := fleet.tables[table.Server]
	older := table.Fence < known.Fence || table.Fence == known.Fence && table.Number <= known.Number
	if older {
		return false
	}
	fleet.tables[table.Server] = table
	fleet.noteTable(table.Server)
	if member, ok := fleet.members[table.Server]; ok {
		member.table = table
		fleet.settle(member)
		member.trim(fleet.options.Recent)
	}
	return true
}

// told reports whether a daemon that gives orders has said what the server holds since
// it started.
func (member *Member) told() bool {
	return member.table.Fence > 0 && member.table.Born >= member.StartedAt
}

// reports reports whether the server itself has said what it holds since it started.
func (member *Member) reports() bool {
	return member.reportRead && member.reportBorn >= member.StartedAt
}

// HoldingsUnknown reports whether neither a daemon nor the server itself has said what
// it holds.
func (member *Member) HoldingsUnknown() bool {
	return !member.told() && !member.reports()
}

// SetReport takes a server's own word, of the process that was born then, for what it
// holds. It counts until the daemon that gives orders tells.
func (fleet *Fleet) SetReport(id string, born int64, holdings []platformapi.Holding) {
	if member, ok := fleet.members[id]; ok {
		fleet.reports++
		member.reportRead, member.reportBorn, member.reported = true, born, holdings
		fleet.settle(member)
	}
}

// Reported returns a server's own word for what it holds and the start of the process
// that it is of, while no daemon that gives orders has told.
func (member *Member) Reported() (born int64, holdings []platformapi.Holding, ok bool) {
	return member.reportBorn, member.reported, member.reports() && !member.told()
}

// Tables returns what the daemons that give orders say, by server. It must not be
// changed.
func (fleet *Fleet) Tables() map[string]Table {
	return fleet.tables
}

// RecordOutageEnd notes that the store came back from an outage at a time, by a peer's word.
func (fleet *Fleet) RecordOutageEnd(at clock.Millis) {
	fleet.backAt = max(fleet.backAt, at)
}

// OutageEnd returns when the store came back from its last outage, 0 if there was none.
func (fleet *Fleet) OutageEnd() clock.Millis {
	return fleet.backAt
}

// MarkMissing notes that a server refused a request because it does not hold the
// adapter or model that it was thought to hold.
func (fleet *Fleet) MarkMissing(id string, adapter platformapi.Adapter) {
	member, ok := fleet.members[id]
	if !ok {
		return
	}
	if adapter.Name == "" {
		delete(member.models, adapter.Model)
		return
	}
	if _, held := member.slots[adapter]; held {
		delete(member.slots, adapter)
		fleet.lost(member, adapter)
	}
}

// Remove applies the removal of an entry. A server whose entry lapsed while the
// store was away is kept for a while: the entry may come back.
func (fleet *Fleet) Remove(now clock.Millis, id string, revision int64) {
	member, ok := fleet.members[id]
	if !ok || revision < member.Revision {
		return
	}
	if fleet.backAt > 0 && now < fleet.backAt+fleet.options.ReturnGrace {
		member.lapsesAt = fleet.backAt + fleet.options.ReturnGrace
		return
	}
	fleet.drop(now, member, revision)
}

func (fleet *Fleet) drop(now clock.Millis, member *Member, revision int64) {
	fleet.gone[member.ID] = tombstone{revision: revision, born: member.StartedAt, at: now}
	fleet.removed(now, member.ID)
	delete(fleet.members, member.ID)
	fleet.sorted = nil
	for adapter := range member.slots {
		fleet.lost(member, adapter)
	}
	fleet.byService = nil
}

// Retain applies a whole reading of the store: servers that it does not list are
// removed.
func (fleet *Fleet) Retain(now clock.Millis, listed map[string]bool, asOf int64) {
	for id := range fleet.members {
		if !listed[id] {
			fleet.Remove(now, id, asOf)
		}
	}
}

// StoreUnavailable notes that the store does not answer.
func (fleet *Fleet) StoreUnavailable(now clock.Millis) {
	if fleet.lostAt == 0 {
		fleet.lostAt = now
	}
}

// StoreAvailable notes that the store answers.
func (fleet *Fleet) StoreAvailable(now clock.Millis) {
	if fleet.lostAt > 0 && now-fleet.lostAt >= fleet.options.OutageSpan {
		fleet.backAt = now
	}
	fleet.lostAt = 0
}

// Tick drops servers whose entries did not come back, and returns their ids.
func (fleet *Fleet) Tick(now clock.Millis) []string {
	var dropped []string
	for id, member := range fleet.members {
		if member.lapsesAt > 0 && now >= member.lapsesAt {
			fleet.drop(now, member, member.Revision)
			dropped = append(dropped, id)
		}
	}
	for id, stone := range fleet.gone {
		if now-stone.at > fleet.options.Tombstone {
			delete(fleet.gone, id)
			delete(fleet.tables, id)
		}
	}
	fleet.forgetDepartures(now)
	fleet.forgetRests(now)
	return dropped
}

// index sorts the servers that may take new work by service. It is done when they are
// next asked for, and not with each server that comes: a daemon that starts before 3,000
// servers hears of them one after another.
func (fleet *Fleet) index() {
	fleet.byService = make(map[string][]*Member)
	for _, member := range fleet.Members() {
		if !member.Draining {
			fleet.byService[member.Service] = append(fleet.byService[member.Service], member)
		}
	}
}
