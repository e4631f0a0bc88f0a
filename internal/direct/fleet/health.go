package fleet

import (
	"teaselmoor/internal/base/clock"
)

// MarkUnreachable notes that a server could not be reached.
func (fleet *Fleet) MarkUnreachable(now clock.Millis, id string) {
	member, ok := fleet.members[id]
	if !ok || member.Suspect(now) {
		return
	}
	member.backoff = min(max(2*member.backoff, fleet.options.FirstBackoff), fleet.options.MostBackoff)
	member.suspectUntil = now + member.backoff
}

// troubleStep is the weight of one answer in the memory of failures: after
// three failures in a row half of the full weight is reached.
const troubleStep = 0.2

// RecordAnswer notes an answer of a server: a proper one, or a failure that is the
// server's own.
func (fleet *Fleet) RecordAnswer(now clock.Millis, id string, failed bool) {
	member, ok := fleet.members[id]
	if !ok {
		return
	}
	trouble := fleet.FailureRate(now, member)
	target := 0.0
	if failed {
		target = 1
	} else {
		member.backoff = 0
		member.suspectUntil = 0
	}
	member.trouble = trouble + troubleStep*(target-trouble)
	member.troubleAt = now
}

// FailureRate returns how much a server has failed of late, from 0 to 1.
func (fleet *Fleet) FailureRate(now clock.Millis, member *Member) float64 {
	age := float64(now - member.troubleAt)
	halfLife := float64(fleet.options.TroubleHalfLife)
	return member.trouble * halfLife / (halfLife + age)
}
