package fleet_test

import (
	"fmt"
	"testing"

	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
)

// BenchmarkFirstRead measures how a starting daemon applies the entries of all servers.
func BenchmarkFirstRead(b *testing.B) {
	for _, count := range []int{84, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				servers := fleet.New(fleet.DefaultOptions())
				for i := range count {
					servers.Put(platformapi.Server{ID: fmt.Sprint("i-", i), Service: "engines"}, int64(i+1))
				}
				servers.Usable("engines")
			}
		})
	}
}
