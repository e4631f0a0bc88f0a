package fleet

import (
	"math"

	"teaselmoor/internal/base/clock"
)

// MarkUnreachable records that a server could not be reached. It makes the server a suspect for
// a backoff that doubles with each failure.
func (fleet *Fleet) MarkUnreachable(now clock.Millis, id string) {
	member, ok := fleet.members[id]
	if !ok || member.Suspect(now) {
		return
	}
	member.backoff = min(max(2*member.backoff, fleet.options.FirstBackoff), fleet.options.MostBackoff)
	member.suspectUntil = now + member.backoff
}

// failureRateStep is the weight of one answer in a server's failure rate: three failures in a
// row raise it to about half.
const failureRateStep = 0.2

// RecordAnswer records an answer of a server. Failed reports whether it is an error that the
// server caused.
func (fleet *Fleet) RecordAnswer(now clock.Millis, id string, failed bool) {
	member, ok := fleet.members[id]
	if !ok {
		return
	}
	rate := fleet.FailureRate(now, member)
	target := 0.0
	if failed {
		target = 1
	} else {
		member.backoff = 0
		member.suspectUntil = 0
	}
	member.failureRate = rate + failureRateStep*(target-rate)
	member.failureRateAt = now
}

// FailureRate returns the recent failure rate of a server, from 0 to 1. It halves with each
// half-life without an answer, so that a server which is not asked is soon taken to be as good
// as others again.
func (fleet *Fleet) FailureRate(now clock.Millis, member *Member) float64 {
	age := float64(now - member.failureRateAt)
	halfLife := float64(fleet.options.TroubleHalfLife)
	return member.failureRate * math.Exp2(-age/halfLife)
}
