// Package versions decides which versions of an adapter may still be used after operators have named newer ones.
package versions

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

// named is a version that operators named, and when this daemon learned it.
type named struct {
	version int
	at      clock.Millis
}

// History has the versions of an adapter that operators named, in order: those that this daemon learned within the
// grace, and the last one before. The zero History has none.
type History struct {
	versions []named
}

// resolution is the share of the grace within which versions count as learned together, which bounds the number of
// those that are kept.
const resolution = 1.0 / 32

// Newest returns the newest version, or 0 if there is none.
func (history History) Newest() int {
	if len(history.versions) == 0 {
		return 0
	}
	return history.versions[len(history.versions)-1].version
}

// Add returns the history with a version that was learned now, and reports whether it is newer than all others.
func (history History) Add(now clock.Millis, version int, grace clock.Millis) (History, bool) {
	if version <= history.Newest() {
		return history, false
	}
	kept := history.since(now - grace)
	last := len(kept) - 1
	if last >= 0 && float64(now-kept[last].at) < resolution*float64(grace) {
		kept[last].version = version
		return History{versions: kept}, true
	}
	return History{versions: append(kept, named{version: version, at: now})}, true
}

// Required returns the lowest version that may be used: the newest one that was learned at least the grace ago, or
// 0 for any. Further versions do not extend the use of older ones.
func (history History) Required(now, grace clock.Millis) int {
	for _, each := range slices.Backward(history.versions) {
		if now-each.at >= grace {
			return each.version
		}
	}
	return 0
}

// since returns a copy of the versions that were learned after a time, and of the last one before.
func (history History) since(start clock.Millis) []named {
	first := 0
	for first+1 < len(history.versions) && history.versions[first+1].at <= start {
		first++
	}
	return slices.Clone(history.versions[first:])
}
