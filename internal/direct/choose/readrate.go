package choose

import "teaselmoor/internal/base/clock"

// ReadRate is the rate at which engines read (prefill) prompts, as a daemon observes it.
// Only prompts that were read alone, as far as the daemon knows, are observed. The time
// to the first event also includes work before and after the reading, and prompts of
// other daemons, so the estimate follows the faster answers, but not the fastest,
// as an engine has parts of some prompts cached.
type ReadRate struct {
	tokensPerMS float64
}

const (
	// initialReadRate is the initial estimate, in tokens per millisecond.
	initialReadRate = 20
	// Each answer moves the estimate down by the share rateStep, or up by rateUpFactor times
	// as much: it settles where one answer in four is faster.
	rateStep, rateUpFactor = 0.01, 3
)

// NewReadRate returns the initial estimate.
func NewReadRate() *ReadRate {
	return &ReadRate{tokensPerMS: initialReadRate}
}

// TokensPerMS returns the prompt tokens that an engine reads per millisecond.
func (readRate *ReadRate) TokensPerMS() float64 {
	return readRate.tokensPerMS
}

// Observe updates the estimate with an answer whose first event took this long after a
// prompt of this many tokens was sent, while the engine read no other prompt.
func (readRate *ReadRate) Observe(tokens int, took clock.Millis) {
	if tokens <= 0 || took <= 0 {
		return
	}
	if float64(tokens)/float64(took) > readRate.tokensPerMS {
		readRate.tokensPerMS *= 1 + rateUpFactor*rateStep
		return
	}
	readRate.tokensPerMS *= 1 - rateStep
}
