package choose_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
)

// observe has the site estimate the tokens of an event.
func (site *site) observe(request *siteRequest) {
	if !request.cut {
		site.perEvent.Observe(request.output, request.sent)
	}
}

// addDeadlines has callers ask for answers of 1 to 150 events, 43 on average, within 8 or 12 s.
// They state up to half more tokens than an answer gets.
func addDeadlines(site *site) {
	const tokensPerEvent, longest, mean = 4, 150, 43.5
	site.answers = func(request *siteRequest) {
		request.events = int(min(longest, 1+mean*site.random.ExpFloat64()))
		request.sent = request.events
		request.output = int(tokensPerEvent * float64(request.events) * (1 + site.random.Float64()/2))
		request.deadline = site.now + []float64{8000, 12_000}[site.random.IntN(2)]
	}
}

// replayDeadlines runs the replay with deadlines, and without or with the cost of cut answers.
func replayDeadlines(t *testing.T, name string, span, completion float64, prepare func(site *site)) siteResult {
	sum := replaySite(t, name, 2, span, true, func(site *site) {
		addDeadlines(site)
		site.weights.Completion = completion
		if prepare != nil {
			prepare(site)
		}
	})
	t.Logf("%-22s cut off %d (%.4f)", name, sum.cut, float64(sum.cut)/float64(sum.requests))
	return sum
}

// TestFewerAnswersAreCutOff guards against long answers that are sent to servers too slow for
// them, and against the cure being worse: late streams, more loads.
func TestFewerAnswersAreCutOff(t *testing.T) {
	t.Parallel()
	before := replayDeadlines(t, "before", sitePeriod, 0, nil)
	after := replayDeadlines(t, "after", sitePeriod, choose.DefaultWeights().Completion, nil)
	slowed := replayDeadlines(t, "slowed, before", 7000, 0, slowDown)
	old := replayDeadlines(t, "slowed, speeds 3 s old", 7000, choose.DefaultWeights().Completion, slowDown)
	require.Greater(t, before.cut, before.requests/100, "the load is too low for this test")
	require.Less(t, after.cut, before.cut/2)
	require.Less(t, old.cut, slowed.cut)
	late := func(result siteResult) float64 { return float64(result.latePause + result.lateFirst) }
	require.Less(t, late(after), 1.03*late(before))
	require.Less(t, late(old), 1.1*late(slowed))
	require.Less(t, float64(after.loads), 1.08*float64(before.loads))
	require.Less(t, after.busiest, 1.2*before.busiest)
}
