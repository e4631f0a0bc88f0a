package node

import (
	"math"

	"teaselmoor/internal/base/clock"
)

// rate is a limit: a steady rate and what may come at once above it.
type rate struct {
	perSecond float64 // 0 means no limit
	burst     int
}

// limiter holds a token bucket per key, so that one caller's burst does not
// starve the others. Its memory is bounded by the number of limited callers.
type limiter[K comparable] struct {
	buckets map[K]*bucket
}

type bucket struct {
	tokens float64
	at     clock.Millis // when tokens was counted
}

func newLimiter[K comparable]() limiter[K] {
	return limiter[K]{buckets: map[K]*bucket{}}
}

// rounding is the share of a token that sums of fractions may lack.
const rounding = 1e-6

// take takes a token and returns 0, or returns the span until there is one. A
// changed rate applies from the next call on.
func (limiter *limiter[K]) take(now clock.Millis, key K, allowed rate) clock.Millis {
	if allowed.perSecond <= 0 {
		delete(limiter.buckets, key)
		return 0
	}
	size := float64(1 + allowed.burst)
	filled, found := limiter.buckets[key]
	if !found {
		filled = &bucket{tokens: size, at: now}
		limiter.buckets[key] = filled
	}
	filled.tokens = min(size, filled.tokens+max(0, now-filled.at).Seconds()*allowed.perSecond)
	filled.at = max(filled.at, now)
	if filled.tokens >= 1-rounding {
		filled.tokens--
		return 0
	}
	return clock.Millis(math.Ceil((1 - rounding - filled.tokens) / allowed.perSecond * float64(clock.Second)))
}
