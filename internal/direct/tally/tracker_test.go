package tally_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/tally"
)

func use(server, adapter string) tally.Use {
	return tally.Use{Server: server, Adapter: platformapi.Adapter{Model: "m", Name: adapter}}
}

func TestOwnAndPeerRequestsAreAdded(t *testing.T) {
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

// TestHubCountsEqualPeerCounts: a daemon that gets aggregated counts from a hub has the same
// counts as one that gets the shares of all others.
func TestHubCountsEqualPeerCounts(t *testing.T) {
	hub, member, full := tally.New(), tally.New(), tally.New()
	own := tally.Share{
		Loads: map[string]tally.Load{"s": {Runs: 1, Reading: 10}}, Uses: map[tally.Use]int{use("s", "a"): 1},
	}
	other := tally.Share{
		Loads: map[string]tally.Load{"s": {Runs: 2, Reading: 50}, "r": {Runs: 1}},
		Uses:  map[tally.Use]int{use("s", "a"): 1, use("s", "b"): 1, use("r", "c"): 1},
	}
	hub.Peer("member", own)
	hub.Peer("other", other)
	for _, each := range []*tally.Tally{member, full} {
		each.Begin(use("s", "a"), 10)
		each.Peer("other", other)
	}
	member.SetOthers(hub.Others("member"))
	changed := member.SetUses("s", hub.UsesBut("member", "s"))
	require.Equal(t, map[tally.Use]int{use("s", "a"): 1, use("s", "b"): 1}, changed)
	for _, server := range []string{"s", "r"} {
		require.Equal(t, full.Load(server), member.Load(server))
		require.Equal(t, full.Distinct(server), member.Distinct(server))
	}
	for _, each := range []string{"a", "b"} {
		require.Equal(t, full.Uses(use("s", each)), member.Uses(use("s", each)))
	}
	require.Equal(t, map[tally.Use]int{use("s", "b"): 0}, member.SetUses("s", map[platformapi.Adapter]int{use("s", "a").Adapter: 1}))
	member.ClearOthers()
	require.Equal(t, tally.Load{Runs: 1, Reading: 10}, member.Load("s"))
	require.Equal(t, 1, member.Uses(use("s", "a")))
}

// TestCountsReturnToZero draws requests and shares; once all have ended, all counts are zero.
func TestCountsReturnToZero(t *testing.T) {
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

// TestPeerLoadsAreReplaced: an update for some servers replaces a peer's loads there, and
// the full share that follows is not counted twice.
func TestPeerLoadsAreReplaced(t *testing.T) {
	counted := tally.New()
	counted.PeerLoads("peer", map[string]tally.Load{"a": {Runs: 1, Reading: 10}})
	require.Zero(t, counted.Load("a"), "the peer's full share has not been received yet")
	share := tally.Share{Loads: map[string]tally.Load{"a": {Runs: 1, Reading: 10}, "b": {Runs: 2}}}
	counted.Peer("peer", share)
	counted.PeerLoads("peer", map[string]tally.Load{"a": {Runs: 3, Reading: 40}, "c": {Runs: 1, Reading: 5}, "b": {}})
	require.Equal(t, tally.Load{Runs: 3, Reading: 40}, counted.Load("a"))
	require.Zero(t, counted.Load("b"))
	require.Equal(t, tally.Load{Runs: 1, Reading: 5}, counted.Load("c"))
	require.Equal(t, tally.Load{Runs: 1, Reading: 10}, share.Loads["a"], "the share belongs to the caller")
	counted.Peer("peer", tally.Share{Loads: map[string]tally.Load{"a": {Runs: 1}}})
	require.Equal(t, tally.Load{Runs: 1}, counted.Load("a"))
	require.Zero(t, counted.Load("c"))
	counted.Forget("peer")
	require.Zero(t, counted.Load("a"))
}
