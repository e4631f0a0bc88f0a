// Package home keeps the attempts made under idempotency keys. The home of a
// key decides whether a request that must not be repeated may be dispatched.
//
// Records are soft state: each is copied, in memory, to the daemon that is next
// in order, and losing both is safe. A home that has no record of a key grants
// an attempt only if it would certainly know of an earlier one: it must have
// been the key's home under every VM list that any daemon can have acted on
// since the key was issued. Otherwise the attempt is refused, truthfully, as not
// run. docs/design/outcomes.md has the argument.
//
// The machine does no I/O. Every method takes the current time and returns the
// effects to carry out.
package home

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/lifecycle"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// Options are the limits of a home.
type Options struct {
	// Retention is the span for which an attempt is remembered.
	Retention clock.Millis
	// ClockMargin is the largest difference between two daemons' clocks, and
	// between theirs and the clock that a key's issue time comes from.
	ClockMargin clock.Millis
	// MaxViewAge is the age of the VM list up to which a daemon acts as home.
	MaxViewAge clock.Millis
	// ListLag is the longest span by which the published VM list lags.
	ListLag clock.Millis
	// CopySpan is how long a grant waits for the copy of its record.
	CopySpan clock.Millis
	// CopyInterval is the span after which an unconfirmed copy is sent again.
	CopyInterval clock.Millis
	// MaxRecords bounds the remembered keys, copies included.
	MaxRecords int
	// MaxStored bounds the stored answers together, in bytes; MaxAnswer each one.
	MaxStored int
	MaxAnswer int
}

// DefaultOptions returns the limits used when settings name none.
func DefaultOptions() Options {
	return Options{
		Retention:    clock.Hour,
		ClockMargin:  clock.Second,
		MaxViewAge:   3 * clock.Second,
		ListLag:      clock.Second,
		CopySpan:     150 * clock.Millisecond,
		CopyInterval: 500 * clock.Millisecond,
		MaxRecords:   50_000,
		MaxStored:    24 << 20,
		MaxAnswer:    256 << 10,
	}
}

// Home holds the records of the keys that this daemon is home to, and copies
// of other homes' records.
type Home struct {
	options  Options
	self     ident.DaemonID
	history  history
	records  map[string]*record
	expiry   []expiry
	stored   int // bytes of stored answers
	copies   []copyTask
	leaving  bool
	lives    map[ident.DaemonID]ident.Incarnation
	effects  []effect.Effect
	granting []string // keys whose grant waits for a copy, oldest first
}

type recordState string

const (
	// recordCopying: recorded; the grant waits for the copy.
	recordCopying recordState = "Copying"
	// recordGranted: the attempt may run.
	recordGranted  recordState = "Granted"
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

// record is what is known of the one attempt made under a key.
type record struct {
	state    recordState
	key      Key
	bodyHash string
	stream   ident.StreamID
	at       clock.Millis // of the last change
	outcome  outcome.Outcome
	answer   *message.StoredAnswer
	// copied lists the daemons that confirmed the copy of the present state.
	copied []ident.DaemonID
}

type expiry struct {
	at  clock.Millis
	key string
}

// New returns a home that remembers nothing yet.
func New(self ident.DaemonID, options Options) *Home {
	return &Home{
		options: options, self: self,
		records: map[string]*record{}, lives: map[ident.DaemonID]ident.Incarnation{},
	}
}

func (home *Home) send(to ident.DaemonID, sent message.Message) {
	home.effects = append(home.effects, effect.Send{To: to, Message: sent})
}

// take returns the effects gathered since the last call.
func (home *Home) take() []effect.Effect {
	effects := home.effects
	home.effects = nil
	return effects
}

// Begin decides on one attempt.
func (home *Home) Begin(now clock.Millis, begin message.HomeBegin) []effect.Effect {
	home.seen(now, begin.Stream)
	known, found := home.records[begin.Key]
	if found {
		home.beginKnown(known, begin)
	} else {
		home.beginNew(now, begin)
	}
	return home.take()
}

// beginKnown answers from the record of an earlier attempt, or of this one.
func (home *Home) beginKnown(known *record, begin message.HomeBegin) {
	switch {
	case known.key.Caller != begin.Caller || known.bodyHash != begin.BodyHash:
		home.deny(begin, outcome.Refused(outcome.KeyConflict, 0), nil)
	case known.state == recordFinished && known.outcome.Kind == outcome.Answered && known.answer == nil:
		home.deny(begin, outcome.Lost(outcome.AnswerNotKept), nil)
	case known.state == recordFinished:
		home.deny(begin, known.outcome, known.answer)
	case known.stream != begin.Stream:
		home.deny(begin, outcome.Refused(outcome.KeyInProgress, clock.Second), nil)
	case known.state == recordGranted:
		home.grant(known)
	}
}

func (home *Home) beginNew(now clock.Millis, begin message.HomeBegin) {
	key := Key{Key: begin.Key, Caller: begin.Caller, Region: begin.Region}
	switch {
	case !home.acts(now, key):
		home.deny(begin, outcome.Refused(outcome.HomeUnreachable, clock.Second), nil)
	case !home.vouches(now, key, begin.IssuedAt):
		home.deny(begin, outcome.Refused(outcome.KeyNotVouched, 0), nil)
	case len(home.records) >= home.options.MaxRecords:
		home.deny(begin, outcome.Refused(outcome.HomeFull, fullRetry), nil)
	default:
		home.record(now, key, begin)
	}
}

// fullRetry is when a caller may find room again at a full home.
const fullRetry = 30 * clock.Second

func (home *Home) record(now clock.Millis, key Key, begin message.HomeBegin) {
	added := &record{state: recordCopying, key: key, bodyHash: begin.BodyHash, stream: begin.Stream, at: now}
	home.add(added)
	home.granting = append(home.granting, key.Key)
	if !home.replicate(now, added) {
		home.grant(added)
	}
}

func (home *Home) add(added *record) {
	home.records[added.key.Key] = added
	home.expiry = append(home.expiry, expiry{at: added.at + home.options.Retention, key: added.key.Key})
}

func (home *Home) grant(granted *record) {
	if granted.state == recordCopying {
		recordTable.Must(&granted.state, grantRecord)
	}
	home.send(granted.stream.Daemon, message.HomeDecision{
		Key: granted.key.Key, Stream: granted.stream, Granted: true, Copied: len(granted.copied) > 0,
	})
}

func (home *Home) deny(begin message.HomeBegin, told outcome.Outcome, stored *message.StoredAnswer) {
	home.send(begin.Stream.Daemon, message.HomeDecision{Key: begin.Key, Stream: begin.Stream, Outcome: told, Stored: stored})
}

// Finish records how a granted attempt ended. A true not-run frees the key,
// unless the attempt has been given up as unknown before.
func (home *Home) Finish(now clock.Millis, finish message.HomeFinish) []effect.Effect {
	home.seen(now, finish.Stream)
	home.send(finish.Stream.Daemon, message.HomeFinished{Key: finish.Key, Stream: finish.Stream})
	known, found := home.records[finish.Key]
	if !found || known.stream != finish.Stream || known.outcome.Kind == outcome.Answered {
		return home.take()
	}
	switch {
	case finish.Outcome.Kind == outcome.NotRun && known.state != recordFinished:
		home.forget(now, known)
	case finish.Outcome.Kind != outcome.NotRun:
		home.finish(now, known, finish.Outcome, finish.Stored)
	}
	return home.take()
}

func (home *Home) finish(now clock.Millis, finished *record, final outcome.Outcome, answer *message.StoredAnswer) {
	recordTable.Must(&finished.state, finishRecord)
	finished.at = now
	finished.outcome = final
	home.keep(finished, answer)
	home.replicate(now, finished)
}

// keep stores an answer if there is room; an answer that is not kept still
// counts as given.
func (home *Home) keep(finished *record, answer *message.StoredAnswer) {
	if answer == nil || len(answer.Body) > home.options.MaxAnswer || home.stored+len(answer.Body) > home.options.MaxStored {
		return
	}
	home.stored += len(answer.Body)
	finished.answer = answer
}

// forget frees a key whose attempt is known not to have run.
func (home *Home) forget(now clock.Millis, freed *record) {
	for _, peer := range home.history.others(freed.key, home.self, maxCopies) {
		home.send(peer, message.HomeCopyDelete{Key: freed.key.Key, Stream: freed.stream})
	}
	home.drop(freed)
}

func (home *Home) drop(dropped *record) {
	if dropped.answer != nil {
		home.stored -= len(dropped.answer.Body)
	}
	delete(home.records, dropped.key.Key)
}

// Tick grants what waited for a copy too long, repeats copies and forgets what
// is older than the retention: keys of that age are never vouched for again.
func (home *Home) Tick(now clock.Millis) []effect.Effect {
	home.tickGrants(now)
	home.tickCopies(now)
	home.tickExpiry(now)
	return home.take()
}

func (home *Home) tickGrants(now clock.Millis) {
	for len(home.granting) > 0 {
		waiting, found := home.records[home.granting[0]]
		if found && waiting.state == recordCopying {
			if now-waiting.at < home.options.CopySpan {
				return
			}
			home.grant(waiting)
		}
		home.granting = home.granting[1:]
	}
}

func (home *Home) tickExpiry(now clock.Millis) {
	for len(home.expiry) > 0 && home.expiry[0].at <= now {
		due := home.expiry[0]
		home.expiry = home.expiry[1:]
		known, found := home.records[due.key]
		switch {
		case !found:
		case known.at+home.options.Retention > now:
			home.expiry = append(home.expiry, expiry{at: known.at + home.options.Retention, key: due.key})
		case known.state != recordFinished:
			home.finish(now, known, outcome.Lost(outcome.EntryLost), nil)
			home.expiry = append(home.expiry, expiry{at: now + home.options.Retention, key: due.key})
		default:
			home.drop(known)
		}
	}
}

// Met takes in word of a daemon's present life.
func (home *Home) Met(now clock.Millis, daemon ident.DaemonID, incarnation ident.Incarnation) []effect.Effect {
	home.seen(now, ident.StreamID{Daemon: daemon, Incarnation: incarnation})
	return home.take()
}

// seen notes the life of an entry. Attempts granted to an earlier life of it
// have nobody left to say how they ended.
func (home *Home) seen(now clock.Millis, stream ident.StreamID) {
	if home.lives[stream.Daemon] >= stream.Incarnation {
		return
	}
	home.lives[stream.Daemon] = stream.Incarnation
	home.lose(now, func(lost *record) bool {
		return lost.stream.Daemon == stream.Daemon && lost.stream.Incarnation < stream.Incarnation
	})
}

// lose ends the unfinished attempts that the filter accepts as unknown.
func (home *Home) lose(now clock.Millis, accept func(*record) bool) {
	for _, known := range home.inOrder() {
		if known.state != recordFinished && accept(known) {
			home.finish(now, known, outcome.Lost(outcome.EntryLost), nil)
		}
	}
}

// Len returns the number of remembered keys.
func (home *Home) Len() int {
	return len(home.records)
}
