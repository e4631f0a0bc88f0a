package choose_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
)

// TestFastestSpeedDoesNotChangeChoice guards against the highest known speed leaving out a server
// that would have been chosen, or a copy, and against a bound below the speed of servers that
// are not known.
func TestFastestSpeedDoesNotChangeChoice(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 5000 {
		servers, work, asked := drawPlacement(random)
		speeds, fastest := make([]float64, 22), 0.05
		for i := range speeds {
			speeds[i] = []float64{0, 0.3, 0.6, 0.8, 1, 1.6, 3.9, 7}[random.IntN(3+random.IntN(6))]
			fastest = max(fastest, speeds[i])
		}
		addSpeeds(&asked, len(speeds), func(server int) float64 { return speeds[server] })
		weights := choose.DefaultWeights().WithObserved(19.2, 250, 30)
		want, found := weights.Choose(asked, hash, servers, work)
		asked.FastestSpeed = fastest
		got, same := weights.Choose(asked, hash, servers, work)
		require.Equal(t, describe(want, found), describe(got, same), speeds)
	}
}
