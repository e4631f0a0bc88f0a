package daemons_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
)

// beginLong begins a streamed answer at an entry and reads its first tokens.
func beginLong(t *testing.T, entry *harness.Daemon, call harness.Call) *harness.Open {
	t.Helper()
	open, told := entry.Begin(call)
	require.NotNil(t, open, "told %+v", told)
	readSome(open)
	return open
}

// beginKeyed starts a site and begins a long streamed answer under a key, at an
// entry that is not the engine's owner.
func beginKeyed(t *testing.T, task string) (*harness.Site, harness.Call, *harness.Open) {
	t.Helper()
	running := harness.New(t, oneEngine())
	_, entry := ownerAndEntry(running)
	model := running.AdapterAddress(task)
	waitVouched(running, running.Daemons[entry], model)
	call := harness.NewCall(model, longTokens).Streamed().Keyed()
	return running, call, beginLong(t, running.Daemons[entry], call)
}

// waitVouched waits until a key that is issued now is vouched for.
func waitVouched(running *harness.Site, entry *harness.Daemon, model string) {
	running.WaitFor("keys vouched for", func() bool {
		call := harness.NewCall(model, 1).Keyed()
		told := entry.Do(call)
		running.Judge(call, told)
		return told.Kind == outcome.Answered
	})
}

// TestOwnerKilled kills the owner of an engine in the middle of an answer. The
// caller is told the truth, and a run that must not be repeated runs once.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()
	for _, task := range []string{"review", "quote"} {
		t.Run(task, func(t *testing.T) {
			t.Parallel()
			running, call, open := beginKeyed(t, task)
			owner, _ := ownerAndEntry(running)
			running.Daemons[owner].Kill()
			running.SetVMs(running.Without(owner))
			told := open.Finish()
			require.NotEmpty(t, told.Kind, "the caller is told something")
			running.Judge(call, told)
			running.JudgeEngines()
		})
	}
}

// TestEntryKilled kills the entry in the middle of an answer. The run ends at
// the engine, and the owner serves on.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	owner, entry := ownerAndEntry(running)
	model := running.AdapterAddress("review")
	call := harness.NewCall(model, 100*longTokens).Streamed()
	open := beginLong(t, running.Daemons[entry], call)
	running.Daemons[entry].Kill()
	told := open.Finish()
	require.Empty(t, told.Kind)
	running.Judge(call, told)
	running.WaitFor("the run to be cancelled", func() bool {
		ran := running.Ran(call)
		return len(ran) == 1 && ran[0].Ended != ""
	})
	next := harness.NewCall(model, 3)
	told = running.Daemons[owner].Do(next)
	require.Equal(t, outcome.Answered, told.Kind)
	running.Judge(next, told)
	running.JudgeEngines()
}

// TestEntryRestarted kills and restarts the entry: stream ids of its former
// life must not be taken for those of the new one.
func TestEntryRestarted(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	_, entry := ownerAndEntry(running)
	daemon := running.Daemons[entry]
	former := harness.NewCall(running.AdapterAddress("review"), longTokens).Streamed()
	open := beginLong(t, daemon, former)
	daemon.Kill()
	running.Judge(former, open.Finish())
	daemon.Start()
	daemon.WaitReady()
	call := harness.NewCall(running.AdapterAddress("draft"), longTokens).Streamed()
	told := daemon.Do(call)
	require.Equal(t, outcome.Answered, told.Kind, "%+v", told)
	running.Judge(call, told)
}

// TestOwnerFrozen freezes the owner in the middle of an answer and wakes it
// after the entry has given up on it.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()
	for _, task := range []string{"review", "quote"} {
		t.Run(task, func(t *testing.T) {
			t.Parallel()
			running, call, open := beginKeyed(t, task)
			owner, entry := ownerAndEntry(running)
			running.Daemons[owner].Freeze()
			told := open.Finish()
			require.NotEmpty(t, told.Kind, "a frozen peer is noticed")
			running.Daemons[owner].Wake()
			running.Judge(call, told)
			running.WaitFor("service again", func() bool {
				next := harness.NewCall(running.AdapterAddress(task), 3).Keyed()
				told := running.Daemons[entry].Do(next)
				running.Judge(next, told)
				return told.Kind == outcome.Answered
			})
			running.JudgeEngines()
		})
	}
}

// TestCallersLeaveAtOnce sends many calls whose callers leave before an answer
// can begin. A cancel must not overtake the request that it is for: nothing is
// left at the owner in the end, and slots and batch are free again.
func TestCallersLeaveAtOnce(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	owner, entry := ownerAndEntry(running)
	model := running.AdapterAddress("draft")
	serveAgain(running, running.Daemons[entry], model)
	const abandoned = 100
	for range abandoned {
		running.Daemons[entry].Abandon(harness.NewCall(model, 100*longTokens).Streamed())
	}
	running.WaitFor("every caller's end to be noticed", func() bool {
		return strings.Count(running.Daemons[entry].Log(), `"Cause":"CallerGone"`) >= abandoned
	})
	running.WaitFor("an idle owner", func() bool {
		owned := running.Daemons[owner].Status().Owned
		return len(owned) == 1 && owned[0].Running == 0 && owned[0].Queued == 0
	})
	serveAgain(running, running.Daemons[entry], model)
}
