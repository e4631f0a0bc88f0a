package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
)

// TestCallerLimit lets one caller exceed its rate beside another caller.
func TestCallerLimit(t *testing.T) {
	published := smallConfig(1)
	published.Callers[0].RequestsPerSecond, published.Callers[0].Burst = 2, 3
	published.Callers = append(published.Callers, config.Caller{Name: "other", KeyHash: config.HashKey("other")})
	snapshot, err := config.Compile(published)
	require.NoError(t, err)
	entry := node.New(node.DefaultOptions())
	now := clock.Hour
	entry.Step(now, node.ConfigRead{Snapshot: snapshot})
	entry.Step(now, node.VMListRead{View: members.NewView(members.List{Version: 1}, now)})
	sequence := 0
	ask := func(key string) outcome.Outcome {
		sequence++
		effects := entry.Step(now, node.RequestArrived{
			Stream: entry.NewStream(), RequestID: fmt.Sprint(sequence), APIKey: key, Model: "review-1@1",
		})
		for _, next := range effects {
			if answer, isAnswer := next.(effect.Answer); isAnswer {
				return answer.Outcome
			}
		}
		return outcome.Outcome{}
	}
	for range 4 { // the burst, and one at the rate
		require.Equal(t, outcome.NoEngine, ask(callerKey).Reason)
	}
	require.Equal(t, outcome.Refused(outcome.CallerLimit, 500), ask(callerKey))
	require.Equal(t, outcome.NoEngine, ask("other").Reason, "one caller's burst does not starve another")
	now += 499
	require.Equal(t, outcome.Refused(outcome.CallerLimit, 1), ask(callerKey))
	now++
	require.Equal(t, outcome.NoEngine, ask(callerKey).Reason, "after the Retry-After there is a token")
}
