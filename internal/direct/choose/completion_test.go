package choose_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
)

// askLong returns a request for a long answer: 3,600 ms at servers s2 and s5, 5,700 ms at others.
func askLong(attempt int, left clock.Millis) choose.Query {
	asked := query(fmt.Sprint("r", attempt))
	asked.Prompt, asked.ManyDaemons, asked.Output, asked.EventTokens, asked.Left = 200, true, 463, 4, left
	addSpeeds(&asked, 6, func(server int) float64 { return []float64{1, 1, 1.6}[server%3] })
	return asked
}

// TestLongAnswerIsSentToServerFastEnough guards against answers being sent to servers where they would
// be cut off, first loads and copies included, and against slower servers if all are too slow.
func TestLongAnswerIsSentToServerFastEnough(t *testing.T) {
	for attempt := range 100 {
		servers, work := newHolders(6, "s0", "s1", "s2", "s3")
		runAt(work, "s2", 5)
		require.Equal(t, "s2", pick(t, servers, work, askLong(attempt, 4500)).Member.ID)
		require.Equal(t, "s2", pick(t, servers, work, askLong(attempt, 2500)).Member.ID, "all are too slow")
		fast := []string{"s2", "s5"}
		servers, work = newHolders(6, "s0", "s1", "s2", "s3", "s4", "s5")
		require.Contains(t, fast, pick(t, servers, work, askLong(attempt, 6700)).Member.ID, "a probability of 0.3 at the others")
		servers, work = newHolders(6)
		require.Contains(t, fast, pick(t, servers, work, askLong(attempt, 4500)).Member.ID)
		require.Contains(t, fast, choose.DefaultWeights().CopyTargets(askLong(attempt, 4500), hash, servers, work, 1)[0].ID)
	}
}

// TestUnknownCompletionDoesNotChangeChoice guards against any effect while the option is off or one
// of the inputs is missing or invalid, and once the deadline has passed.
func TestUnknownCompletionDoesNotChangeChoice(t *testing.T) {
	for i, change := range []func(asked *choose.Query, weights *choose.Weights){
		func(_ *choose.Query, weights *choose.Weights) { weights.Completion = 0 },
		func(asked *choose.Query, _ *choose.Weights) { asked.Output = 0 },
		func(asked *choose.Query, _ *choose.Weights) { asked.EventTokens = 0 },
		func(asked *choose.Query, _ *choose.Weights) { asked.EventTokens = math.NaN() },
		func(asked *choose.Query, _ *choose.Weights) { asked.Interval = nil },
		func(asked *choose.Query, _ *choose.Weights) { asked.Left = 0 },
	} {
		servers, work := newHolders(6, "s0", "s1", "s2", "s3")
		asked, weights := askLong(i, 4500), choose.DefaultWeights()
		change(&asked, &weights)
		choice, _ := weights.Choose(asked, hash, servers, work)
		asked.Output = 0
		expected, _ := weights.Choose(asked, hash, servers, work)
		require.Equal(t, describe(expected, true), describe(choice, true), i)
	}
}

// TestEventTokens guards against an estimate that few, single or old streams determine.
func TestEventTokens(t *testing.T) {
	eventTokens := choose.EventTokens{}
	for _, events := range []int{20, 20, 20, 20, 20, 20, 20, 0} {
		eventTokens.Observe(80, events)
	}
	require.Zero(t, eventTokens.PerEvent())
	eventTokens.Observe(4000, 1)
	require.Equal(t, 4.0, eventTokens.PerEvent())
	for events := range 64 {
		eventTokens.Observe(6400, 100+events%4*100)
	}
	require.Equal(t, 64.0, eventTokens.PerEvent(), "64, 32, 21.3 and 16 tokens per event, in turn")
}
