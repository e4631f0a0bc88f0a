package fleet

import "teaselmoor/internal/base/clock"

// StoreRestored notes that the store has come back from a copy of some time before: revisions
// went back, and entries are as they were then until they are written again. What was known
// before is kept for as long as that takes: servers whose entries are missing are used, and
// servers whose removal was lost are not.
func (fleet *Fleet) StoreRestored(now clock.Millis) {
	fleet.backAt = now
	for _, member := range fleet.members {
		member.Revision = 0
		if member.lapsesAt > 0 {
			member.lapsesAt = now + fleet.options.ReturnGrace
		}
	}
	until := now + fleet.options.ReturnGrace
	for id, left := range fleet.departures {
		if left.until > 0 {
			left.until = until
			fleet.departures[id] = left
		}
	}
	for id, stone := range fleet.gone {
		if _, left := fleet.departures[id]; !left {
			fleet.departures[id] = departure{born: stone.born, at: stone.at, until: until}
		}
		stone.revision = 0
		fleet.gone[id] = stone
	}
}

// outdated reports whether an entry is of an earlier process than the one known, from the copy
// that the store came back from.
func (member *Member) outdated(born int64) bool {
	return member.Revision == 0 && born < member.StartedAt
}
