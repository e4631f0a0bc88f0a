package audit_test

import (
	"runtime"
	"strconv"
	"testing"

	"teaselmoor/internal/decide/outcome"
)

// BenchmarkRefusal adds refusals whose records list 300 candidate engines each, as
// in the largest pool of a region. It also reports the memory held for each.
func BenchmarkRefusal(b *testing.B) {
	const kept = 1024
	trail := newTrail(16, kept)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range kept {
		trail.AddRefusal(recordOfLargePool(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	record := recordOfLargePool(0)
	for b.Loop() {
		trail.AddRefusal(record)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/kept, "B/kept")
}

func recordOfLargePool(i int) outcome.Record {
	record := refusal(strconv.Itoa(i), outcome.QueueFull)
	for range 300 {
		record.Candidates = append(record.Candidates, outcome.Candidate{Engine: "runner", Verdict: outcome.RankedLower, Age: 1})
	}
	return record
}
