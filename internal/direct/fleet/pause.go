package fleet

import (
	"maps"

	"teaselmoor/internal/base/clock"
)

// Pause records that a server has asked this daemon to send no requests until a given time.
// It applies to this daemon alone, and lasts even if the server's entry is removed or changes.
func (fleet *Fleet) Pause(id string, until clock.Millis) {
	if until <= fleet.pauses[id] {
		return
	}
	fleet.pauses[id] = until
	if member, ok := fleet.members[id]; ok {
		member.pausedUntil = until
	}
}

// PausedFor returns for how long this daemon must send no requests to the server; 0 if it may.
func (member *Member) PausedFor(now clock.Millis) clock.Millis {
	return max(0, member.pausedUntil-now)
}

// expirePauses drops pauses that are over.
func (fleet *Fleet) expirePauses(now clock.Millis) {
	maps.DeleteFunc(fleet.pauses, func(_ string, until clock.Millis) bool { return until <= now })
}
