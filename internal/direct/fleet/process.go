package fleet

import "teaselmoor/internal/direct/platformapi"

// SeeProcess records that a process has answered, or that another daemon knows of it. It reports whether it is a later one than
// the one known: the server has started again under its id. Nothing else is known of the process then until its entry is
// read, or its report.
func (fleet *Fleet) SeeProcess(process platformapi.Process) bool {
	member, ok := fleet.members[process.Server]
	if !ok || process.StartedAt <= member.StartedAt {
		return false
	}
	fleet.forgetProcess(member)
	member.sighted = true
	member.SoftwareChanged = false
	member.StartedAt = process.StartedAt
	member.Software, _ = member.SoftwareOf(process.StartedAt)
	member.Models = nil
	fleet.updateHoldings(member)
	return true
}

// forgetProcess forgets what holds only for the process of a server that has ended. Base models on its disk outlast it, and so
// do pauses, which the server may have asked for on behalf of its machine.
func (fleet *Fleet) forgetProcess(member *Member) {
	clear(member.recent)
	member.suspectUntil, member.backoff = 0, 0
	member.failureRate = 0
}
