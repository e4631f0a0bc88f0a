package prefill

import (
	"maps"

	"teaselmoor/internal/base/clock"
)

// Result is how a prompt's wait for its grant ended.
type Result string

// Results of a wait. They are written to the log and are labels of metrics.
const (
	Pending   Result = ""          // it has not ended
	Granted   Result = "granted"   // the owner has granted the prompt
	Bound     Result = "bound"     // the prompt must be sent to meet its first-event goal
	Late      Result = "late"      // the owner has not answered in time; the daemon's own rule applies
	Silent    Result = "silent"    // the same, and the owner is not asked for SilentTime
	Local     Result = "local"     // no owner could be asked; the daemon's own rule applies
	Withdrawn Result = "withdrawn" // the prompt is not sent to this server
)

// Wait is a prompt of this daemon that waits for a grant.
type Wait struct {
	ID       uint64
	Owner    string
	Server   string
	Until    clock.Millis // when the prompt is sent in any case
	askedAt  clock.Millis
	answered bool
	granted  bool

	checkedAt clock.Millis
	paused    bool         // this daemon could not have received an answer in time
	unheard   clock.Millis // time in which this daemon was paused: an answer that has arrived meanwhile is read only now
}

// maxCheckGap is the time between two checks of a wait from which on this daemon counts as paused
// meanwhile: the process was frozen, or its machine too busy to run it. Waits are checked every
// 50 ms.
const maxCheckGap = 100 * clock.Millisecond

// unanswered describes the consecutive requests that an owner has not answered in time.
type unanswered struct {
	count       int          // of requests sent at least AnswerTimeout apart
	askedAt     clock.Millis // when the last of these was sent
	silentUntil clock.Millis // 0: the owner is not silent
}

// unansweredLifetime is the time since an unanswered request after which it does not count any
// more, so that an owner that is seldom asked is not silent after two late answers minutes apart.
const unansweredLifetime = 10 * clock.Second

// Requester keeps the prompts of one daemon that wait for grants, and the owners that do not
// answer.
type Requester struct {
	options    Options
	lastID     uint64
	waits      map[uint64]*Wait
	unanswered map[string]unanswered // by owner
}

// NewRequester returns a requester without waits. Its requests are numbered from firstID on; a
// daemon that restarts must not repeat the numbers of requests that may still wait at owners.
func NewRequester(options Options, firstID uint64) *Requester {
	return &Requester{options: options, lastID: firstID, waits: make(map[uint64]*Wait), unanswered: make(map[string]unanswered)}
}

// Bound returns when a prompt is sent in any case, given the arrival of its request and the
// first-event goal, or the time that the request has in all if that is shorter.
func (requester *Requester) Bound(arrived, goal clock.Millis) clock.Millis {
	return arrived + clock.Millis(requester.options.GoalShare*float64(goal))
}

// MayAsk reports whether an owner may be asked, as it was not silent recently.
func (requester *Requester) MayAsk(now clock.Millis, owner string) bool {
	requester.prune(now)
	return requester.unanswered[owner].silentUntil <= now
}

// SilentOwners returns the number of owners that are not asked now.
func (requester *Requester) SilentOwners(now clock.Millis) int {
	silent := 0
	for _, unanswered := range requester.unanswered {
		if unanswered.silentUntil > now {
			silent++
		}
	}
	return silent
}

// prune drops unanswered requests that do not count any more.
func (requester *Requester) prune(now clock.Millis) {
	maps.DeleteFunc(requester.unanswered, func(_ string, unanswered unanswered) bool {
		return unanswered.silentUntil <= now && now-unanswered.askedAt >= unansweredLifetime
	})
}

// NextID returns a number that no request of this daemon has.
func (requester *Requester) NextID() uint64 {
	requester.lastID++
	return requester.lastID
}

// Begin starts a wait for the answer of an owner.
func (requester *Requester) Begin(now clock.Millis, owner, server string, until clock.Millis) *Wait {
	wait := &Wait{ID: requester.NextID(), Owner: owner, Server: server, Until: until, askedAt: now, checkedAt: now}
	requester.waits[wait.ID] = wait
	return wait
}

// Answer applies an owner's answer, and returns the wait that it belongs to, or nil if that has
// ended. The answer to a wait that has ended does not show that the owner answers in time.
func (requester *Requester) Answer(server string, id uint64, granted bool) *Wait {
	wait, ok := requester.waits[id]
	if !ok || wait.Server != server {
		return nil
	}
	wait.answered = true
	wait.granted = wait.granted || granted // answers may overtake each other on different paths
	delete(requester.unanswered, wait.Owner)
	return wait
}

// Check returns the result of a wait, and the time until the result changes without an answer.
// It records an owner that does not answer. The parameter heardAt is the time at which this daemon
// last received anything from the owner, or from the peer through which it asks the owner.
func (requester *Requester) Check(now clock.Millis, wait *Wait, heardAt clock.Millis) (Result, clock.Millis) {
	if gap := now - wait.checkedAt; gap >= maxCheckGap {
		wait.paused = true
		wait.unheard += gap
	}
	wait.checkedAt = now
	answerBy := wait.askedAt + wait.unheard + requester.options.AnswerTimeout
	switch {
	case wait.granted:
		return Granted, 0
	case now >= wait.Until && wait.paused && !wait.answered:
		return Late, 0
	case !wait.answered && now >= answerBy:
		if !wait.paused && requester.recordUnanswered(now, wait, heardAt) {
			return Silent, 0
		}
		return Late, 0
	case now >= wait.Until:
		return Bound, 0
	case !wait.answered:
		return Pending, min(wait.Until, answerBy) - now
	}
	return Pending, wait.Until - now
}

// recordUnanswered records a request that was not answered in time, and reports whether its owner
// is silent now.
func (requester *Requester) recordUnanswered(now clock.Millis, wait *Wait, heardAt clock.Millis) bool {
	requester.prune(now)
	state := requester.unanswered[wait.Owner]
	if state.count == 0 || wait.askedAt-state.askedAt >= requester.options.AnswerTimeout {
		state.count++
		state.askedAt = wait.askedAt
	}
	silent := state.count >= requester.options.SilentAfter || !requester.Heard(now, heardAt)
	if silent {
		state.silentUntil = now + requester.options.SilentTime
	}
	requester.unanswered[wait.Owner] = state
	return silent
}

// Heard reports whether an owner is there, judged by the time at which something was last received
// on the way from it.
func (requester *Requester) Heard(now, heardAt clock.Millis) bool {
	return now-heardAt < requester.options.HeardTime
}

// ShouldReport reports whether a prompt that is sent is to be reported to the owner of its server,
// given how its wait ended. Granted and bound prompts are known to the owner. An owner that is not
// heard of gets no reports: one that is frozen would receive all of them when it goes on, and count
// prompts as just sent that were read long ago.
func (requester *Requester) ShouldReport(now clock.Millis, result Result, heardAt clock.Millis) bool {
	withoutGrant := result == Late || result == Silent || result == Local
	return requester.options.Report && withoutGrant && requester.Heard(now, heardAt)
}

// End ends a wait. Later answers to it are ignored.
func (requester *Requester) End(wait *Wait) {
	delete(requester.waits, wait.ID)
}
