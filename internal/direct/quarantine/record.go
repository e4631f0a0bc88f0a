package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
)

// Record lists the server processes that ended while running requests with a key. Between two records of the
// same key the one with the higher number wins; with equal numbers their servers are united.
type Record struct {
	Key      content.ID
	Number   int64 // increases each time an answer clears the record
	Servers  []string
	Age      clock.Millis // time since the last server ended or the record was cleared
	Answered bool         // the key has been answered, AnswerAge ago
	// AnswerAge is known to a quarter of Options.Trust only.
	AnswerAge clock.Millis
}

// entry is a record in a list.
type entry struct {
	number     int64
	servers    map[string]bool
	updatedAt  clock.Millis
	answered   bool
	answeredAt clock.Millis
	revision   int64 // revision of the list at which the entry changed last
}

// markEntry records that an entry has changed.
func (list *List) markEntry(changed *entry) {
	changed.revision = list.nextRevision()
}

// addEnd records that a process ended while running a request with a key.
func (list *List) addEnd(now clock.Millis, key content.ID, name string) {
	record := Record{Key: key, Servers: []string{name}}
	if known, ok := list.entries[key]; ok {
		record.Number = known.number
	}
	list.mergeRecord(now, record)
}

// mergeRecord applies one record. It reports whether the entry changed.
func (list *List) mergeRecord(now clock.Millis, record Record) bool {
	known, ok := list.entries[record.Key]
	if ok && record.Number < known.number {
		return false
	}
	changed := !ok || record.Number > known.number
	if changed {
		replaced := known
		known = &entry{number: record.Number, servers: make(map[string]bool)}
		if ok {
			known.answered, known.answeredAt = replaced.answered, replaced.answeredAt
		}
		list.entries[record.Key] = known
	}
	for _, server := range record.Servers {
		changed = changed || !known.servers[server]
		known.servers[server] = true
	}
	if changed {
		known.updatedAt = max(known.updatedAt, now-record.Age)
	}
	changed = known.mergeAnswer(now, record, list.options.Trust/4) || changed
	if at, ok := list.answers.last(now, record.Key); ok {
		own := Record{Answered: true, AnswerAge: now - at}
		changed = known.mergeAnswer(now, own, list.options.Trust/4) || changed
		if len(known.servers) > 0 && at > known.updatedAt {
			list.clear(now, record.Key)
			return true
		}
	}
	if changed {
		list.markEntry(known)
	}
	return changed
}

// mergeAnswer applies when a key was last answered, if that is later than what is known by more than a
// tolerance, which keeps daemons from telling each other of every answer. It reports whether it did.
func (entry *entry) mergeAnswer(now clock.Millis, record Record, tolerance clock.Millis) bool {
	at := now - record.AnswerAge
	if !record.Answered || entry.answered && at <= entry.answeredAt+tolerance {
		return false
	}
	entry.answered, entry.answeredAt = true, at
	return true
}

// recentlyAnswered reports whether an answer speaks for the key.
func (entry *entry) recentlyAnswered(now, trust clock.Millis) bool {
	return entry.answered && now-entry.answeredAt < trust
}

// record returns an entry as it is sent to other daemons.
func (entry *entry) record(now clock.Millis, key content.ID) Record {
	record := Record{Key: key, Number: entry.number, Servers: slices.Sorted(maps.Keys(entry.servers)), Age: now - entry.updatedAt, Answered: entry.answered}
	if entry.answered {
		record.AnswerAge = now - entry.answeredAt
	}
	return record
}

// pruneEntries removes old entries, but those of keys that findings name.
func (list *List) pruneEntries(now clock.Millis) {
	before := len(list.entries)
	named := list.namedKeys()
	maps.DeleteFunc(list.entries, func(key content.ID, known *entry) bool {
		return now-known.updatedAt >= list.options.Keep && !named[key]
	})
	if len(list.entries) != before {
		list.verdicts.stale = true
	}
}

// evict removes findings and records beyond the bounds of the list.
func (list *List) evict(now clock.Millis) {
	list.evictFindings()
	if len(list.entries) <= list.options.Records {
		return
	}
	list.evictEntries(now)
	list.verdicts.stale = true
}

// evictEntries removes the entries with the fewest servers, the oldest of these first, until a tenth of the
// list is free. Those of keys that findings name are kept longest, recently answered ones least.
func (list *List) evictEntries(now clock.Millis) {
	named := list.namedKeys()
	weight := func(key content.ID) int {
		known := list.entries[key]
		switch {
		case named[key]:
			return list.options.Records
		case known.recentlyAnswered(now, list.options.Trust):
			return 0
		}
		return len(known.servers)
	}
	keys := slices.SortedFunc(maps.Keys(list.entries), func(a, b content.ID) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(list.entries[a].updatedAt, list.entries[b].updatedAt))
	})
	for _, key := range keys[:len(keys)-list.options.Records+list.options.Records/10] {
		delete(list.entries, key)
	}
}
