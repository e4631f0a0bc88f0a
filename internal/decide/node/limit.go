package node

import (
	"math"

	"teaselmoor/internal/base/clock"
)

// rateLimit is a steady rate and the burst allowed above it.
type rateLimit struct {
	perSecond float64 // 0 means no limit
	burst     int
}

// limiter holds a token bucket per key, so that one caller's burst does not use up
// the capacity of the others. Its memory is bounded by the number of limited
// callers.
type limiter[K comparable] struct {
	buckets map[K]*tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt clock.Millis // time up to which tokens includes the refill
}

func newLimiter[K comparable]() limiter[K] {
	return limiter[K]{buckets: map[K]*tokenBucket{}}
}

// roundingTolerance is the fraction of a token that may be missing because of
// floating-point rounding.
const roundingTolerance = 1e-6

// take takes a token and returns 0, or returns the time until a token is available.
// A changed rate applies from the next call.
func (limiter *limiter[K]) take(now clock.Millis, key K, allowed rateLimit) clock.Millis {
	if allowed.perSecond <= 0 {
		delete(limiter.buckets, key)
		return 0
	}
	size := float64(1 + allowed.burst)
	bucket, known := limiter.buckets[key]
	if !known {
		bucket = &tokenBucket{tokens: size, refilledAt: now}
		limiter.buckets[key] = bucket
	}
	bucket.tokens = min(size, bucket.tokens+max(0, now-bucket.refilledAt).Seconds()*allowed.perSecond)
	bucket.refilledAt = max(bucket.refilledAt, now)
	if bucket.tokens >= 1-roundingTolerance {
		bucket.tokens--
		return 0
	}
	return clock.Millis(math.Ceil((1 - roundingTolerance - bucket.tokens) / allowed.perSecond * float64(clock.Second)))
}
