package ending_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/direct/ending"
)

// TestOutcomes checks that a request counts as not run only if no server received it, or if its
// status promises the caller that it did not run.
func TestOutcomes(t *testing.T) {
	for given, want := range map[ending.Ending]outcome.Kind{
		{Reason: ending.Complete, Status: 200, TimesSent: 1}:      outcome.Answered,
		{Reason: ending.ServerFailure, Status: 500, TimesSent: 2}: outcome.Answered,
		{Reason: ending.AdapterNotReady, Status: 503}:             outcome.NotRun,
		{Reason: ending.TriesUsed, Status: 503, TimesSent: 2}:     outcome.NotRun,
		{Reason: ending.TriesUsed, Status: 502, TimesSent: 2}:     outcome.Unknown,
		{Reason: ending.NoRoute, Status: 404}:                     outcome.NotRun,
		{Reason: ending.CallerLeft}:                               outcome.NotRun,
		{Reason: ending.CallerLeft, TimesSent: 1}:                 outcome.Unknown,
		{Reason: ending.Timeout, Status: 504, TimesSent: 1}:       outcome.Unknown,
	} {
		got, known := given.Outcome()
		require.True(t, known)
		require.Equal(t, want, got.Kind, "%+v", given)
	}
	_, known := ending.Ending{Reason: "Other"}.Outcome()
	require.False(t, known)
}

// TestEveryReasonHasASentence guards against a reason that has no outcome, or whose outcome has
// no sentence that explains it.
func TestEveryReasonHasASentence(t *testing.T) {
	for _, reason := range ending.Reasons() {
		result, known := ending.Ending{Reason: reason}.Outcome()
		require.True(t, known)
		require.NotEmpty(t, result.Reason.Sentence(), reason)
	}
}
