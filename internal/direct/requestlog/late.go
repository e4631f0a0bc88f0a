package requestlog

import (
	"fmt"
	"strings"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/late"
)

// firstWaits are the waits before a stream's first event.
type firstWaits struct {
	total clock.Millis // for the adapter, for grants and for prompts
	grant clock.Millis
	held  clock.Millis // for prompts that the server was reading
	begun bool         // the first event has been sent: later waits do not count
}

// addSent adds the waits before an attempt. The total and the wait for prompts are those of the
// request so far, the wait for a grant is that of the attempt.
func (firstWaits *firstWaits) addSent(line line) {
	if firstWaits.begun {
		return
	}
	firstWaits.total, firstWaits.held = line.WaitedMillis, line.HeldMillis
	firstWaits.grant += line.TurnMillis
}

// lateness says in one sentence why a stream was late, or nothing if it was on time.
func (line line) lateness(waits firstWaits) string {
	var by, facts []string
	if line.Late == late.First || line.Late == late.Both {
		by = append(by, "by its first event")
		facts = append(facts, fmt.Sprintf("the first event came after %d ms, with a goal of %d ms, of which the request waited %d ms for its adapter, %d ms for a grant to send the prompt and %d ms for prompts that the server was reading",
			line.FirstMillis, line.GoalMillis, max(0, waits.total-waits.grant-waits.held), waits.grant, waits.held))
	}
	if line.Late == late.Pause || line.Late == late.Both {
		by = append(by, "by a pause")
		fact := fmt.Sprintf("the longest pause took %d ms, with a goal of %d ms", line.GapMillis, line.GapGoalMillis)
		if line.PauseSpeedHundredths > 0 {
			fact += fmt.Sprintf(", and when it began the server's speed was %.2f of the median and %d prompt tokens were known to be in prefill there",
				float64(line.PauseSpeedHundredths)/100, line.PauseTokens)
		}
		facts = append(facts, fact)
	}
	if len(by) == 0 {
		return ""
	}
	return "The answer was late " + strings.Join(by, " and ") + ": " + strings.Join(facts, "; ") + "."
}
