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
	Silent    Result = "silent"    // the owner has not answered in time; the daemon's own rule applies
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
}

// Requester keeps the prompts of one daemon that wait for grants, and the owners that do not
// answer.
type Requester struct {
	options     Options
	lastID      uint64
	waits       map[uint64]*Wait
	silentUntil map[string]clock.Millis // by owner
}

// NewRequester returns a requester without waits. Its requests are numbered from firstID on; a
// daemon that restarts must not repeat the numbers of requests that may still wait at owners.
func NewRequester(options Options, firstID uint64) *Requester {
	return &Requester{options: options, lastID: firstID, waits: make(map[uint64]*Wait), silentUntil: make(map[string]clock.Millis)}
}

// Bound returns when a prompt is sent in any case, given the arrival of its request and the
// first-event goal, or the time that the request has in all if that is shorter.
func (requester *Requester) Bound(arrived, goal clock.Millis) clock.Millis {
	return arrived + clock.Millis(requester.options.GoalShare*float64(goal))
}

// MayAsk reports whether an owner may be asked, as it was not silent recently.
func (requester *Requester) MayAsk(now clock.Millis, owner string) bool {
	maps.DeleteFunc(requester.silentUntil, func(_ string, until clock.Millis) bool { return until <= now })
	return requester.silentUntil[owner] == 0
}

// Begin starts a wait for the answer of an owner.
func (requester *Requester) Begin(now clock.Millis, owner, server string, until clock.Millis) *Wait {
	requester.lastID++
	wait := &Wait{ID: requester.lastID, Owner: owner, Server: server, Until: until, askedAt: now}
	requester.waits[wait.ID] = wait
	return wait
}

// Answer applies an owner's answer, and returns the wait that it belongs to, or nil if that has
// ended.
func (requester *Requester) Answer(server string, id uint64, granted bool) *Wait {
	wait, ok := requester.waits[id]
	if !ok || wait.Server != server {
		return nil
	}
	wait.answered = true
	wait.granted = wait.granted || granted // answers may overtake each other on different paths
	return wait
}

// Check returns the result of a wait, and the time until the result changes without an answer.
// It records an owner that is silent.
func (requester *Requester) Check(now clock.Millis, wait *Wait) (Result, clock.Millis) {
	switch {
	case wait.granted:
		return Granted, 0
	case !wait.answered && now-wait.askedAt >= requester.options.AnswerTimeout:
		requester.silentUntil[wait.Owner] = now + requester.options.SilentTime
		return Silent, 0
	case now >= wait.Until:
		return Bound, 0
	case !wait.answered:
		return Pending, min(wait.Until, wait.askedAt+requester.options.AnswerTimeout) - now
	}
	return Pending, wait.Until - now
}

// End ends a wait. Later answers to it are ignored.
func (requester *Requester) End(wait *Wait) {
	delete(requester.waits, wait.ID)
}
