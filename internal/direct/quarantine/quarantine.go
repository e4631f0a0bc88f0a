// Package quarantine decides which requests are refused because servers have ended under
// requests with the same content. It answers this load: a request that crashes each server
// that runs it comes again and again under other ids, at any daemon, and each time takes
// the work of a server's other callers with it. It does no I/O and reads no clock.
//
// What many callers ask for may be in progress at servers that fail together for another
// reason: a daemon that has answered a content of late does not count it, and vouches for it.
//
// Each daemon keeps a List. A content collects the servers that ended while they had a
// request with it. With Options.Servers of them it is refused for a span that grows with
// each further one; then single requests are let through again. An answer clears it: what
// one server answers does not crash each. All requests that a server had when it ended
// are noted, as nothing tells which of them ended it; only one that comes again meets a
// second end. Daemons tell each other their records, which merge in any order.
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
	// Servers is how many servers end under a content before it is refused.
	Servers int
	// FirstSpan is how long it is refused then, and Growth by how much longer after each
	// further server; MostSpan bounds it.
	FirstSpan, MostSpan clock.Millis
	Growth              int
	// Spread is the part of a span by which daemons differ, so that not all of them let
	// the content through at the same moment.
	Spread float64
	// Keep is how long a record is kept beyond its use.
	Keep clock.Millis
	// Records bounds the list.
	Records int
	// Trust is for how long at least a content that was answered does not count as one that
	// ends servers, and Answers how many such contents are remembered at least.
	Trust   clock.Millis
	Answers int
}

// DefaultOptions returns limits under which a request that never stops coming ends two
// servers, further ones after 5 s, 50 s and so on, and one a day in the end. The first span
// is short: what many callers ask for may be in progress at two servers that fail together.
func DefaultOptions() Options {
	return Options{
		Servers: 2, FirstSpan: 5 * clock.Second, MostSpan: 24 * clock.Hour, Growth: 10,
		Spread: 1, Keep: 10 * clock.Minute, Records: 2048,
		Trust: 30 * clock.Second, Answers: 512,
	}
}

// Record is what is known of a content. Of two records of it the one with the higher
// number counts; with the same number the servers of both do.
type Record struct {
	Content content.ID
	Number  int64 // rises with each answer that clears the record
	Servers []string
	Age     clock.Millis // since a server ended last, or the record was cleared
}

// entry is a record in a list.
type entry struct {
	number  int64
	servers map[string]bool
	at      clock.Millis
	change  int64 // of the list, by which it became what it is
}

// List is what a daemon knows of contents under which servers ended.
type List struct {
	options Options
	daemon  uint64 // hash of the daemon's name
	entries map[content.ID]*entry
	answers *recent[content.ID]
	changes int64
}

// New returns the empty list of a daemon.
func New(options Options, daemon string) *List {
	return &List{options: options, daemon: xxhash.Sum64String(daemon), entries: make(map[content.ID]*entry), answers: newRecent[content.ID](options.Trust, options.Answers)}
}

// ServerEnded notes that a server ended which had a request with a content, unless the content was
// answered here of late.
func (list *List) ServerEnded(now clock.Millis, id content.ID, server string) {
	if list.answers.has(now, id) {
		return
	}
	record := Record{Content: id, Servers: []string{server}}
	if known, ok := list.entries[id]; ok {
		record.Number = known.number
	}
	list.Merge(now, []Record{record})
}

// Answered notes that a server answered a request with a content. It reports whether that
// is news.
func (list *List) Answered(now clock.Millis, id content.ID) bool {
	list.answers.add(now, id)
	return list.clear(now, id)
}

// clear drops what counts against a content. It reports whether there was anything.
func (list *List) clear(now clock.Millis, id content.ID) bool {
	known, ok := list.entries[id]
	if !ok || len(known.servers) == 0 {
		return false
	}
	return list.merge(now, Record{Content: id, Number: known.number + 1})
}

// RefusedFor returns for how much longer requests with a content are refused; 0: they are not.
func (list *List) RefusedFor(now clock.Millis, id content.ID) clock.Millis {
	known, ok := list.entries[id]
	if !ok || len(known.servers) < list.options.Servers {
		return 0
	}
	span := list.span(known)
	return max(0, known.at+span+list.spread(id, span)-now)
}

// ServerCount returns how many servers have ended under a content.
func (list *List) ServerCount(id content.ID) int {
	known, ok := list.entries[id]
	if !ok {
		return 0
	}
	return len(known.servers)
}

// RefusedCount returns how many contents are refused.
func (list *List) RefusedCount(now clock.Millis) int {
	count := 0
	for id := range list.entries {
		if list.RefusedFor(now, id) > 0 {
			count++
		}
	}
	return count
}

// span is how long a content is refused after the last server's end.
func (list *List) span(known *entry) clock.Millis {
	span := list.options.FirstSpan
	for range len(known.servers) - list.options.Servers {
		span = min(span*clock.Millis(list.options.Growth), list.options.MostSpan)
	}
	return span
}

// spread is by how much longer this daemon refuses a content than the first one does.
func (list *List) spread(id content.ID, span clock.Millis) clock.Millis {
	drawn := float64((list.daemon^binary.BigEndian.Uint64(id[:]))*mixer>>32) / (1 << 32)
	return clock.Millis(list.options.Spread * drawn * float64(span))
}

// mixer spreads a hash over all bits (the golden ratio times 2^64).
const mixer = 0x9E3779B97F4A7C15

// Merge takes over what another daemon knows. It reports whether that is news.
func (list *List) Merge(now clock.Millis, records []Record) bool {
	news := false
	for _, record := range records {
		if list.merge(now, record) {
			news = true
		}
		if list.answers.has(now, record.Content) {
			list.clear(now, record.Content)
		}
	}
	if len(list.entries) > list.options.Records {
		list.drop()
	}
	return news
}

func (list *List) merge(now clock.Millis, record Record) bool {
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
	known.at = max(known.at, now-record.Age)
	list.changes++
	known.change = list.changes
	list.entries[record.Content] = known
	return true
}

// drop forgets the records with the fewest servers, of these the oldest, until there is
// room for some more.
func (list *List) drop() {
	ids := slices.SortedFunc(maps.Keys(list.entries), func(a, b content.ID) int {
		first, second := list.entries[a], list.entries[b]
		return cmp.Or(cmp.Compare(len(first.servers), len(second.servers)), cmp.Compare(first.at, second.at))
	})
	for _, id := range ids[:len(ids)-list.options.Records+list.options.Records/10] {
		delete(list.entries, id)
	}
}

// Revision rises with each change of the list.
func (list *List) Revision() int64 {
	return list.changes
}

// ChangedSince returns the records that have changed after a change of the list.
func (list *List) ChangedSince(now clock.Millis, change int64) []Record {
	if change >= list.changes {
		return nil
	}
	var records []Record
	for id, known := range list.entries {
		if known.change > change {
			records = append(records, Record{Content: id, Number: known.number, Servers: slices.Sorted(maps.Keys(known.servers)), Age: now - known.at})
		}
	}
	return records
}

// Prune forgets what has been of no use for long.
func (list *List) Prune(now clock.Millis) {
	maps.DeleteFunc(list.entries, func(id content.ID, known *entry) bool {
		kept := list.options.Keep
		if len(known.servers) >= list.options.Servers {
			kept += 2 * list.span(known) // the span of the next end grows from this one
		}
		return now-known.at >= kept
	})
}
