// Package fleet holds a daemon's view of the backend servers: which ones exist, which may
// take new work, what each holds, and which of them fail. It does no I/O and reads no clock.
// The requests in progress at the servers are counted by package inflight.
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
	// ReturnGrace is how long a server whose entry is missing after an outage of the
	// store is still used. The platform restores entries of live servers within 2 s.
	ReturnGrace clock.Millis
	// FirstBackoff and MostBackoff are the minimum and maximum time for which a server
	// that cannot be reached gets no work. The minimum is short because a server may
	// refuse the connections of a single caller; the maximum bounds the delay until a
	// restarted server is used.
	FirstBackoff, MostBackoff clock.Millis
	// TroubleHalfLife is the time in which a server's failure rate halves.
	TroubleHalfLife clock.Millis
	// Recent is how many adapters a server keeps cached after it has unloaded them: it
	// loads those ten times as fast and not from the weight store.
	Recent int
	// Tombstone is how long the removal or draining of a server is remembered, so that
	// an older entry from a peer does not restore it.
	Tombstone clock.Millis
}

// DefaultOptions returns the options that follow from the platform's documentation.
func DefaultOptions() Options {
	return Options{
		ReturnGrace:  2*clock.Second + 300,
		FirstBackoff: 150, MostBackoff: 1600,
		TroubleHalfLife: 2 * clock.Second, Recent: 80, Tombstone: clock.Minute,
	}
}

// Fleet is the set of backend servers.
type Fleet struct {
	options    Options
	members    map[string]*Member
	sorted     []*Member              // the members in order of id; nil: must be rebuilt
	tombstones map[string]tombstone   // by server that was removed
	draining   map[string]drainRecord // by server
	// noticeCount counts the drain notices that were new.
	noticeCount int64
	pauses      map[string]clock.Millis           // by server that asked for a pause: its end
	tables      map[string]Table                  // by server, including servers whose entry was not read yet
	tableLog    []string                          // servers in the order in which their tables changed
	logOffset   int64                             // number of table changes before those in the log
	reports     int64                             // number of reports applied
	byService   map[string][]*Member              // servers that may take new work, in order of id; nil: must be rebuilt
	holders     map[platformapi.Adapter][]*Member // servers with a slot for the adapter

	outageEnd clock.Millis // end of the store's last outage; 0: there was none
}

// tombstone records the removal of a server's entry.
type tombstone struct {
	revision  int64
	startedAt int64 // start of the process that the entry belonged to
	at        clock.Millis
}

// New returns an empty fleet.
func New(options Options) *Fleet {
	return &Fleet{
		options: options, members: make(map[string]*Member),
		tombstones: make(map[string]tombstone), draining: make(map[string]drainRecord), pauses: make(map[string]clock.Millis),
		tables: make(map[string]Table), holders: make(map[platformapi.Adapter][]*Member),
	}
}

// Members returns all servers in order of id. The slice must not be modified. It is rebuilt
// only when a server is added or removed, as the daemons go through all servers every 100 ms.
func (fleet *Fleet) Members() []*Member {
	if fleet.sorted == nil {
		fleet.sorted = slices.SortedFunc(maps.Values(fleet.members), byID)
	}
	return fleet.sorted
}

func byID(a, b *Member) int { return cmp.Compare(a.ID, b.ID) }

// Usable returns the servers of a service that may take new work, in order of id. It includes
// servers that could not be reached recently. The slice must not be modified.
func (fleet *Fleet) Usable(service string) []*Member {
	if fleet.byService == nil {
		fleet.rebuildIndex()
	}
	return fleet.byService[service]
}

// Holders returns the servers that hold an adapter, are loading it or are to load it, of any
// service and in any state. The slice must not be modified.
func (fleet *Fleet) Holders(adapter platformapi.Adapter) []*Member {
	return fleet.holders[adapter]
}

// updateHoldings updates the holdings of a server and the index of holders.
func (fleet *Fleet) updateHoldings(member *Member) {
	before := member.slots
	member.updateHoldings()
	for adapter := range before {
		if _, held := member.slots[adapter]; !held {
			fleet.removeHolder(member, adapter)
		}
	}
	for adapter := range member.slots {
		if _, held := before[adapter]; !held {
			fleet.holders[adapter] = append(fleet.holders[adapter], member)
		}
	}
}

// removeHolder removes a server from the holders of an adapter. It makes a new slice, as the
// old one may be in use.
func (fleet *Fleet) removeHolder(member *Member, adapter platformapi.Adapter) {
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

// Put applies an entry of the store and reports whether it is new. An entry does not end the
// draining of a process that has announced it.
func (fleet *Fleet) Put(server platformapi.Server, revision int64) bool {
	if revision <= fleet.tombstones[server.ID].revision {
		return false
	}
	member, known := fleet.members[server.ID]
	if known && revision < member.Revision {
		return false
	}
	if known && member.isOutdated(server.StartedAt) {
		member.recordSoftware(server)
		member.Revision, member.expiresAt = revision, 0
		return false
	}
	isNew := !known || revision > member.Revision
	server.Draining = fleet.updateDraining(server)
	if !known {
		member = &Member{
			Hash: xxhash.Sum64String(server.ID), table: fleet.tables[server.ID], recent: make(map[platformapi.Adapter]int), onDisk: make(map[string]bool),
			pausedUntil: fleet.pauses[server.ID],
		}
		fleet.members[server.ID] = member
		fleet.sorted = nil
	}
	member.updateSoftware(&server)
	member.recordSoftware(server)
	if member.StartedAt != server.StartedAt {
		fleet.forgetProcess(member)
	}
	indexChanged := !known || member.Draining != server.Draining || member.Service != server.Service
	stale := member.StartedAt != server.StartedAt || member.table.Fence == 0
	member.Server = server
	member.sighted = false
	member.Revision = revision
	member.expiresAt = 0
	if stale || !known {
		fleet.updateHoldings(member) // otherwise the table is more recent than the entry
	}
	delete(fleet.tombstones, server.ID)
	if indexChanged {
		fleet.byService = nil
	}
	return isNew
}

// updateHoldings updates the holdings from the owner's table. If there is none, or the server
// has restarted since, it uses the server's own report, or its entry if there is no report.
func (member *Member) updateHoldings() {
	if member.hasTable() {
		member.setHoldings(member.table.Models, member.table.Slots)
		return
	}
	if member.hasReport() {
		member.setHoldings(slotsOf(member.reported))
		return
	}
	member.setHoldings(slotsOf(member.Models))
}

// slotsOf converts holdings to the base models and slots of a table.
func slotsOf(holdings []platformapi.Holding) (models []string, slots []Slot) {
	for _, holding := range holdings {
		models = append(models, holding.Model)
		for name, version := range holding.Adapters {
			slots = append(slots, Slot{Adapter: platformapi.Adapter{Model: holding.Model, Name: name}, Version: version})
		}
	}
	return models, slots
}

// SetTable applies the table of a server's owner and reports whether it is new.
func (fleet *Fleet) SetTable(table Table) bool {
	known := fleet.tables[table.Server]
	older := table.Fence < known.Fence || table.Fence == known.Fence && table.Number <= known.Number
	if older {
		return false
	}
	fleet.tables[table.Server] = table
	fleet.logTable(table.Server)
	if member, ok := fleet.members[table.Server]; ok {
		member.table = table
		fleet.updateHoldings(member)
		member.trimRecent(fleet.options.Recent)
	}
	return true
}

// hasTable reports whether there is an owner's table since the start of the server's process.
func (member *Member) hasTable() bool {
	return member.table.Fence > 0 && member.table.Born >= member.StartedAt
}

// hasReport reports whether there is a report of the server since the start of its process.
func (member *Member) hasReport() bool {
	return member.reportRead && member.reportStartedAt >= member.StartedAt
}

// HoldingsUnknown reports whether there is neither an owner's table nor a report of the
// server's present process.
func (member *Member) HoldingsUnknown() bool {
	return !member.hasTable() && !member.hasReport()
}

// SetReport applies a server's own report of what it holds. StartedAt is the start of the
// reporting process. The report is used until the server's owner sends a table.
func (fleet *Fleet) SetReport(id string, startedAt int64, holdings []platformapi.Holding) {
	if member, ok := fleet.members[id]; ok {
		fleet.reports++
		member.reportRead, member.reportStartedAt, member.reported = true, startedAt, holdings
		fleet.updateHoldings(member)
	}
}

// Reported returns a server's own report of what it holds and the start of the reporting
// process. It returns false once the server's owner has sent a table.
func (member *Member) Reported() (startedAt int64, holdings []platformapi.Holding, ok bool) {
	return member.reportStartedAt, member.reported, member.hasReport() && !member.hasTable()
}

// Tables returns the tables of the servers' owners, by server. The map must not be modified.
func (fleet *Fleet) Tables() map[string]Table {
	return fleet.tables
}

// RecordOutageEnd records the end of an outage of the store.
func (fleet *Fleet) RecordOutageEnd(at clock.Millis) {
	fleet.outageEnd = max(fleet.outageEnd, at)
}

// OutageEnd returns the end of the store's last outage, or 0 if there was none.
func (fleet *Fleet) OutageEnd() clock.Millis {
	return fleet.outageEnd
}

// MarkMissing records that a server refused a request because it does not hold the adapter or
// base model that this daemon expected there.
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
		fleet.removeHolder(member, adapter)
	}
}

// Remove applies the removal of an entry. A server whose entry expired during an outage of
// the store is kept for ReturnGrace, as the entry may be restored.
func (fleet *Fleet) Remove(now clock.Millis, id string, revision int64) {
	member, ok := fleet.members[id]
	if !ok || revision < member.Revision {
		return
	}
	if fleet.outageEnd > 0 && now < fleet.outageEnd+fleet.options.ReturnGrace {
		member.expiresAt = fleet.outageEnd + fleet.options.ReturnGrace
		return
	}
	fleet.removeMember(now, member, revision)
}

// removeMember removes a server and leaves a tombstone.
func (fleet *Fleet) removeMember(now clock.Millis, member *Member, revision int64) {
	fleet.tombstones[member.ID] = tombstone{revision: revision, startedAt: member.StartedAt, at: now}
	fleet.recordRemoval(now, member.ID)
	delete(fleet.members, member.ID)
	fleet.sorted = nil
	for adapter := range member.slots {
		fleet.removeHolder(member, adapter)
	}
	fleet.byService = nil
}

// Retain applies a complete read of the store at a revision: servers that are not listed
// are removed.
func (fleet *Fleet) Retain(now clock.Millis, listed map[string]bool, asOf int64) {
	for id := range fleet.members {
		if !listed[id] {
			fleet.Remove(now, id, asOf)
		}
	}
}

// Tick removes servers whose entries were not restored in time, and returns their ids. It
// also drops expired tombstones with their tables, drain records and pauses.
func (fleet *Fleet) Tick(now clock.Millis) []string {
	var dropped []string
	for id, member := range fleet.members {
		if member.expiresAt > 0 && now >= member.expiresAt {
			fleet.removeMember(now, member, member.Revision)
			dropped = append(dropped, id)
		}
	}
	for id, stone := range fleet.tombstones {
		if now-stone.at > fleet.options.Tombstone {
			delete(fleet.tombstones, id)
			delete(fleet.tables, id)
		}
	}
	fleet.expireDrainRecords(now)
	fleet.expirePauses(now)
	return dropped
}

// rebuildIndex rebuilds the servers that may take new work, by service. Usable calls it when
// needed. It is not rebuilt with each added server, as a starting daemon reads up to 3,000
// entries one after another.
func (fleet *Fleet) rebuildIndex() {
	fleet.byService = make(map[string][]*Member)
	for _, member := range fleet.Members() {
		if !member.Draining {
			fleet.byService[member.Service] = append(fleet.byService[member.Service], member)
		}
	}
}
