package fleet

import "teaselmoor/internal/base/clock"

// StoreRestored records that the store was restored from a backup: revisions went back, and
// entries are as they were then until they are written again. The earlier state is kept for
// ReturnGrace, the time in which they are written again: servers whose entries are missing are
// still used, and servers whose removal was lost are not.
func (fleet *Fleet) StoreRestored(now clock.Millis) {
	fleet.outageEnd = now
	for _, member := range fleet.members {
		member.Revision = 0
		if member.expiresAt > 0 {
			member.expiresAt = now + fleet.options.ReturnGrace
		}
	}
	until := now + fleet.options.ReturnGrace
	for id, record := range fleet.draining {
		if record.ignoreUntil > 0 {
			record.ignoreUntil = until
			fleet.draining[id] = record
		}
	}
	for id, stone := range fleet.tombstones {
		if _, known := fleet.draining[id]; !known {
			fleet.draining[id] = drainRecord{startedAt: stone.startedAt, at: stone.at, ignoreUntil: until}
		}
		stone.revision = 0
		fleet.tombstones[id] = stone
	}
}

// isOutdated reports whether an entry belongs to an earlier process than the one known, as it is from the backup that
// the store was restored from, or older than the last answer of the server.
func (member *Member) isOutdated(startedAt int64) bool {
	return (member.Revision == 0 || member.sighted) && startedAt < member.StartedAt
}
