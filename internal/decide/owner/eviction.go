package owner

import (
	"math"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Use is what an owner knows of an adapter's use at its engine.
type Use struct {
	Adapter  ident.Adapter
	LastUsed clock.Millis
	// Count is the number of requests, each halved with every half-life since.
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

// DecayedFrequency evicts the adapter that was asked for least, where older
// requests count less. All adapters cost the same to load again.
type DecayedFrequency struct{}

// Worth implements Eviction.
func (DecayedFrequency) Worth(_ clock.Millis, use Use) float64 {
	return use.Count
}

// frequency counts the requests for adapters, also of those that are not
// resident, with exponential decay.
type frequency struct {
	halfLife clock.Millis
	counts   map[ident.Adapter]decayed
}

// decayed is a count as of a time.
type decayed struct {
	count float64
	at    clock.Millis
}

const (
	// frequencyLimit is the number of adapters counted; above it, those that are
	// hardly asked for are forgotten.
	frequencyLimit = 4096
	// frequencyFloor is the count below which an adapter may be forgotten.
	frequencyFloor = 0.05
)

func newFrequency(halfLife clock.Millis) frequency {
	return frequency{halfLife: halfLife, counts: map[ident.Adapter]decayed{}}
}

// add counts a request.
func (frequency *frequency) add(now clock.Millis, adapter ident.Adapter) {
	frequency.counts[adapter] = decayed{count: frequency.count(now, adapter) + 1, at: now}
	if len(frequency.counts) > frequencyLimit {
		frequency.forget(now)
	}
}

// count returns the decayed number of requests.
func (frequency *frequency) count(now clock.Millis, adapter ident.Adapter) float64 {
	known := frequency.counts[adapter]
	if known.count == 0 {
		return 0
	}
	return known.count * math.Exp2(-float64(now-known.at)/float64(frequency.halfLife))
}

// forget drops the adapters that are hardly asked for, with a floor that rises
// until half of the limit is free.
func (frequency *frequency) forget(now clock.Millis) {
	for floor := frequencyFloor; len(frequency.counts) > frequencyLimit/2; floor *= 2 {
		for adapter := range frequency.counts {
			if frequency.count(now, adapter) < floor {
				delete(frequency.counts, adapter)
			}
		}
	}
}
