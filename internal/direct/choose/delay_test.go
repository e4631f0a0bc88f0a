package choose_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
)

// The simulated engine reads prompts in chunks between the decoding steps of its streams,
// which get an event every few steps.
const (
	engineRate    = 38.0 // prompt tokens per millisecond
	engineChunk   = 2048 // maximum prompt tokens per step
	engineStep    = 5.5  // duration of a step without a prompt, in milliseconds
	stepsPerEvent = 6
	gapGoal       = 300
	firstGoal     = 600
)

// arrivals generates prompts for a busy engine, which spends 0.4 of its time reading them.
// One prompt in a hundred has about 6,000 tokens.
func arrivals(span float64) (at []float64, tokens []int) {
	random := rand.New(rand.NewPCG(5, 6))
	const mean, spread = 1134, 0.7
	for now := 0.0; ; {
		now += random.ExpFloat64() * mean / (0.4 * engineRate)
		if now > span {
			return at, tokens
		}
		size := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
		at = append(at, now)
		tokens = append(tokens, int(min(size, 7500)))
	}
}

// replayEngine sends each prompt once allows reports true. It returns the share of events that
// follow a gap over the goal, and the mean time that prompts were delayed.
func replayEngine(allows func(now, waited clock.Millis, tokens int) bool) (late, meanWait float64) {
	at, tokens := arrivals(200_000)
	backlog, now, waited := 0.0, 0.0, 0.0
	var held []int
	events, over := 0, 0
	for next := 0; next < len(at) || len(held) > 0; {
		gap := 0.0
		for range stepsPerEvent {
			for ; next < len(at) && at[next] <= now; next++ {
				held = append(held, next)
			}
			var left []int
			for _, i := range held {
				if allows(clock.Millis(now), clock.Millis(now-at[i]), tokens[i]) {
					backlog += float64(tokens[i])
					waited += now - at[i]
					continue
				}
				left = append(left, i)
			}
			held = left
			chunk := min(backlog, engineChunk)
			backlog -= chunk
			gap += engineStep + chunk/engineRate
			now += engineStep + chunk/engineRate
		}
		events++
		if gap > gapGoal {
			over++
		}
	}
	return float64(over) / float64(events), waited / float64(len(at))
}

// TestDelayedPromptsShortenStreamPauses simulates a busy engine: delaying prompts that
// follow each other closely reduces the events after a gap over the goal, and the mean
// delay is small against the first-event goal.
func TestDelayedPromptsShortenStreamPauses(t *testing.T) {
	always := func(clock.Millis, clock.Millis, int) bool { return true }
	before, _ := replayEngine(always)
	bucket, policy := choose.NewPromptBucket(), choose.DefaultDelayPolicy()
	after, wait := replayEngine(func(now, waited clock.Millis, tokens int) bool {
		prompt := choose.Prompt{Tokens: tokens, Goal: firstGoal, GapGoal: gapGoal, Waited: waited}
		if policy.ShouldDelay(prompt, bucket.Level(now, "s", engineRate), engineRate) {
			return false
		}
		bucket.Add(now, "s", tokens, engineRate)
		return true
	})
	t.Logf("share of events after a gap over the goal: %.4f without delays, %.4f with; mean delay %.0f ms", before, after, wait)
	require.Greater(t, before, 0.003, "the load is too low for this test")
	require.Less(t, after, 0.6*before)
	require.Less(t, wait, 0.1*firstGoal)
}

func TestDelayPolicy(t *testing.T) {
	policy := choose.DefaultDelayPolicy()
	prompt := choose.Prompt{Tokens: 1000, Goal: firstGoal, GapGoal: gapGoal}
	require.False(t, policy.ShouldDelay(prompt, 4000, engineRate), "the prompts fit in the share of the gap goal")
	require.True(t, policy.ShouldDelay(prompt, 5000, engineRate))
	prompt.Waited = firstGoal / 2
	require.False(t, policy.ShouldDelay(prompt, 5000, engineRate), "it would miss its own first-event goal")
	prompt.Waited, prompt.Tokens = 0, 100_000
	require.False(t, policy.ShouldDelay(prompt, 0, engineRate), "an idle engine gets a prompt of any size")
}

func TestPromptBucketLeaks(t *testing.T) {
	bucket := choose.NewPromptBucket()
	require.Zero(t, bucket.Level(0, "s", engineRate))
	bucket.Add(1000, "s", 3800, engineRate)
	bucket.Add(1000, "other", 1, engineRate)
	require.InDelta(t, 3800, bucket.Level(1000, "s", engineRate), 1)
	require.InDelta(t, 1520, bucket.Level(1100, "s", engineRate), 1)
	require.Zero(t, bucket.Level(1200, "s", engineRate))
	bucket.Retain(func(string) bool { return false })
	require.Zero(t, bucket.Level(1000, "s", engineRate))
}

// TestReadRateConverges: answers take some milliseconds longer than the reading, and the
// engine has some prompts cached in part.
func TestReadRateConverges(t *testing.T) {
	for _, truth := range []float64{12, 19, 39, 80} {
		random := rand.New(rand.NewPCG(7, 8))
		rate := choose.NewReadRate()
		for range 2000 {
			tokens := 300 + random.IntN(3000)
			read := float64(tokens)
			if random.IntN(5) == 0 {
				read *= 0.6
			}
			rate.Observe(tokens, clock.Millis(10+5*random.Float64()+read/truth))
		}
		require.InEpsilon(t, truth, rate.TokensPerMS(), 0.3)
	}
}
