package throttle_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/demand"
	"teaselmoor/internal/direct/throttle"
)

const (
	start = clock.Millis(1_000_000)
	span  = 4 * clock.Second
)

// site returns the limits of some daemons that know the same limit of one server.
func site(daemons int, rate float64) []*throttle.Limits {
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprintf("d%03d", i))
	}
	var site []*throttle.Limits
	for _, name := range names {
		limits := throttle.New(name)
		limits.SetDaemons(start, names, demand.Equal(daemons))
		limits.Merge(start, []throttle.ServerLimit{{Server: "s", Number: 1, Limited: true, Rate: rate}})
		site = append(site, limits)
	}
	return site
}

// TestSumOverDaemonsIsWithinTheLimit draws the number of daemons, the limit and the pauses
// between bursts of requests at all daemons. In no span may they send more than the site
// tolerates.
func TestSumOverDaemonsIsWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(0, 300).Draw(t, "tenths")) / 10
		site := site(rapid.IntRange(1, 195).Draw(t, "daemons"), rate)
		now := start
		var sent []clock.Millis
		for range 60 {
			now += clock.Millis(rapid.SampledFrom([]int{0, 10, 300, 2000}).Draw(t, "pause"))
			for _, limits := range site {
				for limits.Allows(now, "s") {
					limits.Take(now, "s")
					sent = append(sent, now)
				}
			}
		}
		for i, at := range sent {
			count := 0
			for _, other := range sent[i:] {
				if other < at+span {
					count++
				}
			}
			require.LessOrEqual(t, float64(count), 1.5*rate*span.Seconds()+5)
		}
	})
}

// TestLimitIsUsed checks that under constant demand nearly the whole limit is sent.
func TestLimitIsUsed(t *testing.T) {
	for _, daemons := range []int{1, 3, 7, 59, 195} {
		for _, rate := range []float64{0.5, 1.6, 10, 200} {
			site := site(daemons, rate)
			sent := 0.0
			for now := start; now < start+40*clock.Second; now += 5 {
				for _, limits := range site {
					if limits.Allows(now, "s") {
						limits.Take(now, "s")
						sent++
					}
				}
			}
			require.InDelta(t, rate*40, sent, 0.15*rate*40+2, "%d daemons, %g a second", daemons, rate)
		}
	}
}

// TestLimitFollowsCallers: where nine in ten requests come at one daemon, whatever its place in the server's order, most
// of the limit is used there, and all daemons together stay within it, also while the shares change.
func TestLimitFollowsCallers(t *testing.T) {
	for _, daemons := range []int{2, 7, 59, 195} {
		for _, rate := range []float64{1.6, 10} {
			site := site(daemons, rate)
			var names []string
			table := demand.New(demand.DefaultOptions(), "d000", 1)
			for i := range daemons {
				names = append(names, fmt.Sprintf("d%03d", i))
				requests := 1
				if i == daemons/2 {
					requests = 9 * daemons
				}
				table.Merge(start, []demand.Report{{Daemon: names[i], Incarnation: 2, Number: 1, Requests: requests}})
			}
			table.Update(start, names)
			var sent []clock.Millis
			atFirst := 0
			for now := start; now < start+40*clock.Second; now += 5 {
				for i, limits := range site {
					if now == start+10*clock.Second {
						limits.SetDaemons(now, names, table.Shares())
					}
					if !limits.Allows(now, "s") {
						continue
					}
					limits.Take(now, "s")
					sent = append(sent, now)
					if i == daemons/2 && now >= start+10*clock.Second {
						atFirst++
					}
				}
			}
			require.GreaterOrEqual(t, float64(atFirst), 0.75*rate*30, "%d daemons, %g a second", daemons, rate)
			for i, at := range sent {
				count := 0
				for _, other := range sent[i:] {
					if other < at+span {
						count++
					}
				}
				require.LessOrEqual(t, float64(count), 1.5*rate*span.Seconds()+5, "%d daemons, %g a second", daemons, rate)
			}
		}
	}
}

// TestUnsentRequestIsReturned checks that a request that was sent elsewhere uses nothing of
// the limit.
func TestUnsentRequestIsReturned(t *testing.T) {
	limits := site(1, 1)[0]
	now := start + 10*clock.Second
	require.True(t, limits.Allows(now, "s"))
	limits.Take(now, "s")
	require.False(t, limits.Allows(now, "s"))
	limits.Return(now, "s")
	require.True(t, limits.Allows(now, "s"))
	require.True(t, limits.Allows(now, "other"), "it has no limit")
}

// TestLimitIsLiftedByALaterAnswer: a response to a request sent before the limit was
// known does not lift it, and a response of an earlier process changes nothing.
func TestLimitIsLiftedByALaterAnswer(t *testing.T) {
	limits := throttle.New("d")
	limited, lifted := throttle.ServerLimit{Server: "s", StartedAt: 5, Limited: true, Rate: 2}, throttle.ServerLimit{Server: "s", StartedAt: 5}
	require.False(t, limits.ApplyResponse(start, start, lifted), "no limit was set")
	require.True(t, limits.ApplyResponse(start, start, limited))
	require.False(t, limits.ApplyResponse(start, start, limited), "the limit is known")
	require.False(t, limits.Allows(start, "s"))
	require.False(t, limits.ApplyResponse(start+10, start-1, lifted), "response to a request sent before the limit was known")
	require.True(t, limits.ApplyResponse(start+10, start+5, lifted))
	require.True(t, limits.Allows(start+10, "s"))
	require.Zero(t, limits.LimitedCount())
	require.True(t, limits.ApplyResponse(start+20, start, limited))
	require.True(t, limits.ApplyResponse(start+30, start, throttle.ServerLimit{Server: "s", StartedAt: 6}), "the new process has no limit")
	require.True(t, limits.Allows(start+30, "s"))
	require.False(t, limits.ApplyResponse(start+40, start, limited), "response of the old process")
	limits.Retain(func(string) bool { return false })
	require.True(t, limits.ApplyResponse(start+50, start, limited))
	require.Equal(t, 1, limits.LimitedCount())
}

// TestLimitsMergeInAnyOrder draws responses at daemons and messages between them. Once all
// daemons have sent each other everything, they agree.
func TestLimitsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		var site []*throttle.Limits
		for i := range daemons {
			site = append(site, throttle.New(fmt.Sprint("d", i)))
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "gap"))
			limits := site[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "answer") {
				limit := throttle.ServerLimit{Server: "s", StartedAt: int64(rapid.IntRange(1, 2).Draw(t, "born"))}
				if rate := rapid.IntRange(0, 2).Draw(t, "rate"); rate > 0 {
					limit.Limited, limit.Rate = true, float64(rate)
				}
				limits.ApplyResponse(now, now-20, limit)
				continue
			}
			limits.Merge(now, site[rapid.IntRange(0, daemons-1).Draw(t, "peer")].ChangedSince(0))
		}
		for range 2 {
			for _, limits := range site {
				for _, peer := range site {
					limits.Merge(now, peer.ChangedSince(0))
				}
			}
		}
		for _, limits := range site {
			require.Equal(t, site[0].LimitedCount(), limits.LimitedCount())
			require.False(t, limits.Merge(now, site[0].ChangedSince(0)))
			require.Empty(t, limits.ChangedSince(limits.Revision()))
		}
	})
}
