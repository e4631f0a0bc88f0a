package fleet

import (
	"maps"

	"teaselmoor/internal/base/clock"
)

// Pause notes that a server wants nothing from this daemon until a moment. It was asked of
// this daemon alone, and holds whatever becomes of the server's entry meanwhile.
func (fleet *Fleet) Pause(id string, until clock.Millis) {
	if until <= fleet.rests[id] {
		return
	}
	fleet.rests[id] = until
	if member, ok := fleet.members[id]; ok {
		member.restsUntil = until
	}
}

// PausedFor returns for how long the server still wants nothing from this daemon; 0 when it
// takes requests.
func (member *Member) PausedFor(now clock.Millis) clock.Millis {
	return max(0, member.restsUntil-now)
}

// forgetRests forgets rests that are over.
func (fleet *Fleet) forgetRests(now clock.Millis) {
	maps.DeleteFunc(fleet.rests, func(_ string, until clock.Millis) bool { return until <= now })
}
