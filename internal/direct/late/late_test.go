package late_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/late"
)

// prompt is a request at the replayed engine.
type prompt struct {
	daemon, tokens, left, steps, events int
	arrived, readAt                     float64 // readAt: when the first event came; 0: not yet
	seen                                late.Stream
	callerAt, callerPause               float64 // when the caller got the last event, and its longest pause
}

var goals = late.Goals{First: 800, Gap: 300}

const (
	replayDaemons = 59
	oneWay        = 1.0   // milliseconds between a daemon and a caller
	countAge      = 100.0 // milliseconds until a daemon knows of other daemons' prompts
)

// replay runs an engine of speed 0.6 or 1 for 100 s, and returns its streams. An isolated daemon knows only its
// own prompts.
func replay(seed uint64, isolated bool) (ended []*prompt) {
	random, speed := rand.New(rand.NewPCG(seed, 1)), []float64{0.6, 1}[seed%2]
	var all, active []*prompt
	for now, next := 0.0, 1.0; now < 100_000; {
		for ; next <= now; next += random.ExpFloat64() * 500 {
			tokens := 200 + random.IntN(4500)
			all = append(all, &prompt{daemon: random.IntN(replayDaemons), tokens: tokens, left: tokens, events: 1 + random.IntN([]int{4, 85, 85}[random.IntN(3)]), arrived: next})
			active = append(active, all[len(all)-1])
		}
		chunk := 1024
		for _, each := range active {
			taken := min(chunk, each.left)
			each.left, chunk = each.left-taken, chunk-taken
		}
		now += (9.47 + float64(1024-chunk)/19.2) / speed
		var running []*prompt
		for _, each := range active {
			if each.steps++; each.left > 0 {
				each.steps = 3 // the step that ends the prefill yields the first event
			} else if each.steps%4 == 0 {
				each.event(now, func() int { return known(now, each.daemon, all, isolated) })
			}
			if each.events > 0 {
				running = append(running, each)
			} else {
				ended = append(ended, each)
			}
		}
		active = running
	}
	return ended
}

// event passes an event on to the caller.
func (prompt *prompt) event(now float64, tokens func() int) {
	if prompt.readAt == 0 {
		prompt.readAt = now
	} else {
		prompt.callerPause = max(prompt.callerPause, now+oneWay-prompt.callerAt)
	}
	prompt.callerAt = now + oneWay
	prompt.seen.Event(clock.Millis(now), late.Conditions{Known: true, PromptTokens: tokens(), Speed: 1})
	prompt.events--
}

// known returns the prompt tokens that a daemon knows to be in prefill.
func known(now float64, daemon int, all []*prompt, isolated bool) (tokens int) {
	for _, each := range all[max(0, len(all)-40):] {
		asOf := now
		if each.daemon != daemon {
			asOf -= countAge
		}
		if asOf >= each.arrived && (each.readAt == 0 || asOf < each.readAt) && !(isolated && each.daemon != daemon) {
			tokens += each.tokens
		}
	}
	return tokens
}

// TestCausesAreThoseOfCallers guards against causes that differ from what callers have seen, also where a
// daemon knows nothing of the others, and against conditions that do not tell late pauses from others.
func TestCausesAreThoseOfCallers(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		counts := make(map[late.Cause]int)
		streams, wrong, unexplained, tokens := 0, 0, 0, [2]int{}
		for seed := range uint64(10) {
			for _, each := range replay(seed, isolated) {
				cause := each.seen.Cause(clock.Millis(each.arrived), goals)
				first, pause := each.readAt-each.arrived+2*oneWay > float64(goals.First), each.callerPause > float64(goals.Gap)
				if first != (cause == late.First || cause == late.Both) || pause != (cause == late.Pause || cause == late.Both) {
					wrong++
				}
				streams++
				counts[cause]++
				known := each.seen.Conditions.PromptTokens
				if !pause {
					tokens[0] += known
					continue
				}
				tokens[1] += known
				if known == 0 {
					unexplained++
				}
			}
		}
		paused := counts[late.Pause] + counts[late.Both]
		mean := [2]float64{float64(tokens[0]) / float64(streams-paused), float64(tokens[1]) / float64(paused)}
		t.Logf("isolated %v: %d streams, late %v; %d by another cause than the caller's; mean prompt tokens known when the longest pause began: %.0f if late by it, of which %.2f had none, %.0f otherwise",
			isolated, streams, counts, wrong, mean[1], float64(unexplained)/float64(paused), mean[0])
		require.Greater(t, min(counts[late.First], counts[late.Pause], counts[late.Both], counts[late.OnTime]), 10, "the load does not fit this test")
		require.LessOrEqual(t, wrong, streams/100, "times are rounded to milliseconds")
		if !isolated {
			require.Greater(t, mean[1], 1.5*mean[0])
		}
	}
}

// TestSeriesAreBounded guards against memory and a metrics page that grow with services and ranks, and
// against streams that are not counted because of the bound.
func TestSeriesAreBounded(t *testing.T) {
	counts := late.NewCounts()
	for i := range 500 {
		counts.Add(fmt.Sprint("s", i%50), i%25-1, late.Both)
	}
	streams, series := int64(0), 0
	for _, count := range counts.All() {
		streams += count.Streams
		series += len(count.Late)
		require.Equal(t, count.Streams, count.Late[late.Both])
		require.Less(t, count.Rank, late.MaxRanks)
	}
	require.EqualValues(t, 500, streams)
	require.LessOrEqual(t, series, late.MaxSeries)
}
