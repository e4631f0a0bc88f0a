package prefill

import "teaselmoor/internal/base/clock"

// Bucket is a leaky bucket that measures the prompts sent to an engine. The level rises by the
// tokens of each prompt sent, and drains at a constant rate. So it counts recently read prompts
// as well as those being read: a series of short prompts without a break also makes streams
// pause for longer than their goal. The zero value is empty.
type Bucket struct {
	tokens float64
	at     clock.Millis
}

// Level returns the current level in tokens; drain is in tokens per millisecond.
func (bucket Bucket) Level(now clock.Millis, drain float64) float64 {
	return max(0, bucket.tokens-drain*float64(now-bucket.at))
}

// Add returns the bucket with the tokens of a prompt added.
func (bucket Bucket) Add(now clock.Millis, tokens int, drain float64) Bucket {
	return Bucket{tokens: bucket.Level(now, drain) + float64(tokens), at: now}
}

// Fits reports whether a prompt may be sent to an engine whose bucket has the given level. The
// limit, in tokens, is usually TokenLimit. An engine with an empty bucket is sent a prompt of
// any size.
func Fits(level float64, tokens int, limit float64) bool {
	return level <= 0 || level+float64(tokens) <= limit
}

// TokenLimit returns the prompt tokens that an engine reads in a share of the gap goal.
func TokenLimit(gapShare float64, gapGoal clock.Millis, tokensPerMS float64) float64 {
	return gapShare * float64(gapGoal) * tokensPerMS
}
