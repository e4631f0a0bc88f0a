package quota_test

import (
	"fmt"
	"runtime"
	"testing"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
	"teaselmoor/internal/direct/quota"
)

// BenchmarkTake measures a hub's decision on a request with 30 sources that have reported
// each account, and the memory used per account.
func BenchmarkTake(b *testing.B) {
	for _, count := range []int{16, 1000, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			entries := make([]account.Entry, count)
			readings := make([]quota.Reading, count)
			for i := range entries {
				entries[i].Account = account.Account{Name: fmt.Sprint("account", i), Limit: large}
				readings[i] = quota.Reading{Account: entries[i].Name, Number: int64(i), Total: 1}
			}
			directory, err := account.New(entries)
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ledger := quota.New(0, tolerance)
			ledger.SetLimits(0, directory)
			sources := make(map[string]quota.Source)
			for i := range 30 {
				name := fmt.Sprint("daemon", i)
				ledger.ApplyReport(1000, name, quota.Report{Incarnation: 1, Daemons: 1, Readings: readings}, true)
				sources[name] = quota.Source{Live: true, LastReportAt: 1000, Daemons: 1}
			}
			ledger.SetSite(1000, quota.Site{Daemons: 31, Reached: 31, Sources: sources})
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				ledger.Take(clock.Millis(1000+i/10), entries[i%count].Name, 1, quota.Rank{})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/account")
		})
	}
}

// BenchmarkTakeAtLimit measures decisions for three ranks in turn on an account at six times its limit, without and
// with a reserve.
func BenchmarkTakeAtLimit(b *testing.B) {
	for _, share := range []float64{0, 0.5} {
		b.Run(fmt.Sprint(share), func(b *testing.B) {
			ledger := quota.New(0, tolerance)
			ledger.SetReserveShare(share)
			ledger.SetLimits(0, (&site{limit: large}).directory())
			for i := range b.N {
				now := clock.Millis(10_000 + i)
				if i%100 == 0 {
					ledger.SetSite(now, quota.Site{Daemons: 1, Reached: 1})
				}
				ledger.Take(now, caller, 6*large.Rate/1000, quota.Rank{Position: i % 3, Ranks: 3})
			}
		})
	}
}
