package inflight_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

func use(server, adapter string) inflight.Use {
	return inflight.Use{Server: server, Adapter: platformapi.Adapter{Model: "m", Name: adapter}}
}

func TestOwnAndPeerRequestsAreAdded(t *testing.T) {
	work := inflight.New()
	work.Begin(use("s", "a"), 100)
	changed := work.SetPeer("p", inflight.Share{
		Loads: map[string]inflight.Load{"s": {Runs: 2, Reading: 50}},
		Uses:  map[inflight.Use]int{use("s", "a"): 1, use("s", "b"): 1},
	})
	require.Equal(t, map[inflight.Use]int{use("s", "a"): 1, use("s", "b"): 1}, changed)
	require.Equal(t, inflight.Load{Runs: 3, Reading: 150}, work.Load("s"))
	require.Equal(t, 2, work.Uses(use("s", "a")))
	require.Equal(t, 2, work.AdapterCount("s"))
	work.FirstEvent(use("s", "a"), 100)
	work.End(use("s", "a"), 0)
	require.Equal(t, inflight.Load{Runs: 2, Reading: 50}, work.Load("s"))
	require.Equal(t, map[inflight.Use]int{use("s", "a"): 0, use("s", "b"): 0}, work.SetPeer("p", inflight.Share{}))
	require.Zero(t, work.Load("s"))
	require.Zero(t, work.AdapterCount("s"))
}

// TestHubCountsEqualPeerCounts: a daemon that gets aggregated counts from a hub has the same
// counts as one that gets the shares of all others.
func TestHubCountsEqualPeerCounts(t *testing.T) {
	hub, member, full := inflight.New(), inflight.New(), inflight.New()
	own := inflight.Share{
		Loads: map[string]inflight.Load{"s": {Runs: 1, Reading: 10}}, Uses: map[inflight.Use]int{use("s", "a"): 1},
	}
	other := inflight.Share{
		Loads: map[string]inflight.Load{"s": {Runs: 2, Reading: 50}, "r": {Runs: 1}},
		Uses:  map[inflight.Use]int{use("s", "a"): 1, use("s", "b"): 1, use("r", "c"): 1},
	}
	hub.SetPeer("member", own)
	hub.SetPeer("other", other)
	for _, each := range []*inflight.Tracker{member, full} {
		each.Begin(use("s", "a"), 10)
		each.SetPeer("other", other)
	}
	member.SetHubSums(hub.SumsExcept("member"))
	changed := member.SetHubUses("s", hub.UsesExcept("member", "s"))
	require.Equal(t, map[inflight.Use]int{use("s", "a"): 1, use("s", "b"): 1}, changed)
	for _, server := range []string{"s", "r"} {
		require.Equal(t, full.Load(server), member.Load(server))
		require.Equal(t, full.AdapterCount(server), member.AdapterCount(server))
	}
	for _, each := range []string{"a", "b"} {
		require.Equal(t, full.Uses(use("s", each)), member.Uses(use("s", each)))
	}
	require.Equal(t, map[inflight.Use]int{use("s", "b"): 0}, member.SetHubUses("s", map[platformapi.Adapter]int{use("s", "a").Adapter: 1}))
	member.ClearHubSums()
	require.Equal(t, inflight.Load{Runs: 1, Reading: 10}, member.Load("s"))
	require.Equal(t, 1, member.Uses(use("s", "a")))
}

// TestCountsReturnToZero draws requests and shares; once all have ended, all counts are zero.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := inflight.New()
		type running struct {
			use    inflight.Use
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
				work.SetPeer("p", inflight.Share{
					Loads: map[string]inflight.Load{server: {Runs: 1}}, Uses: map[inflight.Use]int{use(server, adapter): 1},
				})
			}
		}
		for _, left := range requests {
			work.End(left.use, left.prompt)
		}
		work.RemovePeer("p")
		for _, server := range []string{"s1", "s2"} {
			require.Zero(t, work.Load(server))
			require.Zero(t, work.AdapterCount(server))
		}
	})
}

// TestPeerLoadsAreReplaced: an update for some servers replaces a peer's loads there, and
// the full share that follows is not counted twice.
func TestPeerLoadsAreReplaced(t *testing.T) {
	counted := inflight.New()
	counted.SetPeerLoads("peer", map[string]inflight.Load{"a": {Runs: 1, Reading: 10}})
	require.Zero(t, counted.Load("a"), "the peer's full share has not been received yet")
	share := inflight.Share{Loads: map[string]inflight.Load{"a": {Runs: 1, Reading: 10}, "b": {Runs: 2}}}
	counted.SetPeer("peer", share)
	counted.SetPeerLoads("peer", map[string]inflight.Load{"a": {Runs: 3, Reading: 40}, "c": {Runs: 1, Reading: 5}, "b": {}})
	require.Equal(t, inflight.Load{Runs: 3, Reading: 40}, counted.Load("a"))
	require.Zero(t, counted.Load("b"))
	require.Equal(t, inflight.Load{Runs: 1, Reading: 5}, counted.Load("c"))
	require.Equal(t, inflight.Load{Runs: 1, Reading: 10}, share.Loads["a"], "the share belongs to the caller")
	counted.SetPeer("peer", inflight.Share{Loads: map[string]inflight.Load{"a": {Runs: 1}}})
	require.Equal(t, inflight.Load{Runs: 1}, counted.Load("a"))
	require.Zero(t, counted.Load("c"))
	counted.RemovePeer("peer")
	require.Zero(t, counted.Load("a"))
}
