package prefill

import (
	"math"

	"teaselmoor/internal/base/clock"
)

// Rate estimates how fast engines read (prefill) prompts, from the times between sending a
// prompt that is read alone and its first event. These include a fixed part, such as the first
// decoding steps, which takes as long as reading 1,500 tokens on some engines. A rate that
// ignores it, as choose.ReadRate does, is less than half of the true one there, and a queue that
// relies on it makes prompts wait for an engine that is idle. Rate therefore fits a line by
// least squares: the slope is the time for a token, and the intercept the fixed part.
type Rate struct {
	count, tokens, millis, tokensSquared, product float64 // sums over observations, which decay
}

const (
	// rateDecay is the share of the former observations' weight that each new one leaves, so that
	// about the last 200 count.
	rateDecay = 0.995
	// minRateObservations is the weight of observations from which the line is used.
	minRateObservations = 20
	// minTokenSpread is the standard deviation of prompt sizes from which the line is used. With
	// prompts of nearly equal size the slope is not determined.
	minTokenSpread = 100
	// maxRateFactor bounds the estimate, as a multiple of the rate without a fixed part. Slow
	// answers to short prompts could otherwise make the line nearly level.
	maxRateFactor = 4
)

// Observe adds an answer whose first event took this long after a prompt of this many tokens was
// sent, while the engine read no other prompt.
func (rate *Rate) Observe(tokens int, took clock.Millis) {
	if tokens <= 0 || took <= 0 {
		return
	}
	for _, sum := range []*float64{&rate.count, &rate.tokens, &rate.millis, &rate.tokensSquared, &rate.product} {
		*sum *= rateDecay
	}
	x, y := float64(tokens), float64(took)
	rate.count++
	rate.tokens += x
	rate.millis += y
	rate.tokensSquared += x * x
	rate.product += x * y
}

// TokensPerMS returns the estimated rate in tokens per millisecond, at least fallback, which is
// an estimate that includes the fixed part and so is never too high.
func (rate *Rate) TokensPerMS(fallback float64) float64 {
	if rate.count < minRateObservations {
		return fallback
	}
	variance := rate.tokensSquared/rate.count - math.Pow(rate.tokens/rate.count, 2)
	if variance < minTokenSpread*minTokenSpread {
		return fallback
	}
	slope := (rate.product/rate.count - rate.tokens/rate.count*rate.millis/rate.count) / variance
	if slope <= 0 {
		return maxRateFactor * fallback
	}
	return min(max(1/slope, fallback), maxRateFactor*fallback)
}
