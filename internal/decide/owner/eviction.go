package owner

import (
	"math"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// AdapterUse is how an adapter was used at an engine.
type AdapterUse struct {
	Adapter  ident.Adapter
	LastUsed clock.Millis
	// Count is the number of requests, decayed exponentially with the half-life.
	Count float64
}

// EvictionPolicy ranks the adapters that an engine could evict.
type EvictionPolicy interface {
	// Value returns the value of keeping the adapter. The adapter with the lowest
	// value is evicted first.
	Value(now clock.Millis, use AdapterUse) float64
}

// LeastRecentlyUsed evicts the adapter that was used least recently. Replays use it
// as a baseline.
type LeastRecentlyUsed struct{}

// Value implements EvictionPolicy.
func (LeastRecentlyUsed) Value(_ clock.Millis, use AdapterUse) float64 {
	return float64(use.LastUsed)
}

// DecayedFrequency evicts the least requested adapter, where older requests count
// less. It assumes that all adapters cost the same to load again.
type DecayedFrequency struct{}

// Value implements EvictionPolicy.
func (DecayedFrequency) Value(_ clock.Millis, use AdapterUse) float64 {
	return use.Count
}

// frequency counts requests per adapter with exponential decay. It includes
// adapters that are not resident.
type frequency struct {
	halfLife clock.Millis
	counts   map[ident.Adapter]decayedCount
}

// decayedCount is the value of a decaying count at a point in time.
type decayedCount struct {
	count float64
	at    clock.Millis
}

const (
	// maxCountedAdapters is the maximum number of adapters counted. Above it, the
	// least requested adapters are removed.
	maxCountedAdapters = 4096
	// minKeptCount is the count below which an adapter is removed first.
	minKeptCount = 0.05
)

func newFrequency(halfLife clock.Millis) frequency {
	return frequency{halfLife: halfLife, counts: map[ident.Adapter]decayedCount{}}
}

// add counts a request for an adapter.
func (frequency *frequency) add(now clock.Millis, adapter ident.Adapter) {
	frequency.counts[adapter] = decayedCount{count: frequency.count(now, adapter) + 1, at: now}
	if len(frequency.counts) > maxCountedAdapters {
		frequency.prune(now)
	}
}

// count returns the decayed number of requests for an adapter.
func (frequency *frequency) count(now clock.Millis, adapter ident.Adapter) float64 {
	known := frequency.counts[adapter]
	if known.count == 0 {
		return 0
	}
	return known.count * math.Exp2(-float64(now-known.at)/float64(frequency.halfLife))
}

// prune removes the least requested adapters. It doubles the minimum count until at
// most half of the maximum number of adapters is left.
func (frequency *frequency) prune(now clock.Millis) {
	for floor := minKeptCount; len(frequency.counts) > maxCountedAdapters/2; floor *= 2 {
		for adapter := range frequency.counts {
			if frequency.count(now, adapter) < floor {
				delete(frequency.counts, adapter)
			}
		}
	}
}
