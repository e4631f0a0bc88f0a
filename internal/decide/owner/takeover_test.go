package owner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/owner"
)

const priorFence, ownFence = ident.Fence(1), ident.Fence(2)

var (
	review = ident.Adapter{Name: "review", Version: "1"}
	quote  = ident.Adapter{Name: "quote", Version: "1"}
)

func newSuccessor(checksFencing bool, slots int) *owner.Owner {
	engine := config.Engine{Name: "engine-0", Store: "weights", Slots: slots, MaxRuns: 4, ChecksFencing: checksFencing}
	return owner.New("daemon-1", engine, ownFence, owner.DefaultOptions())
}

func submitFor(sequence uint64, adapter ident.Adapter, resume bool) message.Submit {
	return message.Submit{
		Stream: ident.StreamID{Daemon: "daemon-0", Incarnation: 1, Sequence: sequence}, Engine: "engine-0",
		Request: message.Request{Adapter: adapter}, Budget: clock.Minute, Resume: resume,
		PriorFence: priorFence, PriorBoot: "boot-1",
	}
}

func effectsOf[Kind effect.Effect](effects []effect.Effect) []Kind {
	var found []Kind
	for _, next := range effects {
		if kind, matches := next.(Kind); matches {
			found = append(found, kind)
		}
	}
	return found
}

func endedOutcome(effects []effect.Effect) (outcome.Outcome, bool) {
	for _, send := range effectsOf[effect.Send](effects) {
		if last, matches := send.Message.(message.Ended); matches {
			return last.Outcome, true
		}
	}
	return outcome.Outcome{}, false
}

// TestResumeDoesNotQueue checks that a run is resumed at once, even before the first
// report of the engine and while no run may be started. A queued run could be refused
// as not run, but this one may have run.
func TestResumeDoesNotQueue(t *testing.T) {
	successor := newSuccessor(true, 1)
	successor.Suspend(true)
	starts := effectsOf[effect.StartRun](successor.Submit(1000, "daemon-0", submitFor(1, review, true)))
	require.Len(t, starts, 1)
	require.True(t, starts[0].Resume)
}

// TestUnknownRunIsNotRunWhenProved checks the outcome of a resumed run that the
// engine does not know. It may be "not run" only if the engine checks fencing
// numbers, has not restarted, and a former owner dispatched the run.
func TestUnknownRunIsNotRunWhenProved(t *testing.T) {
	for _, example := range []struct {
		name   string
		checks bool
		boot   ident.BootID // in the report after the engine's answer
		prior  ident.Fence
		kind   outcome.Kind
	}{
		{"fencing checked, same boot", true, "boot-1", priorFence, outcome.NotRun},
		{"fencing checked, restarted since", true, "boot-2", priorFence, outcome.Unknown},
		{"fencing checked, own number", true, "boot-1", ownFence, outcome.Unknown},
		{"fencing ignored", false, "boot-1", priorFence, outcome.Unknown},
	} {
		t.Run(example.name, func(t *testing.T) {
			successor := newSuccessor(example.checks, 1)
			successor.ReportedAt(1000, 1000, owner.Report{Boot: "boot-1"})
			resumed := submitFor(1, review, true)
			resumed.PriorFence = example.prior
			successor.Submit(1001, "daemon-0", resumed)
			effects := successor.RunEnded(1002, owner.RunResult{Stream: resumed.Stream, Result: owner.ResultUnknownRun})
			got, done := endedOutcome(effects)
			if !done {
				got, done = endedOutcome(successor.ReportedAt(3000, 2999, owner.Report{Boot: example.boot}))
			}
			require.True(t, done)
			require.Equal(t, example.kind, got.Kind)
		})
	}
}

// TestResumedRunIsNeverNotRun covers results that prove "not run" only for the first
// order of a run. A resumed run may already have run for the former owner.
func TestResumedRunIsNeverNotRun(t *testing.T) {
	for _, result := range []owner.Result{owner.ResultNotSent, owner.ResultRefused, owner.ResultFenced} {
		successor := newSuccessor(true, 1)
		successor.ReportedAt(1000, 1000, owner.Report{Boot: "boot-1"})
		resumed := submitFor(1, review, true)
		successor.Submit(1001, "daemon-0", resumed)
		got, done := outcome.Outcome{}, false
		for range 10 {
			if got, done = endedOutcome(successor.RunEnded(1002, owner.RunResult{Stream: resumed.Stream, Result: result})); done {
				break
			}
		}
		require.True(t, done, result)
		require.Equal(t, outcome.Unknown, got.Kind, result)
	}
}

// requestQuoteLoad submits a request for an adapter that is not resident and grants
// its load.
func requestQuoteLoad(successor *owner.Owner, now clock.Millis) []effect.Effect {
	effects := successor.Submit(now, "daemon-0", submitFor(9, quote, false))
	return append(effects, successor.LoadGranted(now, quote)...)
}

// TestTakeoverEvictsNothingAtFirst checks that a new owner evicts an adapter only
// after a report from after the quiet period that no longer lists the former owner's
// run.
func TestTakeoverEvictsNothingAtFirst(t *testing.T) {
	running := owner.Report{Boot: "boot-1", Resident: []ident.Adapter{review}, Runs: []owner.ReportedRun{
		{Run: submitFor(1, review, false).Stream.String(), Adapter: review},
	}}
	idle := owner.Report{Boot: "boot-1", Resident: []ident.Adapter{review}}
	successor := newSuccessor(false, 1)
	successor.TakeOver(5000, nil)
	successor.ReportedAt(1000, 1000, running)
	require.Empty(t, effectsOf[effect.Unload](requestQuoteLoad(successor, 1001)))
	successor.ReportedAt(2000, 2000, idle)
	require.Empty(t, effectsOf[effect.Unload](successor.LoadGranted(2001, quote)), "in the quiet period")
	successor.ReportedAt(6000, 6000, running)
	require.Empty(t, effectsOf[effect.Unload](successor.LoadGranted(6001, quote)), "with a reported run")
	successor.ReportedAt(7000, 7000, idle)
	require.Len(t, effectsOf[effect.Unload](successor.LoadGranted(7001, quote)), 1)
}

// TestFailedUnloadWaitsForReport checks that a failed unload is not repeated before a
// report shows that the adapter is still loaded.
func TestFailedUnloadWaitsForReport(t *testing.T) {
	idle := owner.Report{Boot: "boot-1", Resident: []ident.Adapter{review}}
	successor := newSuccessor(true, 1)
	successor.ReportedAt(1000, 1000, idle)
	require.Len(t, effectsOf[effect.Unload](requestQuoteLoad(successor, 1001)), 1)
	require.Empty(t, effectsOf[effect.Unload](successor.UnloadEnded(1002, review, true)))
	require.Empty(t, effectsOf[effect.Unload](successor.Tick(1050)))
	successor.ReportedAt(2000, 1999, idle)
	require.Len(t, effectsOf[effect.Unload](successor.LoadGranted(2001, quote)), 1)
}

// TestLateResultOfEarlierOrder repeats a Submit after a restart of the engine has
// ended its run. The result of the first order then arrives and must not affect the
// repeated attempt, which waits.
func TestLateResultOfEarlierOrder(t *testing.T) {
	successor := newSuccessor(true, 1)
	successor.ReportedAt(1000, 1000, owner.Report{Boot: "boot-1", Resident: []ident.Adapter{review}})
	first := submitFor(1, review, false)
	require.Len(t, effectsOf[effect.StartRun](successor.Submit(1001, "daemon-0", first)), 1)
	successor.ReportedAt(5000, 5000, owner.Report{Boot: "boot-2"})
	require.False(t, successor.Busy())
	successor.Submit(5001, "daemon-0", first)
	successor.RunEnded(5002, owner.RunResult{Stream: first.Stream, Result: owner.ResultLost})
	_, done := endedOutcome(successor.Tick(5001 + clock.Minute))
	require.True(t, done)
	require.False(t, successor.Busy())
}

// TestFailedLoadReleasesPins pins a former owner's run to an adapter that is being
// loaded. The load fails, because the adapter is already loaded. The pin must move to
// the slot that the next report shows, and must be released once.
func TestFailedLoadReleasesPins(t *testing.T) {
	harness := newHarness(t, 2, 4)
	own := harness.submit(1, config.Routine, true)
	require.Len(t, harness.loads, 1)
	adapter := harness.loads[0]
	former := []owner.ReportedRun{{Run: "former-1-1", Adapter: adapter}}
	reports := []owner.Report{
		{Boot: "boot", Runs: former},
		{Boot: "boot", Runs: former, Resident: []ident.Adapter{adapter}},
		{Boot: "boot", Resident: []ident.Adapter{adapter}},
	}
	for i, report := range reports {
		harness.now += clock.Second
		harness.apply(harness.owner.Reported(harness.now, report))
		if i == 0 {
			harness.finishLoadsOnce(true)
		}
	}
	require.Contains(t, harness.running, own)
	harness.endRun(own, owner.ResultComplete)
	require.Equal(t, []ident.Adapter{adapter}, harness.owner.State(harness.now).Resident)
}
