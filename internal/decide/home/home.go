// Package home implements the home role of a daemon: it records the attempts made
// under idempotency keys. Each key has one home daemon, which decides whether a
// request that must not be repeated may be dispatched.
//
// Records are kept in memory only, and each is copied to the daemon that would be
// the key's next home. Losing both copies is safe. A home that has no record of a
// key grants an attempt only if it can vouch for the key, that is, if it would
// certainly have a record of an earlier attempt: it must have been the key's home
// under every VM list that any daemon can have acted on since the key was issued.
// Otherwise it refuses the attempt with the outcome NotRun. The argument is in
// docs/design/outcomes.md.
//
// The state machine does no I/O. The methods that handle an event take what they
// need of it, most of them with the current time, and return the effects to carry
// out.
package home

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/lifecycle"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// Options are the timing and size limits of a home.
type Options struct {
	// Retention is how long the record of an attempt is kept after its last change.
	Retention clock.Millis
	// ClockMargin is the maximum difference between the clocks of two daemons, and
	// between a daemon's clock and the one that a key's issue time comes from.
	ClockMargin clock.Millis
	// MaxListAge is the maximum age of the VM list with which a daemon acts as home.
	MaxListAge clock.Millis
	// ListLag is the maximum time by which the published VM list is out of date.
	ListLag clock.Millis
	// CopyTimeout is how long a grant waits until a copy of its record is confirmed.
	CopyTimeout clock.Millis
	// CopyInterval is the time after which an unconfirmed copy is sent again.
	CopyInterval clock.Millis
	// MaxRecords is the maximum number of records, including copies from other homes.
	MaxRecords int
	// MaxStoredBytes is the maximum size of all stored answers together, in bytes.
	MaxStoredBytes int
	// MaxAnswerBytes is the maximum size of one stored answer, in bytes.
	MaxAnswerBytes int
}

// DefaultOptions returns the limits that apply if the settings do not set any.
func DefaultOptions() Options {
	return Options{
		Retention:      clock.Hour,
		ClockMargin:    clock.Second,
		MaxListAge:     3 * clock.Second,
		ListLag:        clock.Second,
		CopyTimeout:    150 * clock.Millisecond,
		CopyInterval:   500 * clock.Millisecond,
		MaxRecords:     50_000,
		MaxStoredBytes: 24 << 20,
		MaxAnswerBytes: 256 << 10,
	}
}

// Home holds the records of the keys whose home is this daemon, and copies of the
// records of other homes.
type Home struct {
	options       Options
	self          ident.DaemonID
	history       rosterHistory
	records       map[string]*record
	expiries      []expiry
	storedBytes   int // bytes of stored answers
	pendingCopies []pendingCopy
	shuttingDown  bool
	incarnations  map[ident.DaemonID]ident.Incarnation
	effects       []effect.Effect
	pendingGrants []string // keys whose grant waits until a copy is confirmed, oldest first
}

type recordState string

const (
	// recordCopying means that the grant waits until a copy of the record is confirmed.
	recordCopying recordState = "Copying"
	// recordGranted means that the attempt may run.
	recordGranted recordState = "Granted"
	// recordFinished means that the outcome of the attempt is recorded.
	recordFinished recordState = "Finished"
)

type recordEvent string

const (
	grantRecord  recordEvent = "Grant"
	finishRecord recordEvent = "Finish"
)

var recordTable = lifecycle.New("home record", []lifecycle.Transition[recordState, recordEvent]{
	{Event: grantRecord, From: []recordState{recordCopying}, To: recordGranted},
	{Event: finishRecord, From: []recordState{recordCopying, recordGranted, recordFinished}, To: recordFinished},
})

// record describes the attempt made under a key.
type record struct {
	state     recordState
	key       Key
	bodyHash  string
	stream    ident.StreamID
	changedAt clock.Millis // time of the last change
	outcome   outcome.Outcome
	answer    *message.StoredAnswer
	// copiedTo lists the daemons that confirmed a copy of the current state.
	copiedTo []ident.DaemonID
}

// expiry is the time at which a record is next checked against the retention.
type expiry struct {
	dueAt clock.Millis
	key   string
}

// New returns a home without records.
func New(self ident.DaemonID, options Options) *Home {
	return &Home{
		options: options, self: self,
		records: map[string]*record{}, incarnations: map[ident.DaemonID]ident.Incarnation{},
	}
}

func (home *Home) send(to ident.DaemonID, sent message.Message) {
	home.effects = append(home.effects, effect.Send{To: to, Message: sent})
}

// takeEffects returns the effects collected since the last call.
func (home *Home) takeEffects() []effect.Effect {
	effects := home.effects
	home.effects = nil
	return effects
}

// Begin decides whether an attempt may run. The entry repeats the message until it
// has the decision.
func (home *Home) Begin(now clock.Millis, begin message.HomeBegin) []effect.Effect {
	home.observeIncarnation(now, begin.Stream)
	record, found := home.records[begin.Key]
	if found {
		home.beginRecorded(record, begin)
	} else {
		home.beginNew(now, begin)
	}
	return home.takeEffects()
}

// beginRecorded decides by the existing record of the key, which may be that of
// this attempt.
func (home *Home) beginRecorded(record *record, begin message.HomeBegin) {
	switch {
	case record.key.Caller != begin.Caller || record.bodyHash != begin.BodyHash:
		home.deny(begin, outcome.Refused(outcome.KeyConflict, 0), nil)
	case record.state == recordFinished && record.outcome.Kind == outcome.Answered && record.answer == nil:
		home.deny(begin, outcome.MayHaveRun(outcome.AnswerNotKept), nil)
	case record.state == recordFinished:
		home.deny(begin, record.outcome, record.answer)
	case record.stream != begin.Stream:
		home.deny(begin, outcome.Refused(outcome.KeyInProgress, clock.Second), nil)
	case record.state == recordGranted:
		home.grant(record)
	}
}

// beginNew decides on an attempt under a key that has no record.
func (home *Home) beginNew(now clock.Millis, begin message.HomeBegin) {
	key := Key{Key: begin.Key, Caller: begin.Caller, Region: begin.Region}
	switch {
	case !home.mayActAsHome(now, key):
		home.deny(begin, outcome.Refused(outcome.HomeUnreachable, clock.Second), nil)
	case !home.canVouch(now, key, begin.IssuedAt):
		home.deny(begin, outcome.Refused(outcome.KeyNotVouched, 0), nil)
	case len(home.records) >= home.options.MaxRecords:
		home.deny(begin, outcome.Refused(outcome.HomeFull, homeFullRetryDelay), nil)
	default:
		home.addRecord(now, key, begin)
	}
}

// homeFullRetryDelay is the retry time sent to a caller when the records are full.
const homeFullRetryDelay = 30 * clock.Second

// addRecord records an attempt and grants it once a copy is confirmed, or at once
// if no other daemon can hold a copy.
func (home *Home) addRecord(now clock.Millis, key Key, begin message.HomeBegin) {
	added := &record{state: recordCopying, key: key, bodyHash: begin.BodyHash, stream: begin.Stream, changedAt: now}
	home.insert(added)
	home.pendingGrants = append(home.pendingGrants, key.Key)
	if !home.replicate(now, added) {
		home.grant(added)
	}
}

func (home *Home) insert(added *record) {
	home.records[added.key.Key] = added
	home.expiries = append(home.expiries, expiry{dueAt: added.changedAt + home.options.Retention, key: added.key.Key})
}

func (home *Home) grant(record *record) {
	if record.state == recordCopying {
		recordTable.MustApply(&record.state, grantRecord)
	}
	home.send(record.stream.Daemon, message.HomeDecision{
		Key: record.key.Key, Stream: record.stream, Granted: true, Copied: len(record.copiedTo) > 0,
	})
}

func (home *Home) deny(begin message.HomeBegin, denial outcome.Outcome, stored *message.StoredAnswer) {
	home.send(begin.Stream.Daemon, message.HomeDecision{Key: begin.Key, Stream: begin.Stream, Outcome: denial, Stored: stored})
}

// Finish records the outcome of an attempt and confirms the receipt to the entry. The
// outcome NotRun releases the key, unless the attempt has already been recorded as
// finished with the outcome Unknown.
func (home *Home) Finish(now clock.Millis, finish message.HomeFinish) []effect.Effect {
	home.observeIncarnation(now, finish.Stream)
	home.send(finish.Stream.Daemon, message.HomeFinished{Key: finish.Key, Stream: finish.Stream})
	record, found := home.records[finish.Key]
	if !found || record.stream != finish.Stream || record.outcome.Kind == outcome.Answered {
		return home.takeEffects()
	}
	switch {
	case finish.Outcome.Kind == outcome.NotRun && record.state != recordFinished:
		home.releaseKey(now, record)
	case finish.Outcome.Kind != outcome.NotRun:
		home.finish(now, record, finish.Outcome, finish.Stored)
	}
	return home.takeEffects()
}

func (home *Home) finish(now clock.Millis, record *record, final outcome.Outcome, answer *message.StoredAnswer) {
	recordTable.MustApply(&record.state, finishRecord)
	record.changedAt = now
	record.outcome = final
	home.storeAnswer(record, answer)
	home.replicate(now, record)
}

// storeAnswer stores an answer if it is within the size limits. Without a stored
// answer the attempt still counts as answered.
func (home *Home) storeAnswer(record *record, answer *message.StoredAnswer) {
	if answer == nil || len(answer.Body) > home.options.MaxAnswerBytes || home.storedBytes+len(answer.Body) > home.options.MaxStoredBytes {
		return
	}
	home.storedBytes += len(answer.Body)
	record.answer = answer
}

// releaseKey deletes the record of an attempt that did not run, and its copies.
func (home *Home) releaseKey(now clock.Millis, record *record) {
	for _, peer := range home.history.copyTargets(record.key, home.self, maxCopies) {
		home.send(peer, message.HomeCopyDelete{Key: record.key.Key, Stream: record.stream})
	}
	home.remove(record)
}

func (home *Home) remove(record *record) {
	if record.answer != nil {
		home.storedBytes -= len(record.answer.Body)
	}
	delete(home.records, record.key.Key)
}

// Tick grants attempts that have waited too long for a copy, sends unconfirmed
// copies again and deletes records that are older than the retention. Deleting them
// is safe because canVouch accepts no key of that age.
func (home *Home) Tick(now clock.Millis) []effect.Effect {
	home.grantOverdue(now)
	home.resendCopies(now)
	home.expireRecords(now)
	return home.takeEffects()
}

func (home *Home) grantOverdue(now clock.Millis) {
	for len(home.pendingGrants) > 0 {
		record, found := home.records[home.pendingGrants[0]]
		if found && record.state == recordCopying {
			if now-record.changedAt < home.options.CopyTimeout {
				return
			}
			home.grant(record)
		}
		home.pendingGrants = home.pendingGrants[1:]
	}
}

// expireRecords deletes finished records that are past the retention. An attempt
// that is still unfinished by then is ended as unknown and kept for another
// retention.
func (home *Home) expireRecords(now clock.Millis) {
	for len(home.expiries) > 0 && home.expiries[0].dueAt <= now {
		due := home.expiries[0]
		home.expiries = home.expiries[1:]
		record, found := home.records[due.key]
		switch {
		case !found:
		case record.changedAt+home.options.Retention > now:
			home.expiries = append(home.expiries, expiry{dueAt: record.changedAt + home.options.Retention, key: due.key})
		case record.state != recordFinished:
			home.finish(now, record, outcome.MayHaveRun(outcome.EntryLost), nil)
			home.expiries = append(home.expiries, expiry{dueAt: now + home.options.Retention, key: due.key})
		default:
			home.remove(record)
		}
	}
}

// ObserveIncarnation records the current incarnation of a daemon. Unfinished attempts of
// its earlier incarnations end as unknown.
func (home *Home) ObserveIncarnation(now clock.Millis, daemon ident.DaemonID, incarnation ident.Incarnation) []effect.Effect {
	home.observeIncarnation(now, ident.StreamID{Daemon: daemon, Incarnation: incarnation})
	return home.takeEffects()
}

// observeIncarnation records the incarnation of the entry that a stream id names.
// Attempts granted to an earlier incarnation end as unknown, because no daemon can
// report their outcome any more.
func (home *Home) observeIncarnation(now clock.Millis, stream ident.StreamID) {
	if home.incarnations[stream.Daemon] >= stream.Incarnation {
		return
	}
	home.incarnations[stream.Daemon] = stream.Incarnation
	home.endAsUnknown(now, func(record *record) bool {
		return record.stream.Daemon == stream.Daemon && record.stream.Incarnation < stream.Incarnation
	})
}

// endAsUnknown finishes the unfinished attempts that the filter accepts, with the
// outcome Unknown.
func (home *Home) endAsUnknown(now clock.Millis, accept func(*record) bool) {
	for _, record := range home.recordsInOrder() {
		if record.state != recordFinished && accept(record) {
			home.finish(now, record, outcome.MayHaveRun(outcome.EntryLost), nil)
		}
	}
}

// Len returns the number of records, including copies.
func (home *Home) Len() int {
	return len(home.records)
}
