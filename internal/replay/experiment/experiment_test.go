package experiment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/replay/experiment"
)

func shortSetup(policy experiment.Policy) experiment.Setup {
	setup := experiment.NewSetup(experiment.Cantabrica(), policy, 1, 2)
	setup.WarmUp = 20 * clock.Second
	setup.SetDuration(60 * clock.Second)
	return setup
}

// TestReplayRepeatsItself checks that a second run of the same setup, faults included,
// gives the same result. A dependence on the iteration order of a map would break it.
func TestReplayRepeatsItself(t *testing.T) {
	for _, policy := range []experiment.Policy{experiment.ResidencyFirst(), experiment.Product(), experiment.Offline()} {
		t.Run(policy.Name, func(t *testing.T) {
			first, err := experiment.Run(shortSetup(policy))
			require.NoError(t, err)
			second, err := experiment.Run(shortSetup(policy))
			require.NoError(t, err)
			first.Setup, second.Setup = experiment.Setup{}, experiment.Setup{}
			require.Equal(t, first, second)
		})
	}
}

// TestReplayCountsEachRequestOnce checks that each request of the trace is counted
// under exactly one outcome.
func TestReplayCountsEachRequestOnce(t *testing.T) {
	result, err := experiment.Run(shortSetup(experiment.Product()))
	require.NoError(t, err)
	counted := result.WithoutOutcome
	for _, class := range result.Classes {
		counted += class.InTime + class.Missed + class.Refused
	}
	total := result.Classes[0].Requests + result.Classes[1].Requests
	require.Positive(t, total)
	require.Empty(t, result.Violations)
	require.Equal(t, total, counted)
}
