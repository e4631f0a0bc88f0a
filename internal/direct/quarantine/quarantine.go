// Package quarantine decides which requests are refused because server processes have ended
// while they ran requests with the same content. It covers the case that a request that
// crashes every server that runs it is repeated under other ids, at any daemon, and each time
// destroys the work of the server's other callers. It does no I/O and reads no clock.
//
// A content that many callers ask for may be in progress at servers that fail together for
// another reason. A daemon that has recently seen a response to a content therefore does not
// count the end of a server against it, and clears the records of other daemons on it.
//
// Each daemon keeps a List. For each content it records the servers that ended while they had
// a request with it. Once there are Options.Servers of them, the content is refused for a span
// that grows with each further server; then single requests are let through again. A response
// clears the record: a content that one server can answer does not crash every server. All
// requests that a server had when it ended are recorded, as nothing shows which of them was
// the cause; only a content that is requested again can be recorded for a second server.
// Daemons send each other their records, which can be merged in any order.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
)

// Options are the limits of a list.
type Options struct {
	// Servers is how many servers must have ended while running a content before it is
	// refused.
	Servers int
	// FirstSpan is how long the content is refused then. The span is multiplied by Growth for
	// each further server, up to MostSpan.
	FirstSpan, MostSpan clock.Millis
	Growth              int
	// Spread is the share of a span by which the spans of daemons differ, so that not all of
	// them let the content through at the same moment.
	Spread float64
	// Keep is how long a record is kept after it has stopped having an effect.
	Keep clock.Millis
	// Records is the maximum number of records in the list.
	Records int
	// Trust is for how long at least no end of a server is counted against a content that was
	// answered. Answers is how many such contents are remembered at least.
	Trust   clock.Millis
	Answers int
}

// DefaultOptions returns limits under which a crashing request that is repeated without end
// takes down two servers, further ones after 5 s, 50 s and so on, and finally one a day. The
// first span is short, as a content that many callers ask for may be in progress at two
// servers that fail together.
func DefaultOptions() Options {
	return Options{
		Servers: 2, FirstSpan: 5 * clock.Second, MostSpan: 24 * clock.Hour, Growth: 10,
		Spread: 1, Keep: 10 * clock.Minute, Records: 2048,
		Trust: 30 * clock.Second, Answers: 512,
	}
}

// Record lists the servers that ended while running a content. Between two records of the
// same content the one with the higher number wins; with equal numbers their servers are
// united.
type Record struct {
	Content content.ID
	Number  int64 // increases with each response that clears the record
	Servers []string
	Age     clock.Millis // time since the last server ended or the record was cleared
}

// entry is a record in a list.
type entry struct {
	number    int64
	servers   map[string]bool
	updatedAt clock.Millis
	revision  int64 // revision of the list at which the entry changed last
}

// List holds what a daemon knows of the contents that servers were running when they ended.
type List struct {
	options    Options
	daemonHash uint64 // hash of the daemon's name
	entries    map[content.ID]*entry
	answers    *recentSet[content.ID]
	revision   int64
}

// New returns the empty list of a daemon.
func New(options Options, daemon string) *List {
	return &List{options: options, daemonHash: xxhash.Sum64String(daemon), entries: make(map[content.ID]*entry), answers: newRecentSet[content.ID](options.Trust, options.Answers)}
}

// ServerEnded records that a server ended while it had a request with a content, unless a
// response to the content was seen recently at this daemon.
func (list *List) ServerEnded(now clock.Millis, id content.ID, server string) {
	if list.answers.has(now, id) {
		return
	}
	record := Record{Content: id, Servers: []string{server}}
	if entry, ok := list.entries[id]; ok {
		record.Number = entry.number
	}
	list.Merge(now, []Record{record})
}

// Answered records that a server answered a request with a content. It reports whether that
// cleared a record.
func (list *List) Answered(now clock.Millis, id content.ID) bool {
	list.answers.add(now, id)
	return list.clear(now, id)
}

// clear removes the servers recorded for a content. It reports whether there were any.
func (list *List) clear(now clock.Millis, id content.ID) bool {
	entry, ok := list.entries[id]
	if !ok || len(entry.servers) == 0 {
		return false
	}
	return list.mergeRecord(now, Record{Content: id, Number: entry.number + 1})
}

// RefusedFor returns for how much longer requests with a content are refused, or 0 if they are
// not.
func (list *List) RefusedFor(now clock.Millis, id content.ID) clock.Millis {
	entry, ok := list.entries[id]
	if !ok || len(entry.servers) < list.options.Servers {
		return 0
	}
	span := list.refusalSpan(entry)
	return max(0, entry.updatedAt+span+list.extraSpan(id, span)-now)
}

// ServerCount returns how many servers have ended while running a content.
func (list *List) ServerCount(id content.ID) int {
	entry, ok := list.entries[id]
	if !ok {
		return 0
	}
	return len(entry.servers)
}

// RefusedCount returns how many contents are refused now.
func (list *List) RefusedCount(now clock.Millis) int {
	count := 0
	for id := range list.entries {
		if list.RefusedFor(now, id) > 0 {
			count++
		}
	}
	return count
}

// refusalSpan returns how long a content is refused after the last server ended. It needs at
// least Options.Servers servers.
func (list *List) refusalSpan(entry *entry) clock.Millis {
	span := list.options.FirstSpan
	for range len(entry.servers) - list.options.Servers {
		span = min(span*clock.Millis(list.options.Growth), list.options.MostSpan)
	}
	return span
}

// extraSpan returns the daemon's own extension of a span, from 0 up to the share
// Options.Spread of it.
func (list *List) extraSpan(id content.ID, span clock.Millis) clock.Millis {
	drawn := float64((list.daemonHash^binary.BigEndian.Uint64(id[:]))*hashMultiplier>>32) / (1 << 32)
	return clock.Millis(list.options.Spread * drawn * float64(span))
}

// hashMultiplier spreads the bits of a hash (Fibonacci hashing: 2^64 divided by the golden
// ratio).
const hashMultiplier = 0x9E3779B97F4A7C15

// Merge applies the records of another daemon. It reports whether any record changed.
func (list *List) Merge(now clock.Millis, records []Record) bool {
	changed := false
	for _, record := range records {
		if list.mergeRecord(now, record) {
			changed = true
		}
		if list.answers.has(now, record.Content) {
			list.clear(now, record.Content)
		}
	}
	if len(list.entries) > list.options.Records {
		list.evict()
	}
	return changed
}

// mergeRecord applies one record. It reports whether the entry changed.
func (list *List) mergeRecord(now clock.Millis, record Record) bool {
	known, ok := list.entries[record.Content]
	if ok && record.Number < known.number {
		return false
	}
	if !ok || record.Number > known.number {
		known = &entry{number: record.Number, servers: make(map[string]bool)}
	}
	before := len(known.servers)
	for _, server := range record.Servers {
		known.servers[server] = true
	}
	if list.entries[record.Content] == known && len(known.servers) == before {
		return false
	}
	known.updatedAt = max(known.updatedAt, now-record.Age)
	list.revision++
	known.revision = list.revision
	list.entries[record.Content] = known
	return true
}

// evict removes the records with the fewest servers, the oldest of these first, until a tenth
// of the list is free.
func (list *List) evict() {
	ids := slices.SortedFunc(maps.Keys(list.entries), func(a, b content.ID) int {
		first, second := list.entries[a], list.entries[b]
		return cmp.Or(cmp.Compare(len(first.servers), len(second.servers)), cmp.Compare(first.updatedAt, second.updatedAt))
	})
	for _, id := range ids[:len(ids)-list.options.Records+list.options.Records/10] {
		delete(list.entries, id)
	}
}

// Revision returns the revision of the list. It increases with each change.
func (list *List) Revision() int64 {
	return list.revision
}

// ChangedSince returns the records that have changed after the given revision.
func (list *List) ChangedSince(now clock.Millis, revision int64) []Record {
	if revision >= list.revision {
		return nil
	}
	var records []Record
	for id, entry := range list.entries {
		if entry.revision > revision {
			records = append(records, Record{Content: id, Number: entry.number, Servers: slices.Sorted(maps.Keys(entry.servers)), Age: now - entry.updatedAt})
		}
	}
	return records
}

// Prune removes records that have had no effect for Options.Keep.
func (list *List) Prune(now clock.Millis) {
	maps.DeleteFunc(list.entries, func(id content.ID, entry *entry) bool {
		kept := list.options.Keep
		if len(entry.servers) >= list.options.Servers {
			kept += 2 * list.refusalSpan(entry) // the span after the next end is computed from this record
		}
		return now-entry.updatedAt >= kept
	})
}
