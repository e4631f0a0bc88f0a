package choose

import "slices"

// EventTokens estimates how many tokens of the maximum that a caller states an event of its
// answer stands for. It observes streams that were sent to their end.
type EventTokens struct {
	ratios   []float64 // of the last streams
	oldest   int       // index in ratios, once it is full
	sorted   []float64 // buffer of Observe
	quartile float64
}

const (
	// eventStreams is the number of streams that the estimate is formed from: some ten
	// seconds of the streams that one daemon of a large site relays.
	eventStreams = 64
	// minEventStreams is the number from which there is an estimate. With fewer, one or two
	// streams would determine the quartile.
	minEventStreams = 8
)

// Observe adds a stream that has ended after a number of events, for which the caller stated a
// maximum of output tokens.
func (eventTokens *EventTokens) Observe(output, events int) {
	if output <= 0 || events <= 0 {
		return
	}
	ratio := float64(output) / float64(events)
	if len(eventTokens.ratios) < eventStreams {
		eventTokens.ratios = append(eventTokens.ratios, ratio)
	} else {
		eventTokens.ratios[eventTokens.oldest] = ratio
		eventTokens.oldest = (eventTokens.oldest + 1) % eventStreams
	}
	if len(eventTokens.ratios) < minEventStreams {
		return
	}
	eventTokens.sorted = append(eventTokens.sorted[:0], eventTokens.ratios...)
	slices.Sort(eventTokens.sorted)
	eventTokens.quartile = eventTokens.sorted[len(eventTokens.sorted)*3/4]
}

// PerEvent returns the upper quartile over the last streams, so that most answers are at least as
// long as expected by it, or 0 while there are too few.
func (eventTokens *EventTokens) PerEvent() float64 {
	return eventTokens.quartile
}
