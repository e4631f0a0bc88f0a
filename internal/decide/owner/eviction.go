package owner

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Use is what an owner knows of an adapter's use at its engine.
type Use struct {
	Adapter  ident.Adapter
	LastUsed clock.Millis
	// Count is the number of requests, decayed by Demand's half-life.
	Count float64
}

// Eviction ranks the adapters that an engine could give up.
type Eviction interface {
	// Worth is what keeping the adapter is worth; the least is evicted first.
	Worth(now clock.Millis, use Use) float64
}

// LeastRecentlyUsed evicts by time of last use. It is a baseline.
type LeastRecentlyUsed struct{}

// Worth implements Eviction.
func (LeastRecentlyUsed) Worth(_ clock.Millis, use Use) float64 {
	return float64(use.LastUsed)
}
