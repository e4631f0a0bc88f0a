package daemons_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
)

// TestOwnerLosesList makes the VM list fail for an engine's owner only, while the
// other daemons read a list without it. The engine ignores fencing numbers, so the
// owner must stop sending orders before another daemon starts to: after the first
// run of the new owner, no run may carry a lower fencing number.
func TestOwnerLosesList(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	owner, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("draft")
	waitUntilServing(testSite, daemon, model)
	testSite.Daemons[owner].List.SetListDown(true)
	for i := range testSite.Daemons {
		if i != owner {
			testSite.SetVMsOf(i, testSite.VMsWithout(owner))
		}
	}
	testSite.WaitFor("another owner", func() bool {
		testSite.Daemons[owner].Do(harness.NewCall(model, 3)) // the former owner still gets calls
		for i, each := range testSite.Daemons {
			if i != owner && len(each.Status().Owned) > 0 {
				return true
			}
		}
		return false
	})
	testSite.WaitFor("an answer by the new owner", func() bool {
		call := harness.NewCall(model, 3)
		result := daemon.Do(call)
		testSite.CheckResult(call, result)
		testSite.Daemons[owner].Do(harness.NewCall(model, 3))
		return result.Kind == outcome.Answered
	})
	highest := ident.Fence(0)
	for _, entry := range testSite.Engines[onlyEngine].Ledger() {
		require.GreaterOrEqual(t, ident.Fence(entry.Fence), highest, "an order of the former owner")
		highest = ident.Fence(entry.Fence)
	}
	testSite.CheckEngines()
}
