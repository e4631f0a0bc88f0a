package comeback_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/comeback"
)

const noon clock.Millis = 1_781_179_200_000

// refused returns a refusal of 100 units that all lack, at a daemon with a tenth of 10,000 units a second.
func refused(rank int) comeback.Refusal {
	return comeback.Refusal{Rank: rank, Units: 100, Lacking: 100, Rate: 10_000, Share: 0.1}
}

// TestCallersReturnInTurn guards against callers who are told the same time and return together, and
// against urgent ones who wait for less urgent ones.
func TestCallersReturnInTurn(t *testing.T) {
	schedule := comeback.New(comeback.DefaultOptions())
	for i := range 5 {
		wait, promised := schedule.Promise(noon, "payroll", refused(1))
		require.EqualValues(t, (i+1)*100, wait)
		require.EqualValues(t, i*100, promised)
	}
	wait, promised := schedule.Promise(noon, "payroll", refused(0))
	require.EqualValues(t, 100, wait)
	require.Zero(t, promised)
	wait, _ = schedule.Promise(noon, "payroll", refused(2))
	require.EqualValues(t, 700, wait)
	wait, _ = schedule.Promise(noon, "trustees", refused(2))
	require.EqualValues(t, 100, wait, "accounts do not wait for each other")
	wait, _ = schedule.Promise(noon+300, "payroll", refused(1))
	require.EqualValues(t, 300, wait, "three promises of rank 1 and that of rank 0 have ended")
	wait, _ = comeback.New(comeback.DefaultOptions()).Promise(noon, "payroll", refused(1))
	require.EqualValues(t, 100, wait, "a daemon that has restarted knows of no promises")
}

// TestImmediateRetry guards against a caller that moves others back, or itself forward, by retrying
// before its time.
func TestImmediateRetry(t *testing.T) {
	schedule := comeback.New(comeback.DefaultOptions())
	first := refused(0)
	first.Class = 7
	schedule.Promise(noon, "payroll", refused(0))
	wait, _ := schedule.Promise(noon, "payroll", first)
	require.EqualValues(t, 200, wait)
	for i := range clock.Millis(10) {
		wait, promised := schedule.Promise(noon+i*10, "payroll", first)
		require.EqualValues(t, 200-i*10, wait)
		require.EqualValues(t, 100, promised)
	}
	wait, _ = schedule.Promise(noon+90, "payroll", refused(1))
	require.EqualValues(t, 300, wait, "two promises of 100 units")
}

// TestPromisesAreTrue guards against a time before the units can be there: never before what lacks
// has been refilled at the rate of all daemons, nor before the request's and the promised units at
// this daemon's part, apart from the upper bound.
func TestPromisesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := comeback.New(comeback.Options{Keys: 3, Promises: 20, PromisesByKey: 5})
		now := noon
		for range rapid.IntRange(1, 40).Draw(t, "refusals") {
			now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			refusal := comeback.Refusal{
				Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Units: rapid.Float64Range(1, 3000).Draw(t, "units"),
				Lacking: rapid.Float64Range(1, 50_000).Draw(t, "lacking"), Rate: rapid.Float64Range(0, 100_000).Draw(t, "rate"),
				Share: rapid.Float64Range(0.01, 1).Draw(t, "share"), Spread: rapid.Uint64().Draw(t, "spread"),
			}
			wait, promised := schedule.Promise(now, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), refusal)
			require.GreaterOrEqual(t, wait, comeback.MinWait)
			require.LessOrEqual(t, wait, comeback.MaxWait)
			units := min(refusal.Units, refusal.Lacking) + promised
			seconds := max(refusal.Lacking/refusal.Rate, units/(refusal.Rate*refusal.Share))
			require.GreaterOrEqual(t, wait.Seconds(), min(0.8*comeback.MaxWait.Seconds(), seconds))
			require.LessOrEqual(t, schedule.Keys(), 3)
		}
	})
}

// TestSpread guards against times that are spread unevenly or beyond their bounds.
func TestSpread(t *testing.T) {
	for _, test := range []struct{ expected, first, last clock.Millis }{
		{1000, 1000, 1200}, {10, 100, 100}, {4800, 4800, 5000}, {5000, 5000, 4000}, {60_000, 5000, 4000},
	} {
		require.Equal(t, test.first, comeback.Spread(test.expected, 0, comeback.MinWait, comeback.MaxWait), test.expected)
		last := comeback.Spread(test.expected, 1<<64-1, comeback.MinWait, comeback.MaxWait)
		require.InDelta(t, float64(test.last), float64(last), 1, test.expected)
	}
	require.EqualValues(t, 1100, comeback.Spread(1000, 1<<63, comeback.MinWait, comeback.MaxWait))
	require.EqualValues(t, 100, comeback.Spread(3000, 1<<63, comeback.MinWait, comeback.MinWait))
}

// TestBounds guards against memory that grows with the number of accounts or refusals.
func TestBounds(t *testing.T) {
	schedule := comeback.New(comeback.Options{Keys: 10, Promises: 30, PromisesByKey: 4})
	for i := range 100 {
		schedule.Promise(noon, fmt.Sprint(i), refused(0))
	}
	require.Equal(t, 10, schedule.Keys())
	for range 20 {
		schedule.Promise(noon, "99", refused(0))
	}
	_, promised := schedule.Promise(noon, "99", refused(0))
	require.EqualValues(t, 2100, promised, "promises beyond the bound are added to the latest one")
	for i := range 10 {
		for range 4 {
			schedule.Promise(noon+1, fmt.Sprint("full", i), refused(0))
		}
	}
	require.Equal(t, 7, schedule.Keys(), "30 promises in all")
	schedule.Promise(noon+comeback.MaxWait+2, "next", refused(0))
	require.Equal(t, 1, schedule.Keys(), "keys without promises are dropped")
}

// BenchmarkPromise measures a refusal of an account with as many promises as are kept.
func BenchmarkPromise(b *testing.B) {
	for _, count := range []int{16, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			schedule := comeback.New(comeback.DefaultOptions())
			keys := make([]string, count)
			for i := range keys {
				keys[i] = fmt.Sprint("account", i)
			}
			refusal := refused(1)
			refusal.Lacking = 1e6
			b.ReportAllocs()
			for i := range b.N {
				refusal.Spread, refusal.Class = uint64(i)<<40, i+1
				schedule.Promise(noon+clock.Millis(i/100), keys[i%count], refusal)
			}
		})
	}
}
