// Package home keeps the attempts made under idempotency keys. The home of a
// key decides whether a request that must not be repeated may be dispatched.
// Its records are soft state: losing them turns answers into refusals, never
// into a second run.
package home

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// Options are the limits of a home.
type Options struct {
	// Retention is the span for which a finished attempt is remembered.
	Retention clock.Millis
	// ClockMargin is the largest difference between two daemons' clocks.
	ClockMargin clock.Millis
}

// DefaultOptions returns the limits used when settings name none.
func DefaultOptions() Options {
	return Options{Retention: clock.Hour, ClockMargin: 2 * clock.Second}
}

// Home holds the records of the keys that this daemon is home to.
type Home struct {
	options Options
	// startedAt is when this daemon began to remember keys.
	startedAt clock.Millis
	records   map[string]*record
}

type record struct {
	caller     string
	bodyHash   string
	stream     ident.StreamID
	finished   bool
	outcome    outcome.Outcome
	stored     *message.StoredAnswer
	finishedAt clock.Millis
}

// New returns a home that has been remembering since startedAt.
func New(startedAt clock.Millis, options Options) *Home {
	return &Home{options: options, startedAt: startedAt, records: map[string]*record{}}
}

// Begin decides on one attempt.
func (home *Home) Begin(now clock.Millis, begin message.HomeBegin) message.HomeVerdict {
	verdict := message.HomeVerdict{Key: begin.Key, Stream: begin.Stream}
	known, found := home.records[begin.Key]
	switch {
	case found && known.stream == begin.Stream && !known.finished:
		verdict.Granted = true
	case found && (known.caller != begin.Caller || known.bodyHash != begin.BodyHash):
		verdict.Outcome = outcome.Refused(outcome.KeyConflict, 0)
	case found && !known.finished:
		verdict.Outcome = outcome.Refused(outcome.KeyInProgress, clock.Second)
	case found:
		verdict.Outcome = known.outcome
		verdict.Stored = known.stored
	case !home.vouches(now, begin.IssuedAt):
		verdict.Outcome = outcome.Refused(outcome.KeyNotVouched, 0)
	default:
		home.records[begin.Key] = &record{caller: begin.Caller, bodyHash: begin.BodyHash, stream: begin.Stream}
		verdict.Granted = true
	}
	return verdict
}

// vouches reports whether this home would remember an earlier attempt, given
// that no attempt can precede the key's issue.
func (home *Home) vouches(now, issuedAt clock.Millis) bool {
	if issuedAt < now-home.options.Retention+home.options.ClockMargin {
		return false
	}
	return issuedAt > home.startedAt+home.options.ClockMargin
}

// Finish records how a granted attempt ended. A true not-run frees the key.
func (home *Home) Finish(now clock.Millis, finish message.HomeFinish) {
	known, found := home.records[finish.Key]
	if !found || known.stream != finish.Stream || known.finished {
		return
	}
	if finish.Outcome.Kind == outcome.NotRun {
		delete(home.records, finish.Key)
		return
	}
	known.finished = true
	known.outcome = finish.Outcome
	known.stored = finish.Stored
	known.finishedAt = now
}

// Tick forgets attempts that finished longer ago than the retention.
func (home *Home) Tick(now clock.Millis) {
	for key, known := range home.records {
		if known.finished && now-known.finishedAt > home.options.Retention {
			delete(home.records, key)
		}
	}
}

// Len returns the number of remembered keys.
func (home *Home) Len() int {
	return len(home.records)
}
