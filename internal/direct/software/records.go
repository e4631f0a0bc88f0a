package software

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

// maxRecords bounds the records of a generation. A daemon that relays those of 26 others with 16 streams a
// second each has a sixth of it.
const maxRecords = 200_000

// Records holds the origins of streams for at least Lifetime, unless there are too many, and a log from which they
// are replicated to other daemons.
type Records struct {
	current, previous generation
	rotatedAt         clock.Millis
	log               []logEntry
	logOffset         int64 // number of records dropped from the start of the log
}

// generation holds the records of a span of time, which are dropped together.
type generation struct {
	origins map[Key]*Origin
	shared  map[Origin]*Origin // so that equal origins are stored once
}

// logEntry is a record in the log.
type logEntry struct {
	key    Key
	origin *Origin
	server string // that began the stream, or the peer that sent the request there; empty: the record was replicated from another daemon
	at     clock.Millis
}

// Batch lists streams of one origin.
type Batch struct {
	Origin Origin
	Keys   []Key
}

// NewRecords returns empty records.
func NewRecords(now clock.Millis) *Records {
	return &Records{current: newGeneration(), previous: newGeneration(), rotatedAt: now}
}

func newGeneration() generation {
	return generation{origins: make(map[Key]*Origin), shared: make(map[Origin]*Origin)}
}

// share returns the stored value that equals an origin.
func (generation generation) share(origin Origin) *Origin {
	stored, ok := generation.shared[origin]
	if !ok {
		stored = &origin
		generation.shared[origin] = stored
	}
	return stored
}

// Find returns the origin of a stream, or false if it is not recorded.
func (records *Records) Find(key Key) (Origin, bool) {
	origin, ok := records.current.origins[key]
	if !ok {
		origin, ok = records.previous.origins[key]
	}
	if !ok {
		return Origin{}, false
	}
	return *origin, true
}

// Put records the origin of a stream for another Lifetime, and reports whether that changes what is
// recorded. A stream that is recorded with another origin goes on nowhere, as either may be wrong.
func (records *Records) Put(now clock.Millis, key Key, origin Origin) bool {
	records.rotate(now)
	known, ok := records.Find(key)
	if ok && known != origin {
		origin = Origin{}
	}
	records.current.origins[key] = records.current.share(origin)
	return !ok || known != origin
}

// rotate drops the older generation when the younger one is old or large enough to replace it.
func (records *Records) rotate(now clock.Millis) {
	if now-records.rotatedAt < Lifetime && len(records.current.origins) < maxRecords {
		return
	}
	records.previous, records.current = records.current, newGeneration()
	records.rotatedAt = now
}

// Publish appends the recorded origin of a stream to the log. The server is the one that has begun it for this daemon,
// the peer that sent the request there, or empty if the record was replicated from another daemon.
func (records *Records) Publish(now clock.Millis, key Key, server string) {
	if origin, ok := records.Find(key); ok {
		records.log = append(records.log, logEntry{key: key, origin: records.current.share(origin), server: server, at: now})
	}
}

// Withdraw makes the streams that a server has begun here since a time go on nowhere: which version it
// ran then is uncertain.
func (records *Records) Withdraw(now clock.Millis, server string, since clock.Millis) {
	for _, entry := range slices.Clone(records.log) {
		if entry.server == server && entry.at >= since && records.Put(now, entry.key, Origin{}) {
			records.Publish(now, entry.key, server)
		}
	}
}

// Filter selects records of the log by their key, and by whether their streams have begun for this daemon. The zero value selects all.
type Filter struct {
	own          bool // only streams that have begun for this daemon
	index, count int  // only keys of one of several shares; a count of 0: all keys
}

// Own selects the streams that have begun for this daemon.
var Own = Filter{own: true}

// Share selects one of several equal shares of all records.
func Share(index, count int) Filter { return Filter{index: index, count: count} }

// selects reports whether an entry of the log is selected.
func (filter Filter) selects(entry logEntry) bool {
	if filter.own && entry.server == "" {
		return false
	}
	return filter.count == 0 || uint64(entry.key)%uint64(filter.count) == uint64(filter.index)
}

// Since returns the records of the log from a number on, at most limit of them, that a filter selects, and the
// number from which on to go on.
func (records *Records) Since(number int64, limit int, filter Filter) ([]Batch, int64) {
	first := min(int(max(0, number-records.logOffset)), len(records.log))
	last := min(first+limit, len(records.log))
	var batches []Batch
	at := make(map[Origin]int)
	for _, entry := range records.log[first:last] {
		if !filter.selects(entry) {
			continue
		}
		i, ok := at[*entry.origin]
		if !ok {
			i = len(batches)
			at[*entry.origin] = i
			batches = append(batches, Batch{Origin: *entry.origin})
		}
		batches[i].Keys = append(batches[i].Keys, entry.key)
	}
	return batches, records.logOffset + int64(last)
}

// Prune drops what has expired.
func (records *Records) Prune(now clock.Millis) {
	records.rotate(now)
	expired := 0
	for expired < len(records.log) && (now-records.log[expired].at >= Lifetime || len(records.log)-expired > maxRecords) {
		expired++
	}
	records.log = slices.Clone(records.log[expired:])
	records.logOffset += int64(expired)
}

// Count returns the number of records, which counts those twice that were renewed.
func (records *Records) Count() int {
	return len(records.current.origins) + len(records.previous.origins)
}
