package daemons_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/modelengine"
)

// TestEngineRestarted restarts the engine, which unloads all adapters, in the middle
// of an answer. The outcome of the call must be unknown, and new calls must be served.
func TestEngineRestarted(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	_, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("quote")
	waitUntilVouched(testSite, daemon, model)
	call := harness.NewCall(model, longTokens).WithStreaming().WithKey()
	openCall := startStream(t, daemon, call)
	testSite.Engines[onlyEngine].Restart()
	result := openCall.Finish()
	require.Equal(t, outcome.Unknown, result.Kind, "%+v", result)
	testSite.CheckResult(call, result)
	waitUntilServing(testSite, daemon, model)
	testSite.CheckEngines()
}

// TestSwappedAdapter lets the engine answer with another adapter than the request
// names. None of its text may reach the caller.
func TestSwappedAdapter(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	_, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("review")
	for _, stream := range []bool{false, true} {
		testSite.Engines[onlyEngine].SetFaults(modelengine.Faults{SwapTo: testSite.AdapterAddress("draft")})
		call := harness.NewCall(model, 5)
		call.Stream = stream
		result := daemon.Do(call)
		require.NotEqual(t, outcome.Answered, result.Kind)
		require.Empty(t, result.Text)
		testSite.CheckResult(call, result)
	}
}

// TestTruncatedStream lets the engine close every stream before the answer is
// complete. The outcome must be unknown: a truncated answer must not look complete.
func TestTruncatedStream(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	_, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("review")
	testSite.Engines[onlyEngine].SetFaults(modelengine.Faults{TruncateAfter: 3})
	call := harness.NewCall(model, 20).WithStreaming()
	result := daemon.Do(call)
	require.Equal(t, outcome.Unknown, result.Kind, "%+v", result)
	testSite.CheckResult(call, result)
	testSite.Engines[onlyEngine].SetFaults(modelengine.Faults{})
	waitUntilVouched(testSite, daemon, model)
}

// TestEngineFrozen freezes the engine. Its owner must show the age of the last
// report in its status, have at most one report call open, and serve again once the
// engine resumes.
func TestEngineFrozen(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	owner, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("review")
	engine := testSite.Engines[onlyEngine]
	engine.SetFaults(modelengine.Faults{Frozen: true})
	testSite.WaitFor("the last report to be older than 5 s", func() bool {
		owned := testSite.Daemons[owner].Status().Owned
		return len(owned) == 1 && owned[0].ReportAge > 5*clock.Second
	})
	require.LessOrEqual(t, engine.BlockedCalls(), int64(1), "at most one report call is open")
	engine.SetFaults(modelengine.Faults{})
	waitUntilVouched(testSite, daemon, model)
}
