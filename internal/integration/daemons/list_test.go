package daemons_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
)

// TestOwnerLosesList lets the VM list fail for an engine's owner alone, while
// the others read that it is gone. The owner must stop giving orders before
// another daemon starts to, at an engine that ignores fencing numbers: from the
// first run of the new owner on, none carries a lower number.
func TestOwnerLosesList(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	owner, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("draft")
	serveAgain(running, daemon, model)
	running.Daemons[owner].List.SetListDown(true)
	for i := range running.Daemons {
		if i != owner {
			running.SetVMsOf(i, running.Without(owner))
		}
	}
	running.WaitFor("another owner", func() bool {
		running.Daemons[owner].Do(harness.NewCall(model, 3)) // goes on being asked
		for i, each := range running.Daemons {
			if i != owner && len(each.Status().Owned) > 0 {
				return true
			}
		}
		return false
	})
	running.WaitFor("service by the new owner", func() bool {
		call := harness.NewCall(model, 3)
		told := daemon.Do(call)
		running.Judge(call, told)
		running.Daemons[owner].Do(harness.NewCall(model, 3))
		return told.Kind == outcome.Answered
	})
	highest := ident.Fence(0)
	for _, entry := range running.Engines[onlyEngine].Ledger() {
		require.GreaterOrEqual(t, ident.Fence(entry.Fence), highest, "an order of the former owner")
		highest = ident.Fence(entry.Fence)
	}
	running.JudgeEngines()
}
