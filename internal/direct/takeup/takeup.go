// Package takeup decides which runs of streams end because their callers have taken the streams up: a caller whose answer breaks off or is
// silent sends a further request, perhaps to another daemon, that goes on after the last event that it has. The daemon that gets it
// sends all others a notice, as one of them may work on the stream still, for a caller or a peer that no longer listens. The package does
// no I/O and reads no clock.
package takeup

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
)

// Hash identifies a text, such as the id of an attempt. It is 0 if there is none.
type Hash uint64

// HashOf returns the hash of a text.
func HashOf(text string) Hash {
	if text == "" {
		return 0
	}
	return Hash(max(1, xxhash.Sum64String(text)))
}

// Event is the place of an event in its stream.
type Event int64

// UnknownEvent is the place of an event whose id is not a number.
const UnknownEvent Event = -1

// EventOf returns the place of the event with an id. The place before the first event is 0.
func EventOf(id string) Event {
	if id == "" {
		return 0
	}
	event, err := strconv.ParseInt(id, 10, 64)
	if err != nil || event < 0 {
		return UnknownEvent
	}
	return Event(event)
}

// Request is a caller's request for a stream, or for the rest of one.
type Request struct {
	Content Hash  // what the caller asks for, the same in each request for one stream
	First   Hash  // the attempt that brought the first event; 0: the request does not say
	Attempt Hash  // of the request
	After   Event // the last event that the caller had when it sent the request
}

// precedes reports whether a request is certainly an earlier one for the stream of a later one: callers never go back behind an event
// that they have.
func (request Request) precedes(later Request) bool {
	return request.sameStream(later) && later.First != 0 && request.After != UnknownEvent && request.After < later.After
}

// mayPrecede reports whether a request may be an earlier one for the stream of a later one.
func (request Request) mayPrecede(later Request) bool {
	ordered := request.After != UnknownEvent && later.After != UnknownEvent
	return request.sameStream(later) && !(ordered && request.After > later.After)
}

// sameStream reports whether two requests may be for the same stream, with First set in the first one.
func (request Request) sameStream(later Request) bool {
	return request.Content == later.Content && request.Attempt != later.Attempt && (later.First == 0 || request.First == later.First)
}

// Run is a request that this daemon works on, with First set to its own attempt if it begins the stream.
type Run struct {
	Request
	Entry string // peer that received the request from its caller; empty: this daemon
	End   func() // ends the work without delay
}

// Runs are the requests that a daemon works on, and the notices that it has received.
type Runs struct {
	runs    map[Hash][]*Run // by content
	notices []notice        // oldest first
}

// notice is a request that takes a stream up.
type notice struct {
	Request
	at clock.Millis // when it was received
}

// noticeLife is how long a notice is kept. An entry that stands still is known to be silent sooner.
const noticeLife = 1 * clock.Second

// NewRuns returns runs of which there are none.
func NewRuns() *Runs {
	return &Runs{runs: make(map[Hash][]*Run)}
}

// Add records a run.
func (runs *Runs) Add(run *Run) {
	runs.runs[run.Content] = append(runs.runs[run.Content], run)
}

// Remove drops a run.
func (runs *Runs) Remove(run *Run) {
	same := runs.runs[run.Content]
	if at := slices.Index(same, run); at >= 0 {
		same = slices.Delete(same, at, at+1)
	}
	if len(same) == 0 {
		delete(runs.runs, run.Content)
		return
	}
	runs.runs[run.Content] = same
}

// Apply applies a notice: it ends and returns the runs that certainly precede the request. It reports false if the notice has been
// applied before.
func (runs *Runs) Apply(now clock.Millis, request Request) (ended []*Run, isNew bool) {
	runs.notices = slices.DeleteFunc(runs.notices, func(notice notice) bool { return now-notice.at >= noticeLife })
	if slices.ContainsFunc(runs.notices, func(notice notice) bool { return notice.Request == request }) {
		return nil, false
	}
	runs.notices = append(runs.notices, notice{Request: request, at: now})
	return runs.end(request, func(run *Run) bool { return run.precedes(request) }), true
}

// EndSilent ends and returns the runs that may precede a request of which there was a notice, and whose entries are silent.
func (runs *Runs) EndSilent(now clock.Millis, silent func(entry string) bool) []*Run {
	var ended []*Run
	for _, notice := range runs.notices {
		if now-notice.at >= noticeLife {
			continue
		}
		ended = append(ended, runs.end(notice.Request, func(run *Run) bool {
			return run.Entry != "" && run.mayPrecede(notice.Request) && silent(run.Entry)
		})...)
	}
	return ended
}

// end ends, removes and returns the runs of a request's content that fulfil a condition.
func (runs *Runs) end(request Request, condition func(run *Run) bool) []*Run {
	var ended []*Run
	for _, run := range slices.Clone(runs.runs[request.Content]) {
		if condition(run) {
			run.End()
			runs.Remove(run)
			ended = append(ended, run)
		}
	}
	return ended
}
