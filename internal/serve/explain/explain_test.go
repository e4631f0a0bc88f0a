package explain_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/explain"
)

const noon clock.Millis = 1_781_179_200_000 // 11 June 2026 at 12:00 UTC

func refusedRecord() outcome.Record {
	return outcome.Record{
		Request: "r-17", Daemon: "entry-2", At: noon, ConfigVersion: 12, Caller: "payroll-astur",
		Target: "enrolment-notice@3", Rule: "notices", Class: "Routine", Repeatable: true, Deadline: noon + 30*clock.Second,
		Candidates: []outcome.Candidate{
			{Engine: "runner-1", Verdict: outcome.EngineSilent, Age: 12 * clock.Second},
			{Engine: "runner-2", Verdict: outcome.Chosen, Age: 200},
		},
		Attempts: []outcome.Attempt{{
			Stream: "entry-2-1-9", Engine: "runner-2", Owner: "entry-5", At: noon,
			Outcome: outcome.Refused(outcome.QueueFull, 0),
		}},
		Outcome: outcome.Refused(outcome.QueueFull, 1500),
	}
}

func TestMember(t *testing.T) {
	require.Equal(t, `On 11 June 2026 at 12:00:00 UTC, request r-17 to enrolment-notice@3 was not answered. The queue for the permitted engines was full.

The request was not run anywhere, and nothing was changed by it.

The request may be sent again after 2 seconds.
`, explain.Render(refusedRecord(), explain.Member))
}

func TestEmployerTextHasRule(t *testing.T) {
	text := explain.Render(refusedRecord(), explain.Employer)
	require.Contains(t, text, `The caller was payroll-astur; rule "notices" was applied. The request was treated as routine.`)
	require.Contains(t, text, "may be run more than once")
	require.NotContains(t, text, "runner-1")
}

func TestRegulatorTextHasAllDetails(t *testing.T) {
	text := explain.Render(refusedRecord(), explain.Regulator)
	for _, want := range []string{
		"daemon entry-2 under version 12", "runner-1 had not been heard of recently (knowledge 12 seconds old)",
		"runner-2 was chosen (knowledge 200 milliseconds old)",
		"at engine runner-2, in the charge of daemon entry-5 (run entry-2-1-9): the request is not known to have been sent; it ended as NotRun",
		"Outcome NotRun, reason code QueueFull.",
	} {
		require.Contains(t, text, want)
	}
}

func TestUnknownIsNotReportedAsNotRun(t *testing.T) {
	record := refusedRecord()
	record.Outcome, record.Repeatable = outcome.MayHaveRun(outcome.EngineLost), false
	text := explain.Render(record, explain.Member)
	require.Contains(t, text, "It is not known whether the request ran.")
	require.NotContains(t, text, "not run anywhere")
	require.Contains(t, text, "looked up")
}

func TestAnswerNotKept(t *testing.T) {
	record := refusedRecord()
	record.Outcome, record.Repeatable = outcome.MayHaveRun(outcome.AnswerNotKept), false
	text := explain.Render(record, explain.Member)
	require.Contains(t, text, "The first attempt ran and was answered.")
	require.NotContains(t, text, "not known whether")
}

func TestHomeIsNamedForRegulator(t *testing.T) {
	record := refusedRecord()
	record.Home, record.HomeCopied = "entry-4", true
	require.Contains(t, explain.Render(record, explain.Regulator), "given by daemon entry-4, and a second daemon held the record")
	require.NotContains(t, explain.Render(record, explain.Employer), "entry-4")
}

// TestEveryReasonHasASentence checks that the explanation of each reason code contains the
// sentence of the reason.
func TestEveryReasonHasASentence(t *testing.T) {
	for _, reason := range outcome.Reasons() {
		record := outcome.Record{Request: "r", Outcome: outcome.Refused(reason, 0)}
		require.NotEmpty(t, reason.Sentence(), reason)
		require.Contains(t, explain.Render(record, explain.Member), reason.Sentence())
	}
}

func TestParse(t *testing.T) {
	record := refusedRecord()
	alone, err := json.Marshal(record)
	require.NoError(t, err)
	for name, text := range map[string]string{
		"alone":       string(alone),
		"error body":  `{"error":{"code":"QueueFull"},"record":` + string(alone) + `}`,
		"audit event": `{"Kind":"RequestRefused","Record":` + string(alone) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			parsed, err := explain.Parse([]byte(text))
			require.NoError(t, err)
			require.Equal(t, record, parsed)
		})
	}
	for _, bad := range []string{"", "[]", "{}", `{"Kind":"AdapterLoaded"}`} {
		_, err := explain.Parse([]byte(bad))
		require.Error(t, err, bad)
	}
}

// TestKeyReasonsMentionEarlierAttempt checks that no explanation claims that the request was
// not run at all if the key's home cannot know that: an earlier attempt may have run.
func TestKeyReasonsMentionEarlierAttempt(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.KeyConflict, outcome.KeyInProgress, outcome.KeyNotVouched, outcome.HomeUnreachable, outcome.HomeFull} {
		record := outcome.Record{Request: "r", Outcome: outcome.Refused(reason, 0)}
		text := explain.Render(record, explain.Member)
		require.NotContains(t, text, "not run anywhere", reason)
		require.Contains(t, text, "An earlier attempt under the same idempotency key may have run", reason)
	}
}
