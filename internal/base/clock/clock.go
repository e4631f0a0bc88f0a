// Package clock holds the project's one representation of time: whole
// milliseconds. Decision machines take the current time as an argument of this
// type and never read a clock themselves, so that tests can drive many of them
// on virtual time.
package clock

import "time"

// Millis is a point in time (milliseconds since the Unix epoch) or a span of
// time, by context. The zero value means "never" or "no time".
type Millis int64

// Spans of time, in milliseconds.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
	Day         Millis = 24 * Hour
)

// Source tells the current time. The runtime passes System; tests pass their own.
type Source func() Millis

// System reads the operating system's wall clock.
func System() Millis {
	return Millis(time.Now().UnixMilli())
}

// FromDuration rounds a standard duration down to milliseconds.
func FromDuration(duration time.Duration) Millis {
	return Millis(duration.Milliseconds())
}

// Duration converts a span to a standard duration.
func (millis Millis) Duration() time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// Seconds returns the span in seconds.
func (millis Millis) Seconds() float64 {
	return float64(millis) / float64(Second)
}

// Time converts a point in time to the standard type, in UTC.
func (millis Millis) Time() time.Time {
	return time.UnixMilli(int64(millis)).UTC()
}

// Steady returns a source that never jumps: spans between its times are right
// also when the wall clock is set. It starts at the wall clock's time.
func Steady() Source {
	started := time.Now()
	origin := Millis(started.UnixMilli())
	return func() Millis { return origin + FromDuration(time.Since(started)) }
}
