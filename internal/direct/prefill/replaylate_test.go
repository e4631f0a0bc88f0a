package prefill_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/prefill"
)

// busyOwner returns a site whose owner gets 320 requests a second for its other servers, and handles
// no messages for a time now and then.
func busyOwner(options prefill.Options, stall, meanBetween clock.Millis) *site {
	random := rand.New(rand.NewPCG(5, 5))
	site := newSiteWith(&options)
	stallAt, stallEnd, nextAsk := float64(meanBetween), clock.Millis(0), 0.0
	site.isStalled = func(now clock.Millis) bool {
		if float64(now) >= stallAt {
			stallEnd = now + stall
			stallAt = float64(stallEnd) + float64(meanBetween)*random.ExpFloat64()
		}
		return now < stallEnd
	}
	site.otherAsks = func(now clock.Millis) (asks int) {
		for ; nextAsk < float64(now); nextAsk += random.ExpFloat64() * 1000 / 320 {
			asks++
		}
		return asks
	}
	return site
}

// TestReplayBusyOwner guards against an owner that is busy for a tenth of a second now and then
// and whose servers are sent unordered prompts for much longer, or prompts that it does not know
// of. An owner that is frozen for 3 s must not be flooded with reports when it goes on.
func TestReplayBusyOwner(t *testing.T) {
	before := prefill.DefaultOptions()
	before.SilentAfter, before.Report = 1, false
	for _, test := range []struct {
		stall, meanBetween clock.Millis
		mostLocal          float64 // as a share of those before
		mostLate           float64 // the same
	}{{100, clock.Second, 0.5, 0.9}, {250, clock.Second, 0.8, 1}, {3 * clock.Second, 20 * clock.Second, 1, 1.05}} {
		var local, lateShare []float64
		for _, options := range []prefill.Options{before, prefill.DefaultOptions()} {
			prompts := bursts(6, 1_000_000, 2)
			site := busyOwner(options, test.stall, test.meanBetween)
			replay(site, prompts, 1)
			requireBounded(t, prompts)
			count := 0.0
			for _, prompt := range prompts {
				if prompt.result != prefill.Granted && prompt.result != prefill.Bound {
					count++
				}
			}
			local, lateShare = append(local, count), append(lateShare, lateShares(prompts)[either][all])
			t.Logf("owner busy for %d ms: %.0f of %d prompts by the daemon's own rule; %s; %v", test.stall, count, len(prompts), lateShares(prompts), site.results)
		}
		require.LessOrEqual(t, local[1], test.mostLocal*local[0])
		require.LessOrEqual(t, lateShare[1], test.mostLate*lateShare[0])
	}
}
