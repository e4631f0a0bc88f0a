package requestlog_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/requestlog"
	"teaselmoor/internal/serve/explain"
)

// TestLateStreamIsExplained guards against a late answer that is explained by another time than the one
// that made it late: waits after its first event, or those of one attempt alone.
func TestLateStreamIsExplained(t *testing.T) {
	const before = `{"time":"2026-06-10T17:35:01.000Z","msg":"request sent","Request":"7f","Server":"e1","WaitedMillis":500,"HeldMillis":30,"TurnMillis":60}
{"time":"2026-06-10T17:35:01.100Z","msg":"server declined","Request":"7f","Server":"e1","Status":503}
{"time":"2026-06-10T17:35:01.200Z","msg":"request sent","Request":"7f","Server":"e2","WaitedMillis":620,"HeldMillis":70,"TurnMillis":40}
{"time":"2026-06-10T17:35:02.000Z","msg":"stream broken","Request":"7f","After":"9"}
{"time":"2026-06-10T17:35:02.200Z","msg":"request sent","Request":"7f","Server":"e1","WaitedMillis":900,"HeldMillis":70,"TurnMillis":250}
`
	const ended = `{"time":"2026-06-10T17:35:03.000Z","msg":"request ended","Request":"7f","Status":200,"Reason":"Complete","Offers":3,"Config":21,"Daemon":"d","Route":"r1","Service":"s","Kind":"streaming","FirstMillis":940,"GapMillis":410,"PauseTokens":3400,"PauseSpeedHundredths":62%s}`
	const goals = `,"Late":%q,"GoalMillis":800,"GapGoalMillis":300`
	const first = "the first event came after 940 ms, with a goal of 800 ms, of which the request waited 450 ms for its adapter, 100 ms for a grant to send the prompt and 70 ms for prompts that the server was reading"
	const pause = "the longest pause took 410 ms, with a goal of 300 ms, and when it began the server's speed was 0.62 of the median and 3400 prompt tokens were known to be in prefill there"
	for cause, want := range map[string]string{
		"": "", "first": "The answer was late by its first event: " + first + ".", "pause": "The answer was late by a pause: " + pause + ".",
		"both": "The answer was late by its first event and by a pause: " + first + "; " + pause + ".",
	} {
		record, err := requestlog.Read(strings.NewReader(before+fmt.Sprintf(ended, fmt.Sprintf(goals, cause))), "7f")
		require.NoError(t, err)
		require.Equal(t, want, record.Lateness)
		require.Contains(t, explain.Render(record, explain.Member), want)
	}
}
