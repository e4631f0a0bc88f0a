package daemons_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
)

// startStream sends a streamed call to an entry and reads the first tokens of the
// answer.
func startStream(t *testing.T, entry *harness.Daemon, call harness.Call) *harness.OpenCall {
	t.Helper()
	openCall, result := entry.Begin(call)
	require.NotNil(t, openCall, "result %+v", result)
	readFirstTokens(openCall)
	return openCall
}

// startKeyedStream starts a site and a long streamed call with an idempotency key, at
// an entry that is not the engine's owner.
func startKeyedStream(t *testing.T, task string) (*harness.Site, harness.Call, *harness.OpenCall) {
	t.Helper()
	testSite := harness.New(t, oneEngineOptions())
	_, entry := ownerAndEntry(testSite)
	model := testSite.AdapterAddress(task)
	waitUntilVouched(testSite, testSite.Daemons[entry], model)
	call := harness.NewCall(model, longTokens).WithStreaming().WithKey()
	return testSite, call, startStream(t, testSite.Daemons[entry], call)
}

// waitUntilVouched waits until a call with a new idempotency key is answered, which
// requires that a daemon vouches for the key.
func waitUntilVouched(testSite *harness.Site, entry *harness.Daemon, model string) {
	testSite.WaitFor("new keys to be vouched for", func() bool {
		call := harness.NewCall(model, 1).WithKey()
		result := entry.Do(call)
		testSite.CheckResult(call, result)
		return result.Kind == outcome.Answered
	})
}

// TestOwnerKilled kills the owner of an engine in the middle of an answer. The
// caller's result must agree with the ledger, and a call with an idempotency key may
// run only once.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()
	for _, task := range []string{"review", "quote"} {
		t.Run(task, func(t *testing.T) {
			t.Parallel()
			testSite, call, openCall := startKeyedStream(t, task)
			owner, _ := ownerAndEntry(testSite)
			testSite.Daemons[owner].Kill()
			testSite.SetVMs(testSite.VMsWithout(owner))
			result := openCall.Finish()
			require.NotEmpty(t, result.Kind, "the caller gets an outcome")
			testSite.CheckResult(call, result)
			testSite.CheckEngines()
		})
	}
}

// TestEntryKilled kills the entry in the middle of an answer. The run must be
// cancelled at the engine, and the owner must go on serving.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	owner, entry := ownerAndEntry(testSite)
	model := testSite.AdapterAddress("review")
	call := harness.NewCall(model, 100*longTokens).WithStreaming()
	openCall := startStream(t, testSite.Daemons[entry], call)
	testSite.Daemons[entry].Kill()
	result := openCall.Finish()
	require.Empty(t, result.Kind)
	testSite.CheckResult(call, result)
	testSite.WaitFor("the run to be cancelled", func() bool {
		entries := testSite.LedgerEntries(call)
		return len(entries) == 1 && entries[0].Ended != ""
	})
	next := harness.NewCall(model, 3)
	result = testSite.Daemons[owner].Do(next)
	require.Equal(t, outcome.Answered, result.Kind)
	testSite.CheckResult(next, result)
	testSite.CheckEngines()
}

// TestEntryRestarted kills and restarts the entry. Other daemons must not mistake
// stream ids that it used before the restart for those that it uses after it.
func TestEntryRestarted(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	_, entry := ownerAndEntry(testSite)
	daemon := testSite.Daemons[entry]
	former := harness.NewCall(testSite.AdapterAddress("review"), longTokens).WithStreaming()
	openCall := startStream(t, daemon, former)
	daemon.Kill()
	testSite.CheckResult(former, openCall.Finish())
	daemon.Start()
	daemon.WaitReady()
	call := harness.NewCall(testSite.AdapterAddress("draft"), longTokens).WithStreaming()
	result := daemon.Do(call)
	require.Equal(t, outcome.Answered, result.Kind, "%+v", result)
	testSite.CheckResult(call, result)
}

// TestOwnerFrozen freezes the owner in the middle of an answer and resumes it after
// the entry has ended the call. The caller's result must agree with the ledger, and
// calls must be answered again.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()
	for _, task := range []string{"review", "quote"} {
		t.Run(task, func(t *testing.T) {
			t.Parallel()
			testSite, call, openCall := startKeyedStream(t, task)
			owner, entry := ownerAndEntry(testSite)
			testSite.Daemons[owner].Freeze()
			result := openCall.Finish()
			require.NotEmpty(t, result.Kind, "a frozen peer is noticed")
			testSite.Daemons[owner].Unfreeze()
			testSite.CheckResult(call, result)
			testSite.WaitFor("calls to be answered again", func() bool {
				next := harness.NewCall(testSite.AdapterAddress(task), 3).WithKey()
				result := testSite.Daemons[entry].Do(next)
				testSite.CheckResult(next, result)
				return result.Kind == outcome.Answered
			})
			testSite.CheckEngines()
		})
	}
}

// TestCallersDisconnectAtOnce sends many calls whose callers disconnect before an answer
// can begin. If a cancel overtook its request on the way to the owner, the request
// would stay there. At the end, the owner must have no request left, and its slots
// and batch must be free.
func TestCallersDisconnectAtOnce(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	owner, entry := ownerAndEntry(testSite)
	model := testSite.AdapterAddress("draft")
	waitUntilServing(testSite, testSite.Daemons[entry], model)
	const abandoned = 100
	for range abandoned {
		testSite.Daemons[entry].Abandon(harness.NewCall(model, 100*longTokens).WithStreaming())
	}
	testSite.WaitFor("every disconnect to be noticed", func() bool {
		return strings.Count(testSite.Daemons[entry].Log(), `"Cause":"CallerGone"`) >= abandoned
	})
	testSite.WaitFor("an idle owner", func() bool {
		owned := testSite.Daemons[owner].Status().Owned
		return len(owned) == 1 && owned[0].Running == 0 && owned[0].Queued == 0
	})
	waitUntilServing(testSite, testSite.Daemons[entry], model)
}
