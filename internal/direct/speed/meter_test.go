package speed_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/speed"
)

// TestPausesDoNotCount guards against prefill pauses and events held up by the network or a
// suspended daemon being reported as a slow or a fast server.
func TestPausesDoNotCount(t *testing.T) {
	meter := speed.Meter{}
	now := clock.Millis(1000)
	for i := range 30 {
		meter.Event(now, 1)
		_, _, ok := meter.Sample(now)
		require.Equal(t, i > 0 && i%7 == 0, ok, "%d", i) // each 250 ms
		now += 40
	}
	now += 210
	meter.Event(now, 1)
	interval, events, ok := meter.Sample(now)
	require.True(t, ok)
	require.Equal(t, 40.0, interval)
	require.Equal(t, 4, events, "with the last ones before the pause")
	for range 2 {
		now += 400
		meter.Event(now, 4)
		interval, _, ok = meter.Sample(now)
		require.True(t, ok)
		require.Less(t, interval, 100.0)
	}
	now += 400
	meter.Event(now, 4)
	interval, events, _ = meter.Sample(now)
	require.Equal(t, 100.0, interval, "four events arrive together")
	require.Equal(t, 4, events)
	// After a suspension of 3 s, 75 events are read in parts.
	now += 3000
	for range 25 {
		meter.Event(now, 3)
	}
	for range 3 {
		now += 40
		meter.Event(now, 1)
	}
	interval, events, _ = meter.Sample(now)
	require.Equal(t, 40.0, interval)
	require.Equal(t, 4, events)
}

// TestReportsAreBoundedAndFair guards against a daemon that sends more than its part, and against
// servers that are never reported because others are always due.
func TestReportsAreBoundedAndFair(t *testing.T) {
	require.Equal(t, 2, speed.MostReports(500, 1500, 390))
	require.Equal(t, 3, speed.MostReports(500, 140, 82))
	require.Equal(t, 8, speed.MostReports(500, 1500, 13))
	require.Equal(t, 1, speed.MostReports(500, 1500, 3000))
	collector := speed.NewCollector("d")
	now := clock.Millis(1000)
	reported := make(map[string]int)
	for range 200 {
		for _, server := range []string{"a", "b", "c", "d", "e"} {
			collector.Add(now, speed.Report{Server: server, Interval: 40, Events: 10})
		}
		due := collector.Due(now, 500, 2)
		require.Len(t, due, 2)
		for _, report := range due {
			reported[report.Server]++
		}
		now += 500
	}
	require.Len(t, reported, 5)
	for server, count := range reported {
		require.InDelta(t, 80, count, 25, server)
	}
}

// TestSamplesOfOneServerAreCombined guards against reports of a former process or a former
// period, and against reports on too few intervals.
func TestSamplesOfOneServerAreCombined(t *testing.T) {
	collector := speed.NewCollector("d")
	collector.Add(1000, speed.Report{Server: "s", Born: 1, Interval: 40, Events: 6})
	collector.Add(1200, speed.Report{Server: "s", Born: 1, Interval: 60, Events: 2})
	require.Equal(t, []speed.Report{{Server: "s", Born: 1, Interval: 45, Events: 8}}, collector.Due(1300, 500, 9))
	collector.Add(1400, speed.Report{Server: "s", Born: 1, Interval: 40, Events: 6})
	require.Empty(t, collector.Due(1500, 500, 9), "reported less than 500 ms ago")
	collector.Add(1500, speed.Report{Server: "s", Born: 2, Interval: 30, Events: 5})
	require.Equal(t, []speed.Report{{Server: "s", Born: 2, Interval: 30, Events: 5}}, collector.Due(2000, 500, 9))
	collector.Add(3000, speed.Report{Server: "s", Born: 2, Interval: 30, Events: 3})
	require.Empty(t, collector.Due(3000, 500, 9), "too few intervals")
	collector.Add(3100, speed.Report{Server: "s", Born: 2, Interval: 30, Events: 5})
	require.Empty(t, collector.Due(5000, 500, 9), "the sample is too old")
}
