package choose_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/platformapi"
)

func adapterHash(adapter platformapi.Adapter) uint64 {
	return xxhash.Sum64String(adapter.Model + "/" + adapter.Name)
}

// siteResult sums up a replay.
type siteResult struct {
	requests, latePause, lateFirst int // lateFirst: late by the first event only
	loads, copies                  int // from the weight store; copies: while another server had the adapter
	busiest                        float64
	local                          int // sent to a server in the daemon's data centre
	servedSlow, loadsSlow          int // at the slowest third of the servers
}

// String formats the result for the log of a test.
func (siteResult siteResult) String() string {
	share := func(count, of int) float64 { return float64(count) / float64(of) }
	return fmt.Sprintf("late by a pause %.3f, by the first event only %.3f of %d; %d loads, %d of them copies; busiest server %.2f x mean; slowest third: %.2f of requests, %.2f of loads; %.3f local",
		share(siteResult.latePause, siteResult.requests), share(siteResult.lateFirst, siteResult.requests), siteResult.requests,
		siteResult.loads, siteResult.copies, siteResult.busiest, share(siteResult.servedSlow, siteResult.requests), share(siteResult.loadsSlow, siteResult.loads), share(siteResult.local, siteResult.requests))
}

// replaySite runs the simulation with requests for span milliseconds; prepare changes what daemons believe of the servers.
func replaySite(t *testing.T, name string, seeds uint64, span float64, pauses bool, prepare func(site *site)) siteResult {
	weights := choose.DefaultWeights().WithObserved(siteRate, siteLoad, siteRecentLoad)
	weights.Slot = 1500
	sum := siteResult{}
	for seed := range seeds {
		site := newSite(seed, span, weights, pauses)
		if prepare != nil {
			prepare(site)
		}
		site.run()
		sum.requests += site.requests
		sum.latePause += site.latePause
		sum.lateFirst += site.lateFirst
		sum.loads += site.loads
		sum.copies += site.copies
		sum.local += site.local
		for i, engine := range site.engines {
			sum.busiest = max(sum.busiest, float64(engine.served)*siteServers/float64(site.requests))
			if i%3 == 0 {
				sum.servedSlow += engine.served
				sum.loadsSlow += engine.loads
			}
		}
	}
	t.Logf("%-22s %s", name, sum)
	return sum
}

// TestFewerStreamsPauseAtUnequalServers guards against slow servers getting as many prompts as
// they can queue, and against the cure being worse: fast servers that are crowded, first events
// that are late for loads, copies that multiply.
func TestFewerStreamsPauseAtUnequalServers(t *testing.T) {
	t.Parallel()
	before := replaySite(t, "before", 2, sitePeriod, false, nil)
	after := replaySite(t, "after", 2, sitePeriod, true, nil)
	require.Greater(t, before.latePause, before.requests/10, "the load is too low for this test")
	require.Less(t, float64(after.latePause), 0.8*float64(before.latePause))
	require.Less(t, float64(after.lateFirst), 1.1*float64(before.lateFirst))
	require.Less(t, float64(after.loads), 1.05*float64(before.loads))
	require.Less(t, float64(after.copies), 1.05*float64(before.copies))
	require.Less(t, after.busiest, 1.2*before.busiest)
}

// slowDown makes a quarter of the servers slower at a time. Daemons know it 3 s later.
func slowDown(site *site) {
	const at, age = 2000.0, 3000.0
	slowed := func(now float64, engine int) float64 {
		if speed := siteSpeeds[engine%len(siteSpeeds)]; engine%4 != 0 || now < at {
			return speed
		}
		return siteSpeeds[engine%len(siteSpeeds)] / siteSlowness
	}
	site.change = func(now float64) {
		for i, engine := range site.engines {
			engine.speed = slowed(now, i)
		}
	}
	known := make(map[string]int)
	for i, engine := range site.engines {
		known[engine.id] = i
	}
	site.known = func(now float64, server string) float64 { return slowed(now-age, known[server]) }
}

// TestSpeedsThatAreOldOrMissing guards against a daemon serving callers worse than without the
// speeds of servers while these are 3 s old or while it knows none, and against wrong speeds
// taking servers out of use.
func TestSpeedsThatAreOldOrMissing(t *testing.T) {
	t.Parallel()
	slowed := replaySite(t, "slowed, before", 1, 7000, false, slowDown)
	old := replaySite(t, "slowed, speeds 3 s old", 1, 7000, true, slowDown)
	require.Less(t, old.latePause, slowed.latePause)
	require.Less(t, old.latePause+old.lateFirst, slowed.latePause+slowed.lateFirst)
	require.Less(t, float64(old.copies), 1.05*float64(slowed.copies))
	before := replaySite(t, "before", 1, 7000, false, nil)
	missing := replaySite(t, "no speeds", 1, 7000, true, func(site *site) { site.known = nil })
	require.Less(t, float64(missing.latePause+missing.lateFirst), 1.03*float64(before.latePause+before.lateFirst))
	wrong := replaySite(t, "fast and slow swapped", 1, 7000, true, func(site *site) {
		site.known = func(_ float64, server string) float64 { return 1 / site.byID[server].speed }
	})
	require.Less(t, float64(wrong.latePause+wrong.lateFirst), 1.5*float64(before.latePause+before.lateFirst))
}
