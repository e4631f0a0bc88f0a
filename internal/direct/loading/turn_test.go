package loading_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
)

// TestModelRateConverges: the number of base models sent at full speed is found from loads
// whose ends are detected up to 250 ms late.
func TestModelRateConverges(t *testing.T) {
	for _, truth := range []int{1, 2, 6, 9} {
		rate := loading.NewModelRate()
		for range 6 {
			trial := rate.TrialLoads()
			for inFlight := 1; inFlight <= trial; inFlight++ {
				took := clock.Millis(loadTime * max(inFlight, truth) / truth)
				rate.Observe(inFlight, took+clock.Millis(50*(inFlight%6)), loadTime)
			}
		}
		require.Equal(t, truth, rate.FullSpeedLoads())
		require.Equal(t, truth, rate.TrialLoads())
	}
}

// TestModelRateFollowsStore: the rate adapts to a store that becomes faster or slower.
func TestModelRateFollowsStore(t *testing.T) {
	rate := loading.NewModelRate()
	rate.Observe(2, 2*loadTime, loadTime)
	require.Equal(t, 1, rate.FullSpeedLoads())
	rate.Observe(2, loadTime, loadTime)
	rate.ObserveInFlight(3, 2*loadTime, loadTime)
	require.Equal(t, 2, rate.TrialLoads(), "a load in parallel with two others is slower")
	rate.Observe(3, loadTime, loadTime)
	require.Equal(t, 6, rate.TrialLoads(), "three loads ran at full speed, so more are tried")
	rate.Observe(6, 6*loadTime, loadTime)
	require.Equal(t, 1, rate.FullSpeedLoads())
}

const loadTime = 3900

// TestTurns guards against servers that load their base models in parallel when one after
// another is faster, and against a server that does not use its turn and blocks the others.
func TestTurns(t *testing.T) {
	turns := loading.NewTurns()
	models := loading.Models{Waiting: []string{"a", "b", "c"}, FullSpeedLoads: 1, LoadTime: loadTime}
	require.True(t, turns.MayLoad(1000, "a", models))
	require.False(t, turns.MayLoad(1000, "b", models))
	require.True(t, turns.MayLoad(1500, "b", models), "the first server has not used its turn in time")
	require.False(t, turns.MayLoad(1500, "d", models), "the server is not waiting for a model")
	models.Waiting, models.Loading = []string{"b", "c"}, []string{"a"}
	require.False(t, turns.MayLoad(1600, "b", models), "waiting for the end of the first load is faster")
	models.Loading = nil
	require.False(t, turns.MayLoad(3000, "b", models), "the load of a server that has left still counts")
	require.True(t, turns.MayLoad(5600, "b", models), "its expected end has passed")
}

// TestNoWaitForSlowLoad: a server does not wait for a load that was slowed down at its start
// and will take longer than its own.
func TestNoWaitForSlowLoad(t *testing.T) {
	turns := loading.NewTurns()
	models := loading.Models{Loading: []string{"x", "y"}, Waiting: []string{"a"}, FullSpeedLoads: 1, LoadTime: loadTime}
	require.False(t, turns.MayLoad(0, "a", models))
	models.Loading, models.Holding = []string{"y"}, []string{"x"}
	require.False(t, turns.MayLoad(3950, "a", models))
	turns = loading.NewTurns()
	models.Loading, models.Holding = []string{"x", "y", "z"}, nil
	require.False(t, turns.MayLoad(0, "a", models))
	models.Loading, models.Holding = []string{"z"}, []string{"x", "y"}
	require.True(t, turns.MayLoad(1000, "a", models), "the load of z takes 10.7 s more")
}

// replay simulates servers that are discovered one per second. The weight store fixes the
// duration of a load at its start by the number of loads in flight. The second and third
// server leave during their loads. It returns when the others held their models.
func replay(t testing.TB, may func(now clock.Millis, server string, models loading.Models) bool) []clock.Millis {
	t.Helper()
	servers := []string{"a", "left1", "left2", "b", "c", "d", "e"}
	ends := make(map[string]clock.Millis)
	models := loading.Models{FullSpeedLoads: 1, LoadTime: loadTime}
	var held []clock.Millis
	for now := clock.Millis(0); len(held) < len(servers)-2; now += 100 {
		require.Less(t, now, clock.Minute)
		for i, server := range servers {
			if now == clock.Millis(i)*clock.Second {
				models.Waiting = append(models.Waiting, server)
			}
			if now == clock.Millis(i+4)*clock.Second && len(server) > 1 {
				models.Loading = without(models.Loading, server)
				models.Waiting = without(models.Waiting, server)
			}
		}
		for server, endAt := range ends {
			if now < endAt {
				continue
			}
			delete(ends, server)
			if slices.Contains(models.Loading, server) {
				models.Loading = without(models.Loading, server)
				models.Holding = append(models.Holding, server)
				held = append(held, now)
			}
		}
		for _, server := range slices.Clone(models.Waiting) {
			if may(now, server, models) {
				ends[server] = now + loadTime*clock.Millis(len(ends)+1)
				models.Waiting = without(models.Waiting, server)
				models.Loading = append(models.Loading, server)
			}
		}
	}
	return held
}

func without(servers []string, server string) []string {
	return slices.DeleteFunc(slices.Clone(servers), func(other string) bool { return other == server })
}

// TestTurnsAreFasterThanParallelLoads: with turns, the last of five servers holds its model
// 6 s earlier than with all loads in parallel, and the second one 7 s earlier.
func TestTurnsAreFasterThanParallelLoads(t *testing.T) {
	parallel := replay(t, func(clock.Millis, string, loading.Models) bool { return true })
	turns := loading.NewTurns()
	inTurn := replay(t, turns.MayLoad)
	for i := range inTurn {
		require.LessOrEqual(t, inTurn[i], parallel[i])
	}
	last := len(inTurn) - 1
	require.LessOrEqual(t, inTurn[last], parallel[last]-4*clock.Second)
	t.Log(inTurn, parallel)
}
