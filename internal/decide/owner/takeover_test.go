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

func successor(checksFencing bool, slots int) *owner.Owner {
	engine := config.Engine{Name: "engine-0", Store: "weights", Slots: slots, MaxRuns: 4, ChecksFencing: checksFencing}
	return owner.New("daemon-1", engine, ownFence, owner.DefaultOptions())
}

func submit(sequence uint64, adapter ident.Adapter, resume bool) message.Submit {
	return message.Submit{
		Stream: ident.StreamID{Daemon: "daemon-0", Incarnation: 1, Sequence: sequence}, Engine: "engine-0",
		Request: message.Request{Adapter: adapter}, Budget: clock.Minute, Resume: resume,
		PriorFence: priorFence, PriorBoot: "boot-1",
	}
}

func of[Kind effect.Effect](effects []effect.Effect) []Kind {
	var found []Kind
	for _, next := range effects {
		if kind, matches := next.(Kind); matches {
			found = append(found, kind)
		}
	}
	return found
}

func ended(effects []effect.Effect) (outcome.Outcome, bool) {
	for _, send := range of[effect.Send](effects) {
		if last, matches := send.Message.(message.Ended); matches {
			return last.Outcome, true
		}
	}
	return outcome.Outcome{}, false
}

// TestResumeDoesNotQueue resumes a run before anything is known of the engine.
func TestResumeDoesNotQueue(t *testing.T) {
	taken := successor(true, 1)
	taken.Suspend(true)
	starts := of[effect.StartRun](taken.Submit(1000, "daemon-0", submit(1, review, true)))
	require.Len(t, starts, 1)
	require.True(t, starts[0].Resume)
}

// TestUnknownRunIsNotRunWhenProved follows what a resumed run's entry is told
// when the engine does not know the run.
func TestUnknownRunIsNotRunWhenProved(t *testing.T) {
	for _, example := range []struct {
		name   string
		checks bool
		boot   ident.BootID // in the report after the engine's answer
		prior  ident.Fence
		kind   outcome.Kind
	}{
		{"numbers checked, same boot", true, "boot-1", priorFence, outcome.NotRun},
		{"numbers checked, restarted since", true, "boot-2", priorFence, outcome.Unknown},
		{"numbers checked, own number", true, "boot-1", ownFence, outcome.Unknown},
		{"numbers ignored", false, "boot-1", priorFence, outcome.Unknown},
	} {
		t.Run(example.name, func(t *testing.T) {
			taken := successor(example.checks, 1)
			taken.ReportedAt(1000, 1000, owner.Report{Boot: "boot-1"})
			resumed := submit(1, review, true)
			resumed.PriorFence = example.prior
			taken.Submit(1001, "daemon-0", resumed)
			effects := taken.RunEnded(1002, owner.RunResult{Stream: resumed.Stream, Result: owner.ResultUnknownRun})
			told, done := ended(effects)
			if !done {
				told, done = ended(taken.ReportedAt(3000, 2999, owner.Report{Boot: example.boot}))
			}
			require.True(t, done)
			require.Equal(t, example.kind, told.Kind)
		})
	}
}

// TestResumedRunIsNeverNotRun covers ends that mean "not run" only for a first
// order.
func TestResumedRunIsNeverNotRun(t *testing.T) {
	for _, result := range []owner.Result{owner.ResultNotSent, owner.ResultRefused, owner.ResultFenced} {
		taken := successor(true, 1)
		taken.ReportedAt(1000, 1000, owner.Report{Boot: "boot-1"})
		resumed := submit(1, review, true)
		taken.Submit(1001, "daemon-0", resumed)
		told, done := outcome.Outcome{}, false
		for range 10 {
			if told, done = ended(taken.RunEnded(1002, owner.RunResult{Stream: resumed.Stream, Result: result})); done {
				break
			}
		}
		require.True(t, done, result)
		require.Equal(t, outcome.Unknown, told.Kind, result)
	}
}

// loadQuote asks for an adapter that is not resident and grants its load.
func loadQuote(taken *owner.Owner, now clock.Millis) []effect.Effect {
	effects := taken.Submit(now, "daemon-0", submit(9, quote, false))
	return append(effects, taken.Granted(now, quote)...)
}

// TestTakeoverEvictsNothingAtFirst wants a report past the quiet period, and the
// end of the former owner's run, before its slot is given up.
func TestTakeoverEvictsNothingAtFirst(t *testing.T) {
	running := owner.Report{Boot: "boot-1", Resident: []ident.Adapter{review}, Runs: []owner.ReportedRun{
		{Run: submit(1, review, false).Stream.String(), Adapter: review},
	}}
	idle := owner.Report{Boot: "boot-1", Resident: []ident.Adapter{review}}
	taken := successor(false, 1)
	taken.TakeOver(5000, nil)
	taken.ReportedAt(1000, 1000, running)
	require.Empty(t, of[effect.Unload](loadQuote(taken, 1001)))
	taken.ReportedAt(2000, 2000, idle)
	require.Empty(t, of[effect.Unload](taken.Granted(2001, quote)), "in the quiet period")
	taken.ReportedAt(6000, 6000, running)
	require.Empty(t, of[effect.Unload](taken.Granted(6001, quote)), "with a reported run")
	taken.ReportedAt(7000, 7000, idle)
	require.Len(t, of[effect.Unload](taken.Granted(7001, quote)), 1)
}

// TestFailedUnloadWaitsForReport wants no order to be repeated at once.
func TestFailedUnloadWaitsForReport(t *testing.T) {
	idle := owner.Report{Boot: "boot-1", Resident: []ident.Adapter{review}}
	taken := successor(true, 1)
	taken.ReportedAt(1000, 1000, idle)
	require.Len(t, of[effect.Unload](loadQuote(taken, 1001)), 1)
	require.Empty(t, of[effect.Unload](taken.Unloaded(1002, review, true)))
	require.Empty(t, of[effect.Unload](taken.Tick(1050)))
	taken.ReportedAt(2000, 1999, idle)
	require.Len(t, of[effect.Unload](taken.Granted(2001, quote)), 1)
}

// TestLateEndOfAnEarlierOrder repeats a Submit after a restart of the engine has
// ended its run; the end of the first order then comes in.
func TestLateEndOfAnEarlierOrder(t *testing.T) {
	taken := successor(true, 1)
	taken.ReportedAt(1000, 1000, owner.Report{Boot: "boot-1", Resident: []ident.Adapter{review}})
	first := submit(1, review, false)
	require.Len(t, of[effect.StartRun](taken.Submit(1001, "daemon-0", first)), 1)
	taken.ReportedAt(5000, 5000, owner.Report{Boot: "boot-2"})
	require.False(t, taken.Busy())
	taken.Submit(5001, "daemon-0", first)
	taken.RunEnded(5002, owner.RunResult{Stream: first.Stream, Result: owner.ResultLost})
	_, done := ended(taken.Tick(5001 + clock.Minute))
	require.True(t, done)
	require.False(t, taken.Busy())
}

// TestFailedLoadGivesPinsBack pins a former owner's run to an adapter that is
// being loaded. The load fails, because the adapter is there already: the pin
// goes to the slot that the next report shows it in, and is released once.
func TestFailedLoadGivesPinsBack(t *testing.T) {
	bench := newBench(t, 2, 4)
	own := bench.submit(1, config.Routine, true)
	require.Len(t, bench.loads, 1)
	adapter := bench.loads[0]
	former := []owner.ReportedRun{{Run: "former-1-1", Adapter: adapter}}
	reports := []owner.Report{
		{Boot: "boot", Runs: former},
		{Boot: "boot", Runs: former, Resident: []ident.Adapter{adapter}},
		{Boot: "boot", Resident: []ident.Adapter{adapter}},
	}
	for i, report := range reports {
		bench.now += clock.Second
		bench.take(bench.owner.Reported(bench.now, report))
		if i == 0 {
			bench.loadOnce(true)
		}
	}
	require.Contains(t, bench.running, own)
	bench.end(own, owner.ResultComplete)
	require.Equal(t, []ident.Adapter{adapter}, bench.owner.State(bench.now).Resident)
}
