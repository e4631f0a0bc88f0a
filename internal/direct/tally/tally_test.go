package tally_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/direct/port"
	"teaselmoor/internal/direct/tally"
)

func use(server, adapter string) tally.Use {
	return tally.Use{Server: server, Adapter: port.Adapter{Model: "m", Name: adapter}}
}

func TestOwnAndPeersAddUp(t *testing.T) {
	work := tally.New()
	work.Begin(use("s", "a"), 100)
	changed := work.Peer("p", tally.Share{
		Loads: map[string]tally.Load{"s": {Runs: 2, Reading: 50}},
		Uses:  map[tally.Use]int{use("s", "a"): 1, use("s", "b"): 1},
	})
	require.Equal(t, map[tally.Use]int{use("s", "a"): 1, use("s", "b"): 1}, changed)
	require.Equal(t, tally.Load{Runs: 3, Reading: 150}, work.Load("s"))
	require.Equal(t, 2, work.Uses(use("s", "a")))
	require.Equal(t, 2, work.Distinct("s"))
	work.First(use("s", "a"), 100)
	work.End(use("s", "a"), 0)
	require.Equal(t, tally.Load{Runs: 2, Reading: 50}, work.Load("s"))
	require.Equal(t, map[tally.Use]int{use("s", "a"): 0, use("s", "b"): 0}, work.Peer("p", tally.Share{}))
	require.Zero(t, work.Load("s"))
	require.Zero(t, work.Distinct("s"))
}

// TestNothingIsLeft draws requests and shares; when all have ended nothing counts.
func TestNothingIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := tally.New()
		type running struct {
			use    tally.Use
			prompt int
		}
		var requests []running
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			server := rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server")
			adapter := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "adapter")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				prompt := rapid.IntRange(0, 9).Draw(t, "prompt")
				work.Begin(use(server, adapter), prompt)
				requests = append(requests, running{use(server, adapter), prompt})
			case 1:
				if len(requests) > 0 {
					work.End(requests[0].use, requests[0].prompt)
					requests = requests[1:]
				}
			case 2:
				work.Peer("p", tally.Share{
					Loads: map[string]tally.Load{server: {Runs: 1}}, Uses: map[tally.Use]int{use(server, adapter): 1},
				})
			}
		}
		for _, left := range requests {
			work.End(left.use, left.prompt)
		}
		work.Forget("p")
		for _, server := range []string{"s1", "s2"} {
			require.Zero(t, work.Load(server))
			require.Zero(t, work.Distinct(server))
		}
	})
}
