package prefill_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/prefill"
)

// TestRateIgnoresFixedPart guards against an engine whose answers take 80 ms besides the reading
// of the prompt being taken for one that reads at half of its rate.
func TestRateIgnoresFixedPart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	rate := &prefill.Rate{}
	require.InDelta(t, 9, rate.TokensPerMS(9), 0, "nothing observed")
	for range 300 {
		tokens := 300 + random.IntN(2000)
		cached := random.IntN(100)
		disturbance := 20 * random.ExpFloat64() // prompts of other daemons
		rate.Observe(tokens, clock.Millis(80+float64(tokens-cached)/19.2+disturbance))
	}
	require.InDelta(t, 19.2, rate.TokensPerMS(9), 3)
}

// TestRateWithoutSlope guards against a division by nothing, and against a rate without bounds
// where prompts are of one size or first events do not depend on their size.
func TestRateWithoutSlope(t *testing.T) {
	rate := &prefill.Rate{}
	for range 100 {
		rate.Observe(1000, 100)
	}
	require.InDelta(t, 9, rate.TokensPerMS(9), 0)
	rate = &prefill.Rate{}
	for i := range 100 {
		rate.Observe(100+10*i, 100)
	}
	require.InDelta(t, 36, rate.TokensPerMS(9), 0.01)
}
