package speed

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

// minEvents is the number of intervals from which a quartile is formed. With fewer, one pause
// caused by a prefill would count.
const minEvents = 4

// Meter measures the intervals between the events of one stream, of which it keeps those that
// ended within sampleLength, and at least the last minEvents. The zero value is a meter without
// events.
type Meter struct {
	started   bool
	lastAt    clock.Millis // of the last event
	sampledAt clock.Millis
	kept      []interval
	sorted    []float64 // buffer of LowerQuartile
}

// interval is the time before events that arrived together.
type interval struct {
	endedAt clock.Millis
	length  clock.Millis
	count   int
}

func (interval interval) millis() float64 {
	return float64(interval.length) / float64(interval.count)
}

// togetherTime is the time within which events count as having arrived together. A daemon that
// was suspended reads what has arrived meanwhile in several parts.
const togetherTime = 2 * clock.Millisecond

// sampleLength is the time over which a stream is sampled, and between two samples. In the replay
// of this package, 500 ms showed a change 200 ms later, and samples that did not overlap showed
// one up to a second later, as a sample that began before a change hides it.
const sampleLength = 250 * clock.Millisecond

// Event records that a number of events arrived together. The time since the previous ones is
// divided among them: events that the network or this daemon has held up would otherwise look
// slow, and those behind them fast.
func (meter *Meter) Event(now clock.Millis, count int) {
	if !meter.started || count < 1 {
		meter.started, meter.lastAt, meter.sampledAt = true, now, now
		return
	}
	length := now - meter.lastAt
	meter.lastAt = now
	if last := len(meter.kept) - 1; last >= 0 && length < togetherTime {
		meter.kept[last].endedAt = now
		meter.kept[last].length += length
		meter.kept[last].count += count
		return
	}
	outdated := 0
	for len(meter.kept)-outdated >= minEvents && meter.kept[outdated].endedAt <= now-sampleLength {
		outdated++
	}
	meter.kept = append(slices.Delete(meter.kept, 0, outdated), interval{endedAt: now, length: length, count: count})
}

// LowerQuartile returns the lower quartile of the kept intervals, and their number. A pause that
// lengthens fewer than three quarters of them does not change it.
func (meter *Meter) LowerQuartile() (millis float64, events int) {
	events = len(meter.kept)
	if events == 0 {
		return 0, 0
	}
	meter.sorted = meter.sorted[:0]
	for _, interval := range meter.kept {
		meter.sorted = append(meter.sorted, interval.millis())
	}
	slices.Sort(meter.sorted)
	return meter.sorted[(events-1)/4], events
}

// Sample returns the lower quartile if a sample is due and there are enough intervals.
func (meter *Meter) Sample(now clock.Millis) (millis float64, events int, ok bool) {
	if now-meter.sampledAt < sampleLength || len(meter.kept) < minEvents {
		return 0, 0, false
	}
	meter.sampledAt = now
	millis, events = meter.LowerQuartile()
	return millis, events, true
}
