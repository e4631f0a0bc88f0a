package choose_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
)

// withDeadlines has callers ask for answers of 1 to 150 events, 43 on average, within 8 or 12 s.
// They state up to half more tokens than an answer gets.
func withDeadlines(completion float64, prepare func(site *site)) func(site *site) {
	return func(site *site) {
		site.weights.Completion = completion
		site.answers = func(request *siteRequest) {
			request.events = int(min(150, 1+43.5*site.random.ExpFloat64()))
			request.sent, request.output = request.events, int(4*float64(request.events)*(1+site.random.Float64()/2))
			request.deadline = site.now + []float64{8000, 12_000}[site.random.IntN(2)]
		}
		prepare(site)
	}
}

// TestFewerAnswersAreCutOff guards against long answers that are sent to servers too slow for
// them, and against the cure being worse: late streams, more loads, crowded servers.
func TestFewerAnswersAreCutOff(t *testing.T) {
	t.Parallel()
	completion, unchanged := choose.DefaultWeights().Completion, func(*site) {}
	before := replaySite(t, "before", 2, sitePeriod, true, withDeadlines(0, unchanged))
	after := replaySite(t, "after", 2, sitePeriod, true, withDeadlines(completion, unchanged))
	slowed := replaySite(t, "slowed, before", 2, 7000, true, withDeadlines(0, slowDown))
	old := replaySite(t, "slowed, speeds 3 s old", 2, 7000, true, withDeadlines(completion, slowDown))
	require.Greater(t, before.cut, before.requests/100, "the load is too low for this test")
	require.Less(t, after.cut, before.cut/2)
	require.Less(t, old.cut, slowed.cut)
	late := func(result siteResult) float64 { return float64(result.latePause + result.lateFirst) }
	require.Less(t, late(after), 1.03*late(before))
	require.Less(t, late(old), 1.1*late(slowed))
	require.Less(t, float64(after.loads), 1.08*float64(before.loads))
	require.Less(t, after.busiest, 1.2*before.busiest)
}
