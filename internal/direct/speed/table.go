// Package speed estimates how fast model engines produce events, relative to the others of their
// service. It covers the case that engines of one service differ, or are slow for a while, and
// requests are sent to all of them as if they were equal. It does no I/O and reads no clock.
//
// Each daemon measures the streams that it relays (Meter, Collector) and reports to the owners
// of the servers. An owner averages the reports and publishes an estimate when it has changed
// (Observe, Publish). Estimates reach all daemons by gossip (ChangedSince, Merge), and each
// daemon computes factors from those that it knows (Factor).
package speed

import (
	"container/list"
	"math"
	"slices"

	"teaselmoor/internal/base/clock"
)

// Options are the limits of the estimates.
type Options struct {
	// Enabled turns the estimates on.
	Enabled bool
	// ReportInterval is the time between two reports of a daemon on a server, and between its
	// messages to an owner.
	ReportInterval clock.Millis
	// GossipInterval is the time between two messages with estimates to the same peer. A hub
	// would otherwise send each of its peers a message for each owner's change.
	GossipInterval clock.Millis
	// PublishRate is the number of changed estimates a second that all owners together publish.
	// An estimate takes 40 bytes, and every daemon receives all of them.
	PublishRate float64
	// UnreachedFade is the time after which the estimate of a server whose owner cannot be
	// reached fades to 1, and the time that this takes. 0: as for other estimates without an
	// update, which is much later than a slow period usually lasts.
	UnreachedFade clock.Millis
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{Enabled: true, ReportInterval: 500, GossipInterval: 250, PublishRate: 12, UnreachedFade: 5 * clock.Second}
}

// Estimate is the published estimate of a server. Of two, the one of the later process of the
// server is newer, then the one with the higher fence, then the one with the higher number.
type Estimate struct {
	Server   string
	Born     int64 // start of the server's process
	Fence    int64 // fencing number of the owner that published it
	Number   int64 // increases with each estimate of the process
	Interval float64
	Idle     bool // no stream has been measured there for fadeAfter: every daemon lets the factor fade
}

// supersedes reports whether an estimate replaces another one of the same server.
func (estimate Estimate) supersedes(other Estimate) bool {
	switch {
	case estimate.Born != other.Born:
		return estimate.Born > other.Born
	case estimate.Fence != other.Fence:
		return estimate.Fence > other.Fence
	default:
		return estimate.Number > other.Number
	}
}

// valid reports whether an estimate has an interval that can be divided by.
func (estimate Estimate) valid() bool {
	return estimate.Interval > 0 && !math.IsInf(estimate.Interval, 0)
}

// Server is a server whose speed matters, as the daemon knows it.
type Server struct {
	ID      string
	Service string
	Born    int64
}

// entry is the newest known estimate of a server.
type entry struct {
	estimate    Estimate
	receivedAt  clock.Millis // when this daemon learned of it
	goneAt      clock.Millis // since when its server is not known; 0: it is
	unreachedAt clock.Millis // since when its server's owner cannot be reached; 0: it can
	revision    int64
}

// Table holds the estimates that one daemon knows, and the averages of the servers that it owns.
type Table struct {
	options   Options
	servers   map[string]Server
	services  map[string][]int // indexes of values, by service
	entries   map[string]*list.Element
	order     *list.List // of *entry, the most recently changed last
	averages  map[string]*average
	bucket    bucket
	revision  int64
	contactAt clock.Millis // when this daemon last had contact with others

	values     []value        // in the order of SetServers
	index      map[string]int // of values, by server
	lastIndex  int            // of the value that was last found
	valuesAt   clock.Millis   // when values were computed; 0: not yet
	outOfDate  bool           // something has changed since
	slowCount  int
	fastest    float64 // highest factor; 0: not computed yet
	sortBuffer []float64
}

// New returns a table without estimates.
func New(options Options) *Table {
	return &Table{
		options: options, servers: make(map[string]Server), services: make(map[string][]int),
		entries: make(map[string]*list.Element), order: list.New(), averages: make(map[string]*average),
		index: make(map[string]int),
	}
}

// goneLifetime is how long the estimate of a server that this daemon does not know is kept. A
// starting daemon gets estimates before it has read which servers there are, and an entry may be
// missing for a while after the store was restored.
const goneLifetime = clock.Minute

// SetServers replaces the servers. It drops the estimates of earlier processes, and after
// goneLifetime those of servers that are gone.
func (table *Table) SetServers(now clock.Millis, servers []Server) {
	if len(servers) != len(table.servers) || slices.ContainsFunc(servers, func(server Server) bool { return table.servers[server.ID] != server }) {
		clear(table.servers)
		clear(table.services)
		clear(table.index)
		table.values, table.lastIndex = make([]value, len(servers)), 0
		for i, server := range servers {
			table.servers[server.ID] = server
			table.services[server.Service] = append(table.services[server.Service], i)
			table.index[server.ID] = i
			table.values[i] = value{server: server.ID, factor: 1}
		}
		table.valuesAt = 0
		table.outOfDate = true
	}
	for id, element := range table.entries {
		known := element.Value.(*entry)
		server, ok := table.servers[id]
		switch {
		case ok && known.estimate.Born < server.Born:
			table.drop(id)
		case ok:
			known.goneAt = 0
		case known.goneAt == 0:
			known.goneAt = now
		case now-known.goneAt >= goneLifetime:
			table.drop(id)
		}
	}
	for id, average := range table.averages {
		if average.born < table.servers[id].Born {
			delete(table.averages, id)
		}
	}
}

// drop removes the estimate of a server.
func (table *Table) drop(server string) {
	table.order.Remove(table.entries[server])
	delete(table.entries, server)
	table.outOfDate = true
}

// lookup returns the entry of a server.
func (table *Table) lookup(server string) (*entry, bool) {
	element, ok := table.entries[server]
	if !ok {
		return nil, false
	}
	return element.Value.(*entry), true
}

// Merge applies the estimates that another daemon knows. It reports whether any was new.
func (table *Table) Merge(now clock.Millis, received []Estimate) (changed bool) {
	for _, estimate := range received {
		if !estimate.valid() || estimate.Born < table.servers[estimate.Server].Born {
			continue
		}
		if known, ok := table.lookup(estimate.Server); !ok || estimate.supersedes(known.estimate) {
			table.replace(now, estimate)
			changed = true
		}
	}
	return changed
}

// replace replaces the estimate of a server.
func (table *Table) replace(now clock.Millis, estimate Estimate) {
	table.revision++
	table.outOfDate = true
	element, ok := table.entries[estimate.Server]
	if !ok {
		element = table.order.PushBack(&entry{})
		table.entries[estimate.Server] = element
	}
	table.order.MoveToBack(element)
	known := element.Value.(*entry)
	known.estimate, known.receivedAt, known.revision = estimate, now, table.revision
}

// Revision returns the revision of the table. It increases with each change.
func (table *Table) Revision() int64 {
	return table.revision
}

// ChangedSince returns the estimates that have changed after the given revision.
func (table *Table) ChangedSince(revision int64) []Estimate {
	var changed []Estimate
	for element := table.order.Back(); element != nil; element = element.Prev() {
		known := element.Value.(*entry)
		if known.revision <= revision {
			break
		}
		changed = append(changed, known.estimate)
	}
	return changed
}

// Contact records that this daemon is in contact with the daemons that forward estimates to it.
// As long as it is, an estimate that has not changed still holds.
func (table *Table) Contact(now clock.Millis) {
	table.contactAt = max(table.contactAt, now)
}

// SetReached records which servers have owners whose estimates can reach this daemon, and returns
// the number of estimates that fade because their owners cannot. Servers that this daemon does not
// know do not count: nobody owns a server that was removed, but its estimate is kept for goneLifetime.
func (table *Table) SetReached(now clock.Millis, reached func(server string) bool) (fading int) {
	if table.options.UnreachedFade <= 0 {
		return 0
	}
	for server, element := range table.entries {
		known := element.Value.(*entry)
		before := known.unreachedAt
		_, present := table.servers[server]
		switch {
		case !present || reached(server):
			known.unreachedAt = 0
		case before == 0:
			known.unreachedAt = now
		}
		if table.unreachedShare(now, known) > 0 {
			fading++
		} else if before == known.unreachedAt {
			continue
		}
		table.outOfDate = true
	}
	return fading
}

// ServerCount returns the number of servers whose speed matters.
func (table *Table) ServerCount() int {
	return len(table.servers)
}
