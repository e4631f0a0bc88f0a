package inflight_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

// share draws the requests that a daemon has in progress.
func share(t *rapid.T, name string) inflight.Share {
	drawn := inflight.Share{Loads: make(map[string]inflight.Load), Uses: make(map[inflight.Use]int)}
	for range rapid.IntRange(0, 6).Draw(t, name) {
		server := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "server")
		adapter := platformapi.Adapter{Model: "m", Name: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "adapter")}
		load := drawn.Loads[server]
		load.Runs++
		load.Reading += 10 * rapid.IntRange(0, 3).Draw(t, "reading")
		drawn.Loads[server] = load
		drawn.Uses[inflight.Use{Server: server, Adapter: adapter}]++
	}
	return drawn
}

// TestDeltaApplied: applying the delta between two shares to the first one gives the second.
func TestDeltaApplied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := share(t, "before"), share(t, "after")
		changes := after.DeltaFrom(before)
		require.Equal(t, after, before.ApplyDelta(changes))
		require.True(t, after.DeltaFrom(after).Empty())
		for use := range changes.Uses {
			require.Contains(t, changes.Loads, use.Server, "a delta with uses includes the load of their server")
		}
	})
}

// TestGroupExcludesOtherHubs: the counts that a hub sends are those of its own group and not
// those of other hubs.
func TestGroupExcludesOtherHubs(t *testing.T) {
	counted := inflight.New()
	adapter := platformapi.Adapter{Model: "m", Name: "a"}
	counted.Begin(inflight.Use{Server: "s1", Adapter: adapter}, 20)
	counted.SetPeer("near", inflight.Share{Loads: map[string]inflight.Load{"s1": {Runs: 2, Reading: 5}}, Uses: map[inflight.Use]int{{Server: "s1", Adapter: adapter}: 2}})
	counted.SetPeer("hub", inflight.Share{Loads: map[string]inflight.Load{"s1": {Runs: 9}, "s2": {Runs: 1}}, Uses: map[inflight.Use]int{}})
	group := counted.Group([]string{"near"})
	require.Equal(t, map[string]inflight.Load{"s1": {Runs: 3, Reading: 25}}, group.Loads)
	require.Equal(t, map[inflight.Use]int{{Server: "s1", Adapter: adapter}: 3}, group.Uses)
	require.Equal(t, inflight.Load{Runs: 12, Reading: 25}, counted.Load("s1"))
}
