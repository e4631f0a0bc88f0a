package rollout

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// maxCandidates bounds the publications that a daemon remembers at once.
const maxCandidates = 64

// candidate is a publication that is known and not in force.
type candidate struct {
	mark config.Mark
	// manifest is nil until it has been read.
	manifest []byte
	// sources are the daemons that offered it, in order of their offers.
	sources []ident.DaemonID
	// published says that the configuration service showed it.
	published bool
	// refused says that it does not validate and never will.
	refused   bool
	failures  int
	notBefore clock.Millis
	cause     string // of the last failure
}

// consider returns the candidate of a mark, nil when it can't come into force.
func (rollout *Rollout) consider(mark config.Mark) *candidate {
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

// marks returns the marks of the candidates, the highest first.
func (rollout *Rollout) marks() []config.Mark {
	marks := make([]config.Mark, 0, len(rollout.candidates))
	for mark := range rollout.candidates {
		marks = append(marks, mark)
	}
	slices.SortFunc(marks, func(a, b config.Mark) int { return b.Compare(a) })
	return marks
}

// best returns the highest candidate that may be fetched now, nil for none. A
// higher one that can't be had at present does not keep a lower one back.
func (rollout *Rollout) best() *candidate {
	for _, mark := range rollout.marks() {
		known := rollout.candidates[mark]
		if !known.refused && known.notBefore <= rollout.now {
			return known
		}
	}
	return nil
}

// dropCandidates forgets those that the configuration in force has overtaken.
func (rollout *Rollout) dropCandidates() {
	for mark := range rollout.candidates {
		if mark.Compare(rollout.inForce.mark) <= 0 {
			delete(rollout.candidates, mark)
		}
	}
	if rollout.fetching != nil && rollout.fetching.candidate.mark.Compare(rollout.inForce.mark) <= 0 {
		rollout.fetching = nil
	}
}

// fail notes that a candidate can't be had now; each new cause is audited once.
func (rollout *Rollout) fail(failed *candidate, cause string) {
	interval := min(rollout.options.RetryInterval<<min(failed.failures, 8), rollout.options.MaxRetryInterval)
	failed.failures++
	failed.notBefore = rollout.now + interval
	if failed.cause != cause {
		failed.cause = cause
		rollout.refuse(failed.mark, cause)
	}
}
