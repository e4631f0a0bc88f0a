package choose_test

import (
	"fmt"
	"testing"

	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
)

// BenchmarkChoose measures one placement decision.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 140, 1500} {
		for _, speeds := range []string{"", " with speeds"} {
			b.Run(fmt.Sprint(count, speeds), func(b *testing.B) {
				servers, work := newFleet(count)
				weights := choose.DefaultWeights()
				asked := query("r")
				if speeds != "" {
					asked.ManyDaemons, asked.FastestSpeed = true, 1.6
					addSpeeds(&asked, count, func(i int) float64 { return siteSpeeds[i%len(siteSpeeds)] })
				}
				b.Run("miss", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						weights.Choose(asked, hash, servers, work)
					}
				})
				for i := range min(count, 20) {
					setTable(servers, fmt.Sprint("s", i), 1, fleet.Slot{Adapter: adapter, Version: 1})
				}
				b.Run("hit", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						weights.Choose(asked, hash, servers, work)
					}
				})
			})
		}
	}
}
