package fleet

import (
	"teaselmoor/internal/base/clock"
)

// Unreachable notes that a server could not be reached. It returns how long it gets no
// work, 0 when that was known.
func (fleet *Fleet) Unreachable(now clock.Millis, id string) clock.Millis {
	member, ok := fleet.members[id]
	if !ok || member.Unreached(now) {
		return 0
	}
	member.backoff = min(max(2*member.backoff, fleet.options.FirstBackoff), fleet.options.MostBackoff)
	member.suspectUntil = now + member.backoff
	return member.backoff
}

// Doubt notes that a peer could not reach a server and gives it no work for a time. A
// server that has just answered this daemon is not doubted: it is the peer that is cut
// off. Doubt reports whether it is news.
//
// Without it servers that crash take requests and loads of each daemon until that one has
// failed there itself, or the store has dropped them 3 s later.
func (fleet *Fleet) Doubt(now clock.Millis, id string, span clock.Millis) bool {
	member, ok := fleet.members[id]
	if !ok || member.Suspect(now) || member.answeredAt > 0 && now-member.answeredAt < fleet.options.Trust {
		return false
	}
	member.doubtedUntil = now + min(span, fleet.options.MostBackoff)
	return true
}

// troubleStep is the weight of one answer in the memory of failures: after
// three failures in a row half of the full weight is reached.
const troubleStep = 0.2

// Answered notes an answer of a server: a proper one, or a failure that is the
// server's own.
func (fleet *Fleet) Answered(now clock.Millis, id string, failed bool) {
	member, ok := fleet.members[id]
	if !ok {
		return
	}
	trouble := fleet.Trouble(now, member)
	target := 0.0
	if failed {
		target = 1
	} else {
		member.backoff = 0
		member.suspectUntil = 0
		member.doubtedUntil = 0
		member.answeredAt = now
	}
	member.trouble = trouble + troubleStep*(target-trouble)
	member.troubleAt = now
}

// Trouble returns how much a server has failed of late, from 0 to 1.
func (fleet *Fleet) Trouble(now clock.Millis, member *Member) float64 {
	age := float64(now - member.troubleAt)
	halfLife := float64(fleet.options.TroubleHalfLife)
	return member.trouble * halfLife / (halfLife + age)
}
