package retryafter_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/retryafter"
)

const noon clock.Millis = 1_781_179_200_000

// refused returns a refusal of 100 units that all lack, at a daemon with a tenth of 10,000 units a second.
func refused(rank int) retryafter.Refusal {
	return retryafter.Refusal{Rank: rank, Units: 100, Lacking: 100, Rate: 10_000, Share: 0.1}
}

// TestCallersReturnInTurn guards against callers who are told the same time and return together, and
// against urgent ones who wait for less urgent ones.
func TestCallersReturnInTurn(t *testing.T) {
	schedule := retryafter.New(retryafter.DefaultOptions())
	expect := func(at clock.Millis, key string, rank int, want clock.Millis) {
		t.Helper()
		wait, promised := schedule.Promise(noon+at, key, refused(rank))
		require.Equal(t, want, wait)
		require.EqualValues(t, want-100, promised, "a unit is refilled in a millisecond")
	}
	for i := range clock.Millis(5) {
		expect(0, "payroll", 1, 100+100*i)
	}
	expect(0, "payroll", 0, 100)
	expect(0, "payroll", 2, 700)
	expect(0, "trustees", 2, 100)  // accounts do not wait for each other
	expect(300, "payroll", 1, 300) // three promises of rank 1 and that of rank 0 have ended
	schedule = retryafter.New(retryafter.DefaultOptions())
	expect(300, "payroll", 1, 100) // a daemon that has restarted knows of no promises
}

// TestImmediateRetry guards against a caller that moves others back, or itself forward, by retrying
// before its time.
func TestImmediateRetry(t *testing.T) {
	schedule := retryafter.New(retryafter.DefaultOptions())
	schedule.Promise(noon, "payroll", refused(0))
	again := refused(0)
	again.Class = 7
	for i := range clock.Millis(10) {
		wait, promised := schedule.Promise(noon+i*9, "payroll", again)
		require.Equal(t, 200-i*9, wait)
		require.EqualValues(t, 100, promised)
	}
	wait, _ := schedule.Promise(noon+90, "payroll", refused(1))
	require.EqualValues(t, 300, wait, "two promises of 100 units")
}

// TestPromisesAreTrue guards against a time before the units can be there, which is neither before
// what lacks is refilled at the rate of all daemons, nor before the request's and the promised units
// are at this daemon's part; and against times and keys beyond their bounds.
func TestPromisesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := retryafter.New(retryafter.Options{Keys: 3, Promises: 12, PromisesByKey: 5})
		now := noon
		for range rapid.IntRange(1, 40).Draw(t, "refusals") {
			now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			refusal := retryafter.Refusal{
				Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Units: rapid.Float64Range(1, 3000).Draw(t, "units"),
				Lacking: rapid.Float64Range(1, 50_000).Draw(t, "lacking"), Rate: rapid.Float64Range(0, 100_000).Draw(t, "rate"),
				Share: rapid.Float64Range(0.01, 1).Draw(t, "share"), Spread: rapid.Uint64().Draw(t, "spread"),
			}
			wait, promised := schedule.Promise(now, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), refusal)
			units := min(refusal.Units, refusal.Lacking) + promised
			seconds := max(refusal.Lacking/refusal.Rate, units/(refusal.Rate*refusal.Share))
			require.GreaterOrEqual(t, wait.Seconds(), max(retryafter.MinWait.Seconds(), min(0.8*retryafter.MaxWait.Seconds(), seconds)))
			require.LessOrEqual(t, wait, retryafter.MaxWait)
			require.LessOrEqual(t, schedule.Keys(), 3)
		}
		schedule.Promise(now+retryafter.MaxWait, "e", refused(0))
		require.Equal(t, 1, schedule.Keys(), "keys without promises are dropped")
	})
}

// TestPromisesAreMerged guards against units that are forgotten when a key has as many promises as are kept.
func TestPromisesAreMerged(t *testing.T) {
	schedule := retryafter.New(retryafter.Options{Keys: 10, Promises: 30, PromisesByKey: 4})
	for i := range 20 {
		_, promised := schedule.Promise(noon, "payroll", refused(0))
		require.EqualValues(t, 100*i, promised)
	}
}

// TestSpread guards against times that are spread beyond their bounds, or not at all at the upper one.
func TestSpread(t *testing.T) {
	for _, test := range [][3]clock.Millis{{1000, 1000, 1200}, {10, 100, 100}, {4800, 4800, 5000}, {60_000, 5000, 4000}} {
		require.Equal(t, test[1], retryafter.Spread(test[0], 0, retryafter.MinWait, retryafter.MaxWait))
		require.InDelta(t, float64(test[2]), float64(retryafter.Spread(test[0], 1<<64-1, retryafter.MinWait, retryafter.MaxWait)), 1)
	}
}

// BenchmarkPromise measures a refusal of an account with as many promises as are kept.
func BenchmarkPromise(b *testing.B) {
	schedule, refusal := retryafter.New(retryafter.DefaultOptions()), refused(1)
	refusal.Lacking = 1e6
	for i := range b.N {
		refusal.Spread, refusal.Class = uint64(i)<<40, uint64(i+1)
		schedule.Promise(noon+clock.Millis(i/100), "payroll", refusal)
	}
}
