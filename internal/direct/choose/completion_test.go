package choose_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
)

// askLong returns a request for a long answer: 5,700 ms at a server of speed 1, 3,600 ms at one of
// speed 1.6 and 9,500 ms at one of speed 0.6.
func askLong(attempt int, left clock.Millis, speed func(server int) float64) choose.Query {
	asked := query(fmt.Sprint("r", attempt))
	asked.Prompt, asked.ManyDaemons = 200, true
	asked.Output, asked.EventTokens, asked.Left = 463, 4, left
	addSpeeds(&asked, 6, speed)
	return asked
}

// oneFast returns the speeds of six servers, of which s2 is fast.
func oneFast(server int) float64 {
	if server == 2 {
		return 1.6
	}
	return []float64{1, 0.6}[server%2]
}

// TestLongAnswerIsSentToServerFastEnough guards against an answer being sent to a holder at which
// it would be cut off, to a slow server for its first load or as its copy, and against a choice by
// cheaper servers if all are too slow.
func TestLongAnswerIsSentToServerFastEnough(t *testing.T) {
	for attempt := range 100 {
		servers, work := newHolders(6, "s0", "s1", "s2", "s3")
		runAt(work, "s2", 5)
		for _, left := range []clock.Millis{4500, 2500} {
			require.Equal(t, "s2", pick(t, servers, work, askLong(attempt, left, oneFast)).Member.ID, left)
		}
		servers, work = newHolders(6, "s0", "s1", "s2", "s3", "s4", "s5")
		choice := pick(t, servers, work, askLong(attempt, 6700, func(server int) float64 { return []float64{1, 1, 1.6}[server%3] }))
		require.Contains(t, []string{"s2", "s5"}, choice.Member.ID, "a probability of 0.3 at the others")
		servers, work = newHolders(6)
		require.Equal(t, "s2", pick(t, servers, work, askLong(attempt, 4500, oneFast)).Member.ID)
		servers, work = newHolders(6, "s1")
		asked := askLong(attempt, 20_000, oneFast)
		require.Equal(t, "s1", pick(t, servers, work, asked).Member.ID, "in time at the holder")
		asked.Left, asked.Frequent = 4500, true
		require.Equal(t, "s2", choose.DefaultWeights().CopyTargets(asked, hash, servers, work, 1)[0].ID)
	}
}

// TestUnknownCompletionDoesNotChangeChoice guards against any effect while the option is off or one
// of the inputs is missing or invalid, and once the deadline has passed.
func TestUnknownCompletionDoesNotChangeChoice(t *testing.T) {
	for name, change := range map[string]func(asked *choose.Query, weights *choose.Weights){
		"off":          func(_ *choose.Query, weights *choose.Weights) { weights.Completion = 0 },
		"no output":    func(asked *choose.Query, _ *choose.Weights) { asked.Output = 0 },
		"no tokens":    func(asked *choose.Query, _ *choose.Weights) { asked.EventTokens = 0 },
		"not a number": func(asked *choose.Query, _ *choose.Weights) { asked.EventTokens = math.NaN() },
		"no interval":  func(asked *choose.Query, _ *choose.Weights) { asked.Interval = nil },
		"passed":       func(asked *choose.Query, _ *choose.Weights) { asked.Left = -1 },
	} {
		for attempt := range 50 {
			servers, work := newHolders(6, "s0", "s1", "s2", "s3")
			runAt(work, "s2", 5)
			asked, weights := askLong(attempt, 4500, oneFast), choose.DefaultWeights()
			change(&asked, &weights)
			choice, found := weights.Choose(asked, hash, servers, work)
			asked.Output, asked.EventTokens, asked.Left = 0, 0, 0
			expected, _ := weights.Choose(asked, hash, servers, work)
			require.Equal(t, describe(expected, true), describe(choice, found), name)
		}
	}
}

// TestEventTokens guards against an estimate from few streams, or one that single streams or streams
// of long ago determine.
func TestEventTokens(t *testing.T) {
	eventTokens := choose.EventTokens{}
	for range 7 {
		eventTokens.Observe(80, 20)
	}
	eventTokens.Observe(0, 20)
	eventTokens.Observe(80, 0)
	require.Zero(t, eventTokens.PerEvent())
	eventTokens.Observe(4000, 1)
	require.Equal(t, 4.0, eventTokens.PerEvent())
	for events := range 64 {
		eventTokens.Observe(6400, 100+events%4*100)
	}
	require.Equal(t, 64.0, eventTokens.PerEvent(), "64, 32, 21.3 and 16 tokens per event, in turn")
}
