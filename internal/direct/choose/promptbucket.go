package choose

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/prefill"
)

// PromptBucket holds a leaky bucket for each engine, which measures the prompts sent to it. It
// drains at a share of the engine's read rate.
type PromptBucket struct {
	buckets map[string]prefill.Bucket
}

// NewPromptBucket returns an empty bucket for every engine.
func NewPromptBucket() *PromptBucket {
	return &PromptBucket{buckets: make(map[string]prefill.Bucket)}
}

// Add adds prompt tokens that were sent to a server.
func (promptBucket *PromptBucket) Add(now clock.Millis, server string, tokens int, tokensPerMS float64) {
	promptBucket.buckets[server] = promptBucket.buckets[server].Add(now, tokens, prefill.DefaultLeakShare*tokensPerMS)
}

// Level returns the current level of a server's bucket.
func (promptBucket *PromptBucket) Level(now clock.Millis, server string, tokensPerMS float64) float64 {
	return promptBucket.buckets[server].Level(now, prefill.DefaultLeakShare*tokensPerMS)
}

// Retain drops the buckets of servers that are no longer known.
func (promptBucket *PromptBucket) Retain(known func(server string) bool) {
	for server := range promptBucket.buckets {
		if !known(server) {
			delete(promptBucket.buckets, server)
		}
	}
}
