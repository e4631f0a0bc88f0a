package daemons_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/modelengine"
)

// TestSlowReader leaves one caller's answer unread. Another caller's answer, of
// the same engine on the same lane, arrives whole meanwhile, and the slow one
// gets its own in the end.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	options := oneEngine()
	options.Engine.StepInterval = time.Millisecond
	options.Engine.TokenPadding = 4000
	running := harness.New(t, options)
	_, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("draft")
	slow := harness.NewCall(model, 5_000).Streamed() // far more than sockets and windows hold
	open, told := daemon.Begin(slow)
	require.NotNil(t, open, "%+v", told)
	running.WaitFor("the engine to have made the whole answer", func() bool {
		ran := running.Ran(slow)
		return len(ran) == 1 && ran[0].Ended == modelengine.Complete
	})
	fast := harness.NewCall(model, 200).Streamed()
	told = daemon.Do(fast)
	require.Equal(t, outcome.Answered, told.Kind, "%+v", told)
	running.Judge(fast, told)
	require.NotZero(t, daemon.Status().Requests, "the slow one is still open")
	told = open.Finish()
	require.Equal(t, outcome.Answered, told.Kind, "%+v", told)
	running.Judge(slow, told)
}
