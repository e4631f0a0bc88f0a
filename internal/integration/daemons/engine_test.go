package daemons_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/modelengine"
)

// TestEngineRestarted restarts the engine cold in the middle of an answer.
func TestEngineRestarted(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	_, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("quote")
	waitVouched(running, daemon, model)
	call := harness.NewCall(model, longTokens).Streamed().Keyed()
	open := beginLong(t, daemon, call)
	running.Engines[onlyEngine].Restart()
	told := open.Finish()
	require.Equal(t, outcome.Unknown, told.Kind, "%+v", told)
	running.Judge(call, told)
	serveAgain(running, daemon, model)
	running.JudgeEngines()
}

// TestSwappedVersion lets the engine answer with another version than asked
// for. Not a word of it reaches the caller.
func TestSwappedVersion(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	_, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("review")
	for _, stream := range []bool{false, true} {
		running.Engines[onlyEngine].SetFaults(modelengine.Faults{SwapTo: running.AdapterAddress("draft")})
		call := harness.NewCall(model, 5)
		call.Stream = stream
		told := daemon.Do(call)
		require.NotEqual(t, outcome.Answered, told.Kind)
		require.Empty(t, told.Text)
		running.Judge(call, told)
	}
}

// TestTruncatedStream lets the engine end every answer before its end.
func TestTruncatedStream(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	_, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("review")
	running.Engines[onlyEngine].SetFaults(modelengine.Faults{TruncateAfter: 3})
	call := harness.NewCall(model, 20).Streamed()
	told := daemon.Do(call)
	require.Equal(t, outcome.Unknown, told.Kind, "%+v", told)
	running.Judge(call, told)
	running.Engines[onlyEngine].SetFaults(modelengine.Faults{})
	waitVouched(running, daemon, model)
}

// TestEngineFrozen freezes the engine: the daemons notice and say so, without
// piling up calls, and serve again once it wakes.
func TestEngineFrozen(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	owner, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("review")
	engine := running.Engines[onlyEngine]
	engine.SetFaults(modelengine.Faults{Frozen: true})
	running.WaitFor("the report to grow old", func() bool {
		owned := running.Daemons[owner].Status().Owned
		return len(owned) == 1 && owned[0].ReportAge > 5*clock.Second
	})
	require.LessOrEqual(t, engine.BlockedCalls(), int64(1), "one report call at a time")
	engine.SetFaults(modelengine.Faults{})
	waitVouched(running, daemon, model)
}
