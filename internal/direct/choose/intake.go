package choose

import "teaselmoor/internal/base/clock"

// PromptBucket follows the prompts that go to each engine as a bucket that leaks: it rises by
// the tokens of a prompt when that is sent, and falls at a part of the rate at which
// engines read. What is in it counts prompts that have been read of late as well as
// those being read: streams pause for longer than their goal also where short prompts
// follow each other without a break.
type PromptBucket struct {
	levels map[string]level
}

type level struct {
	tokens float64
	at     clock.Millis
}

// leak is the part of an engine's reading rate at which the bucket falls. An engine that
// reads all the time gives its streams an event every few full steps; at this part of
// the time they keep their goal.
const leak = 0.6

// NewPromptBucket returns an intake without a prompt.
func NewPromptBucket() *PromptBucket {
	return &PromptBucket{levels: make(map[string]level)}
}

// Add counts prompt tokens that were sent to a server.
func (promptBucket *PromptBucket) Add(now clock.Millis, server string, tokens int, tokensPerMS float64) {
	promptBucket.levels[server] = level{tokens: promptBucket.Level(now, server, tokensPerMS) + float64(tokens), at: now}
}

// Level returns the level at a server.
func (promptBucket *PromptBucket) Level(now clock.Millis, server string, tokensPerMS float64) float64 {
	known, ok := promptBucket.levels[server]
	if !ok {
		return 0
	}
	return max(0, known.tokens-leak*tokensPerMS*float64(now-known.at))
}

// Retain forgets the servers that are gone.
func (promptBucket *PromptBucket) Retain(known func(server string) bool) {
	for server := range promptBucket.levels {
		if !known(server) {
			delete(promptBucket.levels, server)
		}
	}
}
