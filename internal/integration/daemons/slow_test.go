package daemons_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/modelengine"
)

// TestSlowReader leaves one caller's answer unread. Meanwhile another caller's answer
// from the same engine, sent over the same connection between daemons, must arrive
// complete, and the slow caller must get its own answer when it reads on.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	options := oneEngineOptions()
	options.Engine.StepInterval = time.Millisecond
	options.Engine.TokenPadding = 4000
	testSite := harness.New(t, options)
	_, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("draft")
	slow := harness.NewCall(model, 5_000).WithStreaming() // far more than socket buffers and flow-control windows hold
	openCall, result := daemon.Begin(slow)
	require.NotNil(t, openCall, "%+v", result)
	testSite.WaitFor("the engine to complete the answer", func() bool {
		entries := testSite.LedgerEntries(slow)
		return len(entries) == 1 && entries[0].Ended == modelengine.Complete
	})
	fast := harness.NewCall(model, 200).WithStreaming()
	result = daemon.Do(fast)
	require.Equal(t, outcome.Answered, result.Kind, "%+v", result)
	testSite.CheckResult(fast, result)
	require.NotZero(t, daemon.Status().Requests, "the slow call is still open")
	result = openCall.Finish()
	require.Equal(t, outcome.Answered, result.Kind, "%+v", result)
	testSite.CheckResult(slow, result)
}
