// Package late determines why the answers of streams are late, and counts them: by their first
// event, by a pause between two events, or by both. It does no I/O and reads no clock.
package late

import "teaselmoor/internal/base/clock"

// Cause is what made a stream late.
type Cause string

// Causes. A stream without one was on time.
const (
	OnTime Cause = ""
	First  Cause = "first" // its first event came after the goal
	Pause  Cause = "pause" // a pause between two events exceeded the gap goal
	Both   Cause = "both"
)

// causes are the causes that are counted, in the order of the metrics.
var causes = [...]Cause{First, Pause, Both}

// Goals are the times that a stream has to keep; 0: not limited.
type Goals struct {
	First clock.Millis // from the arrival of the request to the first event
	Gap   clock.Millis // between two events
}

// Conditions are what a daemon knows of a server at a time.
type Conditions struct {
	Known        bool    // the server is an engine
	PromptTokens int     // of all daemons' prompts in prefill there
	Speed        float64 // relative to the median of the service
}

// Stream is the course of an answer as its caller sees it, over all servers that contribute to it.
// The zero value is a stream without events.
type Stream struct {
	FirstAt      clock.Millis // when the first event came; 0: not yet
	LongestPause clock.Millis
	Conditions   Conditions // of the server when the longest pause began

	lastAt    clock.Millis
	lastKnown Conditions // at lastAt
}

// Event records events that arrive together, and the conditions of the server after them: another
// pause begins.
func (stream *Stream) Event(now clock.Millis, conditions Conditions) {
	if stream.FirstAt == 0 {
		stream.FirstAt = now
	} else {
		stream.pause(now)
	}
	stream.lastAt, stream.lastKnown = now, conditions
}

// Break records that the stream ends before its last event. The caller has waited for the next one
// until then.
func (stream *Stream) Break(now clock.Millis) {
	if stream.FirstAt > 0 {
		stream.pause(now)
	}
}

// pause ends a pause.
func (stream *Stream) pause(now clock.Millis) {
	if length := now - stream.lastAt; length > stream.LongestPause {
		stream.LongestPause, stream.Conditions = length, stream.lastKnown
	}
}

// Cause returns why the answer to a request that arrived at the given time is late.
func (stream *Stream) Cause(arrived clock.Millis, goals Goals) Cause {
	first := goals.First > 0 && stream.FirstAt > 0 && stream.FirstAt-arrived > goals.First
	pause := goals.Gap > 0 && stream.LongestPause > goals.Gap
	switch {
	case first && pause:
		return Both
	case first:
		return First
	case pause:
		return Pause
	default:
		return OnTime
	}
}
