package choose_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

// addSpeeds adds the speeds of servers to a query, as the gateway does.
func addSpeeds(asked *choose.Query, count int, speed func(server int) float64) {
	speeds := make(map[string]float64)
	for i := range count {
		speeds[fmt.Sprint("s", i)] = speed(i)
	}
	asked.GapGoal = gapGoal
	asked.Speed = func(server string) float64 { return speeds[server] }
	asked.Interval = func(server string) float64 { return siteStep * siteEventSteps / speeds[server] }
}

// fastAndSlow returns the speeds of a site: the first two servers are fast, the others slow.
func fastAndSlow(server int) float64 {
	if server < 2 {
		return 1.6
	}
	return 0.6
}

// runAt has a server run requests for the adapter.
func runAt(work *inflight.Tracker, server string, requests int) {
	for range requests {
		work.Begin(inflight.Use{Server: server, Adapter: adapter}, 0)
	}
}

// newHolders returns servers with 12 slots, some of which hold the adapter.
func newHolders(count int, holders ...string) (*fleet.Fleet, *inflight.Tracker) {
	servers := fleet.New(fleet.DefaultOptions())
	for i := range count {
		servers.Put(platformapi.Server{ID: fmt.Sprint("s", i), Service: service, Slots: siteSlots, Models: []platformapi.Holding{{Model: "m"}}}, int64(i+1))
	}
	for _, holder := range holders {
		setTable(servers, holder, 1, fleet.Slot{Adapter: adapter, Version: 1})
	}
	return servers, inflight.New()
}

// TestNeutralSpeedsDoNotChangeChoice guards against any effect of the speeds of equal servers
// while Late is 0, and of Late while the gateway sets no gap goal.
func TestNeutralSpeedsDoNotChangeChoice(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 1000 {
		servers, work, asked := drawPlacement(random)
		weights := choose.DefaultWeights()
		choice, found := weights.Choose(asked, hash, servers, work)
		weights.Late = 0
		neutral := asked
		neutral.GapGoal = gapGoal
		neutral.Speed = func(string) float64 { return 1 }
		neutral.Interval = func(string) float64 { return 0 }
		same, foundSame := weights.Choose(neutral, hash, servers, work)
		require.Equal(t, describe(choice, found), describe(same, foundSame))
	}
}

// TestSlowHoldersAreUsedOnlyIfFastOnesAreFull guards against requests drawn to slow servers
// while fast ones are free, and against slow ones left idle while requests queue at fast ones.
func TestSlowHoldersAreUsedOnlyIfFastOnesAreFull(t *testing.T) {
	slow := func(runs int) (count int) {
		servers, work := newHolders(6, "s0", "s1", "s2", "s3", "s4", "s5")
		runAt(work, "s0", runs)
		runAt(work, "s1", runs)
		for i := range 200 {
			asked := query(fmt.Sprint("r", i))
			asked.ManyDaemons = true
			addSpeeds(&asked, 6, fastAndSlow)
			choice := pick(t, servers, work, asked)
			require.True(t, choice.Ready)
			if choice.Member.ID > "s1" {
				count++
			}
		}
		return count
	}
	require.Zero(t, slow(2))
	require.Equal(t, 200, slow(siteSlots+4))
}

// TestFirstLoadIsAtFastServer guards against first loads at slow servers while fast ones are
// free, and at fast servers whose adapter slots and request slots are all in use.
func TestFirstLoadIsAtFastServer(t *testing.T) {
	servers, work := newHolders(12)
	asked := query("r")
	asked.Prompt, asked.AdapterSlots, asked.ManyDaemons = 3000, siteAdapterSlots, true
	addSpeeds(&asked, 12, fastAndSlow)
	require.Contains(t, []string{"s0", "s1"}, pick(t, servers, work, asked).Member.ID)
	for _, server := range []string{"s0", "s1"} {
		for i := range siteSlots {
			work.Begin(inflight.Use{Server: server, Adapter: platformapi.Adapter{Model: "m", Name: fmt.Sprint("x", i)}}, 0)
		}
	}
	require.NotContains(t, []string{"s0", "s1"}, pick(t, servers, work, asked).Member.ID)
}

// TestCopyForSlowHolder guards against copies of rarely used adapters because their holder is
// slow, and against frequently used ones that stay at it.
func TestCopyForSlowHolder(t *testing.T) {
	servers, work := newHolders(12, "s5")
	asked := query("r")
	asked.Prompt, asked.ManyDaemons = 4700, true
	addSpeeds(&asked, 12, fastAndSlow)
	choice := pick(t, servers, work, asked)
	require.Equal(t, "s5", choice.Member.ID)
	require.Nil(t, choice.CopyTo)
	asked.Frequent = true
	choice = pick(t, servers, work, asked)
	require.Equal(t, "s5", choice.Member.ID, "a load would take longer")
	require.NotNil(t, choice.CopyTo)
	require.Contains(t, []string{"s0", "s1"}, choice.CopyTo.ID)
	targets := choose.DefaultWeights().CopyTargets(asked, hash, servers, work, 2)
	require.ElementsMatch(t, []string{"s0", "s1"}, []string{targets[0].ID, targets[1].ID})
}

// TestInvalidSpeeds guards against a cost that is no number or negative.
func TestInvalidSpeeds(t *testing.T) {
	for _, speed := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		servers, work := newHolders(3, "s0", "s1")
		asked := query("r")
		asked.ManyDaemons = true
		addSpeeds(&asked, 3, func(int) float64 { return speed })
		choice := pick(t, servers, work, asked)
		require.True(t, choice.Ready)
		require.Positive(t, choice.Cost)
		require.Less(t, choice.Cost, 1000.0)
	}
}
