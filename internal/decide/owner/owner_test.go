package owner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/owner"
)

// bench is an owner with a store that grants every load at once and an engine
// whose runs and loads end when the test says so.
type bench struct {
	t       require.TestingT
	owner   *owner.Owner
	now     clock.Millis
	granted bool // grant loads at once
	next    uint64
	asks    []message.LoadRequest
	loads   []ident.Adapter
	unloads []ident.Adapter
	cancels []ident.StreamID
	runs    []effect.StartRun
	running map[ident.StreamID]ident.Adapter
	ended   map[ident.StreamID]outcome.Outcome
}

func newBench(t require.TestingT, slots, maxRuns int) *bench {
	engine := config.Engine{Name: "engine", Store: "weights", Slots: slots, MaxRuns: maxRuns}
	bench := &bench{
		t: t, owner: owner.New("daemon", engine, 1, owner.DefaultOptions()), now: clock.Hour, granted: true,
		running: map[ident.StreamID]ident.Adapter{}, ended: map[ident.StreamID]outcome.Outcome{},
	}
	bench.take(bench.owner.Reported(bench.now, owner.Report{Boot: "boot"}))
	return bench
}

func (bench *bench) take(effects []effect.Effect) {
	for _, next := range effects {
		switch next := next.(type) {
		case effect.Send:
			bench.sent(next.Message)
		case effect.StartRun:
			bench.runs = append(bench.runs, next)
			bench.running[next.Stream] = next.Request.Adapter
		case effect.Load:
			bench.loads = append(bench.loads, next.Adapter)
		case effect.Unload:
			for stream, adapter := range bench.running {
				require.NotEqual(bench.t, adapter, next.Adapter, "%s is in use by %s", adapter, stream)
			}
			bench.unloads = append(bench.unloads, next.Adapter)
		case effect.CancelRun:
			bench.cancels = append(bench.cancels, next.Stream)
		}
	}
}

func (bench *bench) sent(sent message.Message) {
	switch sent := sent.(type) {
	case message.Ended:
		require.NotContains(bench.t, bench.ended, sent.Stream, "an attempt ends once")
		bench.ended[sent.Stream] = sent.Outcome
	case message.LoadRequest:
		bench.asks = append(bench.asks, sent)
		if bench.granted && !sent.Withdraw {
			bench.take(bench.owner.Granted(bench.now, sent.Adapter))
		}
	}
}

func (bench *bench) submit(adapter int, class config.Class, repeatable bool) ident.StreamID {
	bench.next++
	submit := submitOf(bench.next, fmt.Sprint(adapter), 30*clock.Second)
	submit.Request.Class, submit.Request.Repeatable = class, repeatable
	bench.take(bench.owner.Submit(bench.now, "entry", submit))
	return submit.Stream
}

// mostRounds is how many loads may follow on each other while no time passes.
const mostRounds = 100

// load ends every unload and load that was ordered, and those that follow.
func (bench *bench) load(failed bool) {
	for round := 0; len(bench.loads)+len(bench.unloads) > 0; round++ {
		require.Less(bench.t, round, mostRounds, "adapters are loaded in turns for ever")
		bench.loadOnce(failed)
	}
}

// loadOnce ends the unloads and loads that are ordered now.
func (bench *bench) loadOnce(failed bool) {
	unloads, loads := bench.unloads, bench.loads
	bench.unloads, bench.loads = nil, nil
	for _, adapter := range unloads {
		bench.take(bench.owner.Unloaded(bench.now, adapter, false))
	}
	for _, adapter := range loads {
		bench.take(bench.owner.Loaded(bench.now, adapter, failed))
	}
}

func (bench *bench) end(stream ident.StreamID, result owner.Result) {
	delete(bench.running, stream)
	bench.take(bench.owner.RunEnded(bench.now, owner.RunResult{Stream: stream, Result: result}))
}

func (bench *bench) pass(span clock.Millis) {
	bench.now += span
	bench.take(bench.owner.Tick(bench.now))
}

func TestUrgentTakesSlotOnlyOnceTheCancelIsConfirmed(t *testing.T) {
	bench := newBench(t, 1, 4)
	routine := bench.submit(0, config.Routine, true)
	bench.load(false)
	require.Contains(t, bench.running, routine)
	urgent := bench.submit(1, config.Urgent, true)
	require.Equal(t, []ident.StreamID{routine}, bench.cancels)
	bench.pass(100)
	require.Empty(t, bench.unloads, "a cancel that is not confirmed frees nothing")
	bench.end(routine, owner.ResultCancelled)
	bench.pass(50)
	bench.load(false)
	require.Contains(t, bench.running, urgent)
	require.Equal(t, outcome.Lost(outcome.Cancelled), bench.ended[routine])
}

func TestUrgentCancelsNothingThatMayNotBeRepeated(t *testing.T) {
	bench := newBench(t, 1, 4)
	routine := bench.submit(0, config.Routine, false)
	bench.load(false)
	urgent := bench.submit(1, config.Urgent, true)
	bench.pass(clock.Second)
	require.Empty(t, bench.cancels)
	bench.end(routine, owner.ResultComplete)
	bench.pass(50)
	bench.load(false)
	require.Contains(t, bench.running, urgent)
}

// TestColdAdapterGetsSlotUnderSteadyLoad keeps the only slot's adapter in use.
func TestColdAdapterGetsSlotUnderSteadyLoad(t *testing.T) {
	bench := newBench(t, 1, 4)
	const runSpan = 500
	last := bench.submit(0, config.Routine, true)
	bench.load(false)
	cold := bench.submit(1, config.Routine, true)
	for range 8 { // RoomWait is 2 s
		bench.pass(runSpan)
		next := bench.submit(0, config.Routine, true)
		if _, running := bench.running[last]; running {
			bench.end(last, owner.ResultComplete)
		}
		bench.pass(1)
		bench.load(false)
		last = next
	}
	require.Contains(t, bench.running, cold)
	require.Empty(t, bench.cancels, "routine work does not cancel routine work")
}

// TestRoutineFloorInTheQueue keeps urgent requests ready all the time.
func TestRoutineFloorInTheQueue(t *testing.T) {
	bench := newBench(t, 1, 1)
	bench.submit(0, config.Urgent, true)
	bench.load(false)
	routine := bench.submit(0, config.Routine, true)
	floor := owner.DefaultOptions().RoutineFloor
	for range floor + 2 {
		bench.submit(0, config.Urgent, true)
	}
	position := 0
	for i := 0; i < floor+3; i++ {
		if bench.runs[i].Stream == routine {
			position = i
		}
		bench.end(bench.runs[i].Stream, owner.ResultComplete)
	}
	require.Equal(t, floor+1, position, "after the first run and %d urgent ones", floor)
}

func TestUrgentGoesBeforeRoutine(t *testing.T) {
	bench := newBench(t, 1, 2)
	first := bench.submit(0, config.Routine, true)
	bench.load(false)
	bench.submit(0, config.Routine, true)
	urgent := bench.submit(0, config.Urgent, true)
	require.Contains(t, bench.running, urgent, "room is reserved for urgent runs")
	next := bench.submit(0, config.Urgent, true)
	bench.end(first, owner.ResultComplete)
	require.Contains(t, bench.running, next)
}

func TestLoadIsWithdrawnWithItsLastWaiter(t *testing.T) {
	bench := newBench(t, 1, 4)
	bench.granted = false
	first, second := bench.submit(0, config.Routine, true), bench.submit(0, config.Routine, true)
	bench.take(bench.owner.Cancel(bench.now, first))
	require.False(t, bench.asks[len(bench.asks)-1].Withdraw)
	require.Equal(t, 1, bench.asks[len(bench.asks)-1].Waiters)
	bench.take(bench.owner.Cancel(bench.now, second))
	require.True(t, bench.asks[len(bench.asks)-1].Withdraw)
}

func TestRefusedLoadRefusesWhatWouldBeLate(t *testing.T) {
	bench := newBench(t, 1, 4)
	bench.granted = false
	early := bench.submit(0, config.Routine, true)
	bench.pass(10 * clock.Second)
	late := bench.submit(0, config.Routine, true)
	ask := bench.asks[0]
	bench.take(bench.owner.Judged(bench.now, message.LoadDecision{
		Store: ask.Store, Engine: ask.Engine, Adapter: ask.Adapter, Refused: true, Wait: 25 * clock.Second,
	}))
	require.Equal(t, outcome.Refused(outcome.DeadlineUnreachable, 25*clock.Second), bench.ended[early])
	require.NotContains(t, bench.ended, late)
	require.Equal(t, 1, bench.asks[len(bench.asks)-1].Waiters, "asked again for the later one")
}

func TestThreeFailedLoadsEndInARefusal(t *testing.T) {
	bench := newBench(t, 1, 4)
	stream := bench.submit(0, config.Routine, true)
	for range 3 {
		require.NotContains(t, bench.ended, stream)
		bench.load(true)
		bench.pass(5 * clock.Second / 4)
		bench.pass(50)
	}
	require.Equal(t, outcome.LoadFailed, bench.ended[stream].Reason)
	require.Equal(t, outcome.NotRun, bench.ended[stream].Kind)
}

// TestEveryAttemptEndsOnce draws requests, ends of runs, loads and cancels; the
// bench refuses an unload in use, the owner asserts its own invariants.
func TestEveryAttemptEndsOnce(t *testing.T) {
	nodetest.CheckHistories(t, 200, func(t *rapid.T) {
		bench := newBench(t, rapid.IntRange(1, 3).Draw(t, "slots"), rapid.IntRange(1, 4).Draw(t, "runs"))
		var streams []ident.StreamID
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				class := config.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				streams = append(streams, bench.submit(rapid.IntRange(0, 5).Draw(t, "adapter"), class, rapid.Bool().Draw(t, "repeatable")))
			},
			"load": func(t *rapid.T) { bench.load(rapid.IntRange(0, 4).Draw(t, "fails") == 0) },
			"end": func(t *rapid.T) {
				for _, started := range bench.runs {
					if _, running := bench.running[started.Stream]; running && rapid.Bool().Draw(t, "ends") {
						bench.end(started.Stream, owner.ResultComplete)
					}
				}
			},
			"cancel": func(t *rapid.T) {
				if len(streams) > 0 {
					bench.take(bench.owner.Cancel(bench.now, rapid.SampledFrom(streams).Draw(t, "stream")))
				}
			},
			"pass": func(t *rapid.T) { bench.pass(clock.Millis(rapid.IntRange(1, 5000).Draw(t, "span"))) },
		})
		for range 40 {
			bench.load(false)
			for _, started := range bench.runs {
				if _, running := bench.running[started.Stream]; running {
					bench.end(started.Stream, owner.ResultComplete)
				}
			}
			bench.pass(clock.Second)
		}
		for _, stream := range streams {
			require.Contains(t, bench.ended, stream)
		}
		require.False(t, bench.owner.Busy())
	})
}

// TestWaitingAdaptersDoNotLoadInTurns lets two routine adapters wait for one slot
// while the batch is full: the one that is loaded keeps the slot until it has run.
func TestWaitingAdaptersDoNotLoadInTurns(t *testing.T) {
	bench := newBench(t, 2, 1)
	long := bench.submit(0, config.Routine, false)
	bench.load(false)
	require.Contains(t, bench.running, long)
	first := bench.submit(1, config.Routine, false)
	bench.load(false)
	second := bench.submit(2, config.Routine, false)
	loads := 0
	for range 20 {
		bench.pass(500)
		loads += len(bench.loads) + len(bench.unloads)
		bench.loadOnce(false)
	}
	require.Zero(t, loads, "adapters were swapped that nobody could use")
	bench.end(long, owner.ResultComplete)
	require.Contains(t, bench.running, first)
	bench.end(first, owner.ResultComplete)
	bench.pass(5 * clock.Second)
	bench.load(false)
	require.Contains(t, bench.running, second)
}
