package rollout

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// maxCandidates is the maximum number of candidates that a daemon keeps.
const maxCandidates = 64

// candidate is a known publication that may replace the configuration in force.
type candidate struct {
	mark config.Mark
	// manifest is nil until it has been received.
	manifest []byte
	// sources are the daemons that offered the candidate, in order of their offers.
	sources []ident.DaemonID
	// published is set if the configuration service returned the manifest.
	published bool
	// refused is set if the candidate is invalid, so that it is never tried again.
	refused bool
	// failures is the number of failed fetches.
	failures int
	// nextTryAt is the earliest time at which fetching it is tried again.
	nextTryAt   clock.Millis
	lastFailure string // cause of the last failure
}

// candidateFor returns the candidate with the mark and adds it if it is new. It
// returns nil if the mark is not higher than the one in force. If there are too many
// candidates, the lowest is removed.
func (rollout *Rollout) candidateFor(mark config.Mark) *candidate {
	if mark.Compare(rollout.inForce.mark) <= 0 {
		return nil
	}
	known, found := rollout.candidates[mark]
	if found {
		return known
	}
	if len(rollout.candidates) >= maxCandidates {
		delete(rollout.candidates, slices.MinFunc(rollout.marks(), config.Mark.Compare))
	}
	known = &candidate{mark: mark}
	rollout.candidates[mark] = known
	return known
}

// marks returns the marks of the candidates in descending order.
func (rollout *Rollout) marks() []config.Mark {
	marks := make([]config.Mark, 0, len(rollout.candidates))
	for mark := range rollout.candidates {
		marks = append(marks, mark)
	}
	slices.SortFunc(marks, func(a, b config.Mark) int { return b.Compare(a) })
	return marks
}

// bestCandidate returns the highest candidate that may be fetched now, or nil. A higher
// one that is refused or waits for its next try does not block a lower one.
func (rollout *Rollout) bestCandidate() *candidate {
	for _, mark := range rollout.marks() {
		candidate := rollout.candidates[mark]
		if !candidate.refused && candidate.nextTryAt <= rollout.now {
			return candidate
		}
	}
	return nil
}

// dropObsolete removes the candidates that are not higher than the configuration in
// force.
func (rollout *Rollout) dropObsolete() {
	for mark := range rollout.candidates {
		if mark.Compare(rollout.inForce.mark) <= 0 {
			delete(rollout.candidates, mark)
		}
	}
	if rollout.fetching != nil && rollout.fetching.candidate.mark.Compare(rollout.inForce.mark) <= 0 {
		rollout.fetching = nil
	}
}

// deferCandidate records that a candidate cannot be fetched now and schedules the next
// try, with exponential backoff. The failure is audited if its cause differs from the
// last one.
func (rollout *Rollout) deferCandidate(candidate *candidate, cause string) {
	interval := min(rollout.options.RetryInterval<<min(candidate.failures, 8), rollout.options.MaxRetryInterval)
	candidate.failures++
	candidate.nextTryAt = rollout.now + interval
	if candidate.lastFailure != cause {
		candidate.lastFailure = cause
		rollout.auditRefusal(candidate.mark, cause)
	}
}
