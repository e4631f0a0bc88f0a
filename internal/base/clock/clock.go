// Package clock represents times and durations in whole milliseconds. Decision logic takes
// the current time as an argument of this type and never reads a clock itself, so that
// tests can run it in virtual time.
package clock

import "time"

// Millis is a time (milliseconds since the Unix epoch) or a duration, depending on the
// context. The zero value means "never" as a time and "none" as a duration.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
	Day         Millis = 24 * Hour
)

// Source returns the current time. Daemons use the sources of this package; tests pass
// their own.
type Source func() Millis

// System returns the time of the system's wall clock.
func System() Millis {
	return Millis(time.Now().UnixMilli())
}

// FromDuration converts a standard duration and truncates it to whole milliseconds.
func FromDuration(duration time.Duration) Millis {
	return Millis(duration.Milliseconds())
}

// Duration converts a duration in milliseconds to a standard duration.
func (millis Millis) Duration() time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// Seconds returns the duration in seconds.
func (millis Millis) Seconds() float64 {
	return float64(millis) / float64(Second)
}

// Time converts a time to the standard type, in UTC.
func (millis Millis) Time() time.Time {
	return time.UnixMilli(int64(millis)).UTC()
}

// Monotonic returns a source that reads the monotonic clock, so that differences between its
// times stay correct when the wall clock is changed. It starts at the wall clock's time.
func Monotonic() Source {
	start := time.Now()
	startMillis := Millis(start.UnixMilli())
	return func() Millis { return startMillis + FromDuration(time.Since(start)) }
}
