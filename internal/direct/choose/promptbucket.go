package choose

import "teaselmoor/internal/base/clock"

// PromptBucket is a leaky bucket for each engine that measures the prompts sent to it. The level
// rises by the tokens of each prompt sent, and falls at a share of the engine's read rate.
// So it counts recently read prompts as well as those being read: a series of short
// prompts without a break also makes streams pause for longer than their goal.
type PromptBucket struct {
	levels map[string]level
}

type level struct {
	tokens float64
	at     clock.Millis
}

// leakShare is the share of an engine's read rate at which the level falls. An engine that reads
// prompts all the time sends its streams an event only every few full steps; if it reads
// for this share of the time they meet their gap goal.
const leakShare = 0.6

// NewPromptBucket returns an empty bucket for every engine.
func NewPromptBucket() *PromptBucket {
	return &PromptBucket{levels: make(map[string]level)}
}

// Add adds prompt tokens that were sent to a server.
func (promptBucket *PromptBucket) Add(now clock.Millis, server string, tokens int, tokensPerMS float64) {
	promptBucket.levels[server] = level{tokens: promptBucket.Level(now, server, tokensPerMS) + float64(tokens), at: now}
}

// Level returns the current level of a server's bucket.
func (promptBucket *PromptBucket) Level(now clock.Millis, server string, tokensPerMS float64) float64 {
	known, ok := promptBucket.levels[server]
	if !ok {
		return 0
	}
	return max(0, known.tokens-leakShare*tokensPerMS*float64(now-known.at))
}

// Retain drops the buckets of servers that are no longer known.
func (promptBucket *PromptBucket) Retain(known func(server string) bool) {
	for server := range promptBucket.levels {
		if !known(server) {
			delete(promptBucket.levels, server)
		}
	}
}
