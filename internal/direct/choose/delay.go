package choose

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/prefill"
)

// DelayPolicy decides whether a prompt is sent to its server now or delayed. An engine reads
// prompts between the decoding steps of its streams, so prompts that arrive together
// make all streams pause. A prompt that is delayed by some ten milliseconds still gets
// its first event within its goal (TestDelayedPromptsShortenStreamPauses).
type DelayPolicy struct {
	// GapShare is the share of the gap goal that reading the prompts at a server may
	// take. Half leaves room for prompts of other daemons that this one does not know of.
	GapShare float64
	// GoalShare is the share of its first-event goal after which a prompt is no longer
	// delayed. The time that it waited for its adapter counts as well.
	GoalShare float64
	// Look is the interval at which a delayed prompt is checked again.
	Look clock.Millis
}

// DefaultDelayPolicy returns the limits for engines that also get prompts which this daemon does
// not know of.
func DefaultDelayPolicy() DelayPolicy {
	return DelayPolicy{GapShare: prefill.DefaultGapShare, GoalShare: prefill.DefaultGoalShare, Look: 15}
}

// Prompt is a prompt that is ready to be sent.
type Prompt struct {
	Tokens  int
	Goal    clock.Millis // for its first event
	GapGoal clock.Millis // longest pause between events of the route's streams
	Waited  clock.Millis // since the request arrived
}

// ShouldDelay reports whether a prompt should be delayed. Level is the level of its server's
// prompt bucket; tokensPerMS is the engine's read rate. A server with an empty bucket is sent
// a prompt of any size.
func (delayPolicy DelayPolicy) ShouldDelay(prompt Prompt, level, tokensPerMS float64) bool {
	if prompt.Waited >= clock.Millis(delayPolicy.GoalShare*float64(prompt.Goal)) {
		return false
	}
	return !prefill.Fits(level, prompt.Tokens, prefill.TokenLimit(delayPolicy.GapShare, prompt.GapGoal, tokensPerMS))
}
