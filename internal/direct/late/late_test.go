package late_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
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

// Milliseconds between a daemon and a caller, and until a daemon knows of other daemons' prompts.
const oneWay, countAge = 1.0, 100.0

// replay runs an engine of speed 0.6 or 1 for 100 s, and returns its streams. An isolated daemon knows only its
// own prompts.
func replay(seed uint64, isolated bool) (ended []*prompt) {
	random, speed := rand.New(rand.NewPCG(seed, 1)), []float64{0.6, 1}[seed%2]
	var all, active []*prompt
	for now, next := 0.0, 1.0; now < 100_000; {
		for ; next <= now; next += random.ExpFloat64() * 500 {
			tokens := 200 + random.IntN(4500)
			all = append(all, &prompt{daemon: random.IntN(59), tokens: tokens, left: tokens, events: 1 + random.IntN([]int{4, 85, 85}[random.IntN(3)]), arrived: next})
			active = append(active, all[len(all)-1])
		}
		chunk := 1024
		for _, each := range active {
			taken := min(chunk, each.left)
			each.left, chunk = each.left-taken, chunk-taken
		}
		now += (9.47 + float64(1024-chunk)/19.2) / speed
		for _, each := range active {
			if each.steps++; each.left > 0 {
				each.steps = 3 // the step that ends the prefill yields the first event
			} else if each.steps%4 == 0 {
				each.event(now, func() int { return known(now, each.daemon, all, isolated) })
			}
			if each.events == 0 {
				ended = append(ended, each)
			}
		}
		active = slices.DeleteFunc(active, func(each *prompt) bool { return each.events == 0 })
	}
	return ended
}

// event passes an event on to the caller.
func (prompt *prompt) event(now float64, tokens func() int) {
	if prompt.readAt > 0 {
		prompt.callerPause = max(prompt.callerPause, now+oneWay-prompt.callerAt)
	}
	prompt.readAt = cmp.Or(prompt.readAt, now)
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
		causes, wrong := make(map[late.Cause]int), 0
		streams, tokens, unexplained := make(map[bool]float64), make(map[bool]float64), make(map[bool]float64) // by whether the pause was late
		for seed := range uint64(10) {
			for _, each := range replay(seed, isolated) {
				cause, known := each.seen.Cause(clock.Millis(each.arrived), goals), each.seen.Conditions.PromptTokens
				first, pause := each.readAt-each.arrived+2*oneWay > float64(goals.First), each.callerPause > float64(goals.Gap)
				if first != (cause == late.First || cause == late.Both) || pause != (cause == late.Pause || cause == late.Both) {
					wrong++
				}
				causes[cause]++
				streams[pause]++
				tokens[pause] += float64(known)
				if known == 0 {
					unexplained[pause]++
				}
			}
		}
		late, others := tokens[true]/streams[true], tokens[false]/streams[false]
		t.Logf("isolated %v: late %v; %d by another cause than the caller's; mean prompt tokens known when the longest pause began: %.0f if late by it, of which %.2f had none, %.0f otherwise",
			isolated, causes, wrong, late, unexplained[true]/streams[true], others)
		require.Greater(t, min(causes["first"], causes["pause"], causes["both"], causes[""]), 10, "the load does not fit this test")
		require.LessOrEqual(t, wrong, 10, "times are rounded to milliseconds")
		require.True(t, isolated || late > 1.5*others)
	}
}

// TestSeriesAreBounded guards against memory and a metrics page that grow with services and ranks, and
// against streams that are not counted because of the bound.
func TestSeriesAreBounded(t *testing.T) {
	counts := late.NewCounts()
	for i := range 600 {
		counts.Add(fmt.Sprint("s", i%50), i/50-1, late.Both)
	}
	streams, series, others := int64(0), 0, 0
	for _, count := range counts.All() {
		streams += count.Streams
		series += len(count.Late)
		if count.Service == late.Other {
			others++
		}
		require.Equal(t, count.Streams, count.Late[late.Both])
		require.Less(t, count.Rank, late.MaxRanks)
	}
	require.EqualValues(t, 600, streams)
	require.LessOrEqual(t, series, late.MaxSeries)
	require.Greater(t, others, 1, "the bound is not reached")
}
