package choose

import "teaselmoor/internal/base/clock"

// DelayPolicy decides whether a prompt is sent to its server now. An engine reads prompts
// between the steps of the streams that it runs: prompts that come to it at once make
// all of those pause. A prompt that is sent some ten milliseconds later has its own first
// event in time all the same (TestHeldPromptsKeepStreamsGoing).
type DelayPolicy struct {
	// GapShare is the part of the goal for gaps that the prompts being read at a server
	// may take. Half leaves room for what other daemons send unheard.
	GapShare float64
	// GoalShare is the part of its goal for the first event that a prompt is held at
	// most, what it has waited for its adapter included.
	GoalShare float64
	// Look is the time between two looks whether it may be sent.
	Look clock.Millis
}

// DefaultDelayPolicy returns limits for engines of which not all prompts are heard.
func DefaultDelayPolicy() DelayPolicy {
	return DelayPolicy{GapShare: 0.5, GoalShare: 0.33, Look: 15}
}

// Prompt is a prompt that could be sent.
type Prompt struct {
	Tokens  int
	Goal    clock.Millis // for its first event
	GapGoal clock.Millis // of the streams of its route
	Waited  clock.Millis // since it came
}

// ShouldDelay reports whether a prompt should wait. Intake is the level of its server;
// tokensPerMS is what the engine reads.
func (delayPolicy DelayPolicy) ShouldDelay(prompt Prompt, intake, tokensPerMS float64) bool {
	if prompt.Waited >= clock.Millis(delayPolicy.GoalShare*float64(prompt.Goal)) || intake <= 0 {
		return false
	}
	most := delayPolicy.GapShare * float64(prompt.GapGoal) * tokensPerMS
	return intake+float64(prompt.Tokens) > most
}
