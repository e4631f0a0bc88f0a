package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
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

// BenchmarkChooseByFastestSpeed measures placements of prompts of the usual sizes for an adapter with
// three holders of different speeds, at a site of 1,500 servers, without and with the highest speed.
func BenchmarkChooseByFastestSpeed(b *testing.B) {
	for name, fastest := range map[string]float64{"unknown": 0, "known": 1.6} {
		b.Run(name, func(b *testing.B) {
			servers, work := newFleet(1500)
			for i := range 3 {
				setTable(servers, fmt.Sprint("s", i), 1, fleet.Slot{Adapter: adapter, Version: 1})
				for range 4 * i {
					work.Begin(inflight.Use{Server: fmt.Sprint("s", i), Adapter: adapter}, 0)
				}
			}
			asked := query("r")
			asked.ManyDaemons, asked.Frequent, asked.FastestSpeed = true, true, fastest
			addSpeeds(&asked, 1500, func(i int) float64 { return siteSpeeds[i%len(siteSpeeds)] })
			weights := choose.DefaultWeights().WithObserved(siteRate, siteLoad, siteRecentLoad)
			for i := 0; b.Loop(); i++ {
				asked.Prompt = []int{200, 650, 1460, 2400, 4700}[i%5]
				weights.Choose(asked, hash, servers, work)
			}
		})
	}
}
