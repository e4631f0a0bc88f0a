package quarantine

import (
	"maps"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
)

// Examiner grants trials for all daemons of a site: of each suspect key one at a time.
type Examiner struct {
	leases map[content.ID]lease
}

// lease is a trial in progress.
type lease struct {
	trial string
	until clock.Millis
}

// NewExaminer returns an examiner that has granted no trial.
func NewExaminer() *Examiner {
	return &Examiner{leases: make(map[content.ID]lease)}
}

// Grant grants a trial of keys for a time, unless another trial has one of them. It reports whether it did.
func (examiner *Examiner) Grant(now clock.Millis, trial string, keys []content.ID, time clock.Millis) bool {
	maps.DeleteFunc(examiner.leases, func(_ content.ID, lease lease) bool { return now >= lease.until })
	for _, key := range keys {
		if held, ok := examiner.leases[key]; ok && held.trial != trial {
			return false
		}
	}
	for _, key := range keys {
		examiner.leases[key] = lease{trial: trial, until: now + time}
	}
	return true
}

// Release ends a trial.
func (examiner *Examiner) Release(trial string) {
	maps.DeleteFunc(examiner.leases, func(_ content.ID, lease lease) bool { return lease.trial == trial })
}
