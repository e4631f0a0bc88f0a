package quarantine

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
)

// Changes holds records and findings that have changed.
type Changes struct {
	Records  []Record
	Findings []Finding
}

// Empty reports whether there are no changes.
func (changes Changes) Empty() bool {
	return len(changes.Records) == 0 && len(changes.Findings) == 0
}

// Merge applies the changes of another daemon. It reports whether anything changed here.
func (list *List) Merge(now clock.Millis, changes Changes) bool {
	changed := false
	for _, record := range changes.Records {
		list.learnEnds(now, record)
		changed = list.mergeRecord(now, record) || changed
	}
	for _, received := range changes.Findings {
		changed = list.mergeFinding(now, received) || changed
	}
	list.evict(now)
	return changed
}

// ChangedSince returns what has changed after the given revision, the earliest changes first, up to
// a number of records, and the revision that the changes reach.
func (list *List) ChangedSince(now clock.Millis, revision int64, most int) (Changes, int64) {
	var changes Changes
	if revision >= list.revision {
		return changes, list.revision
	}
	var keys []content.ID
	for key, known := range list.entries {
		if known.revision > revision {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b content.ID) int { return cmp.Compare(list.entries[a].revision, list.entries[b].revision) })
	reached := list.revision
	if len(keys) > most {
		keys = keys[:most]
		reached = list.entries[keys[most-1]].revision
	}
	for _, key := range keys {
		changes.Records = append(changes.Records, list.entries[key].record(now, key))
	}
	for name, known := range list.findings {
		if known.revision > revision && known.revision <= reached {
			changes.Findings = append(changes.Findings, Finding{
				Name: name, Server: known.server, Keys: known.keys, Weak: known.weak, Others: known.others, Age: now - known.at, RequestedAge: now - known.requestedAt,
			})
		}
	}
	slices.SortFunc(changes.Findings, func(a, b Finding) int { return cmp.Compare(a.Name, b.Name) })
	return changes, reached
}
