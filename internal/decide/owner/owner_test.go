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

// harness runs an owner with a broker that grants each load at once, if grantLoads is
// set, and an engine whose runs and loads end when the test ends them.
type harness struct {
	t            require.TestingT
	owner        *owner.Owner
	now          clock.Millis
	grantLoads   bool
	next         uint64
	loadRequests []message.LoadRequest
	loads        []ident.Adapter
	unloads      []ident.Adapter
	cancels      []ident.StreamID
	runs         []effect.StartRun
	running      map[ident.StreamID]ident.Adapter
	ended        map[ident.StreamID]outcome.Outcome
}

func newHarness(t require.TestingT, slots, maxRuns int) *harness {
	engine := config.Engine{Name: "engine", Store: "weights", Slots: slots, MaxRuns: maxRuns}
	harness := &harness{
		t: t, owner: owner.New("daemon", engine, 1, owner.DefaultOptions()), now: clock.Hour, grantLoads: true,
		running: map[ident.StreamID]ident.Adapter{}, ended: map[ident.StreamID]outcome.Outcome{},
	}
	harness.apply(harness.owner.Reported(harness.now, owner.Report{Boot: "boot"}))
	return harness
}

func (harness *harness) apply(effects []effect.Effect) {
	for _, next := range effects {
		switch next := next.(type) {
		case effect.Send:
			harness.handleMessage(next.Message)
		case effect.StartRun:
			harness.runs = append(harness.runs, next)
			harness.running[next.Stream] = next.Request.Adapter
		case effect.Load:
			harness.loads = append(harness.loads, next.Adapter)
		case effect.Unload:
			for stream, adapter := range harness.running {
				require.NotEqual(harness.t, adapter, next.Adapter, "%s is in use by %s", adapter, stream)
			}
			harness.unloads = append(harness.unloads, next.Adapter)
		case effect.CancelRun:
			harness.cancels = append(harness.cancels, next.Stream)
		}
	}
}

func (harness *harness) handleMessage(sent message.Message) {
	switch sent := sent.(type) {
	case message.Ended:
		require.NotContains(harness.t, harness.ended, sent.Stream, "an attempt ends once")
		harness.ended[sent.Stream] = sent.Outcome
	case message.LoadRequest:
		harness.loadRequests = append(harness.loadRequests, sent)
		if harness.grantLoads && !sent.Withdraw {
			harness.apply(harness.owner.LoadGranted(harness.now, sent.Adapter))
		}
	}
}

func (harness *harness) submit(adapter int, class config.Class, repeatable bool) ident.StreamID {
	harness.next++
	submit := submitOf(harness.next, fmt.Sprint(adapter), 30*clock.Second)
	submit.Request.Class, submit.Request.Repeatable = class, repeatable
	harness.apply(harness.owner.Submit(harness.now, "entry", submit))
	return submit.Stream
}

// maxRounds is the maximum number of rounds of loads while no time passes.
const maxRounds = 100

// finishLoads ends all ordered unloads and loads, and those that follow from them.
func (harness *harness) finishLoads(failed bool) {
	for round := 0; len(harness.loads)+len(harness.unloads) > 0; round++ {
		require.Less(harness.t, round, maxRounds, "adapters keep replacing each other")
		harness.finishLoadsOnce(failed)
	}
}

// finishLoadsOnce ends the unloads and loads that are currently ordered.
func (harness *harness) finishLoadsOnce(failed bool) {
	unloads, loads := harness.unloads, harness.loads
	harness.unloads, harness.loads = nil, nil
	for _, adapter := range unloads {
		harness.apply(harness.owner.UnloadEnded(harness.now, adapter, false))
	}
	for _, adapter := range loads {
		harness.apply(harness.owner.LoadEnded(harness.now, adapter, failed))
	}
}

func (harness *harness) endRun(stream ident.StreamID, result owner.Result) {
	delete(harness.running, stream)
	harness.apply(harness.owner.RunEnded(harness.now, owner.RunResult{Stream: stream, Result: result}))
}

func (harness *harness) advance(span clock.Millis) {
	harness.now += span
	harness.apply(harness.owner.Tick(harness.now))
}

// TestUrgentGetsSlotOnlyAfterConfirmedCancel checks that an urgent request cancels a
// repeatable run to get its slot, but that the adapter stays loaded until the engine
// confirms the end of the run. Otherwise it would be unloaded while it is in use.
func TestUrgentGetsSlotOnlyAfterConfirmedCancel(t *testing.T) {
	harness := newHarness(t, 1, 4)
	routine := harness.submit(0, config.Routine, true)
	harness.finishLoads(false)
	require.Contains(t, harness.running, routine)
	urgent := harness.submit(1, config.Urgent, true)
	require.Equal(t, []ident.StreamID{routine}, harness.cancels)
	harness.advance(100)
	require.Empty(t, harness.unloads, "an unconfirmed cancel frees no slot")
	harness.endRun(routine, owner.ResultCancelled)
	harness.advance(50)
	harness.finishLoads(false)
	require.Contains(t, harness.running, urgent)
	require.Equal(t, outcome.MayHaveRun(outcome.Cancelled), harness.ended[routine])
}

// TestUrgentDoesNotCancelUnrepeatableRuns checks that a run that must not be repeated is
// not cancelled for an urgent request, because it could not be run again.
func TestUrgentDoesNotCancelUnrepeatableRuns(t *testing.T) {
	harness := newHarness(t, 1, 4)
	routine := harness.submit(0, config.Routine, false)
	harness.finishLoads(false)
	urgent := harness.submit(1, config.Urgent, true)
	harness.advance(clock.Second)
	require.Empty(t, harness.cancels)
	harness.endRun(routine, owner.ResultComplete)
	harness.advance(50)
	harness.finishLoads(false)
	require.Contains(t, harness.running, urgent)
}

// TestColdAdapterGetsSlotUnderSteadyLoad keeps the adapter of the only slot in use
// while a routine request waits for another adapter. Without yielding, that request
// would never run.
func TestColdAdapterGetsSlotUnderSteadyLoad(t *testing.T) {
	harness := newHarness(t, 1, 4)
	const runDuration = 500
	last := harness.submit(0, config.Routine, true)
	harness.finishLoads(false)
	cold := harness.submit(1, config.Routine, true)
	for range 8 { // 4 s; a slot yields after 2 s
		harness.advance(runDuration)
		next := harness.submit(0, config.Routine, true)
		if _, running := harness.running[last]; running {
			harness.endRun(last, owner.ResultComplete)
		}
		harness.advance(1)
		harness.finishLoads(false)
		last = next
	}
	require.Contains(t, harness.running, cold)
	require.Empty(t, harness.cancels, "routine requests do not cancel routine runs")
}

// TestUrgentDoesNotStarveRoutine keeps urgent requests ready all the time. A routine
// request must still be dispatched after the permitted number of urgent ones.
func TestUrgentDoesNotStarveRoutine(t *testing.T) {
	harness := newHarness(t, 1, 1)
	harness.submit(0, config.Urgent, true)
	harness.finishLoads(false)
	routine := harness.submit(0, config.Routine, true)
	limit := owner.DefaultOptions().MaxUrgentInRow
	for range limit + 2 {
		harness.submit(0, config.Urgent, true)
	}
	position := 0
	for i := 0; i < limit+3; i++ {
		if harness.runs[i].Stream == routine {
			position = i
		}
		harness.endRun(harness.runs[i].Stream, owner.ResultComplete)
	}
	require.Equal(t, limit+1, position, "after the first run and %d urgent ones", limit)
}

// TestUrgentGoesBeforeRoutine checks that routine runs leave the reserved place in the
// batch free, and that a free place goes to an urgent request although a routine one has
// waited longer.
func TestUrgentGoesBeforeRoutine(t *testing.T) {
	harness := newHarness(t, 1, 2)
	first := harness.submit(0, config.Routine, true)
	harness.finishLoads(false)
	harness.submit(0, config.Routine, true)
	urgent := harness.submit(0, config.Urgent, true)
	require.Contains(t, harness.running, urgent, "one place in the batch is reserved for urgent runs")
	next := harness.submit(0, config.Urgent, true)
	harness.endRun(first, owner.ResultComplete)
	require.Contains(t, harness.running, next)
}

// TestLoadRequestIsWithdrawnWithLastWaiter checks that a cancelled request lowers the
// number of waiters in the load request, and that the last one withdraws it. Otherwise
// the broker would grant a load that nobody needs.
func TestLoadRequestIsWithdrawnWithLastWaiter(t *testing.T) {
	harness := newHarness(t, 1, 4)
	harness.grantLoads = false
	first, second := harness.submit(0, config.Routine, true), harness.submit(0, config.Routine, true)
	harness.apply(harness.owner.Cancel(harness.now, first))
	require.False(t, harness.loadRequests[len(harness.loadRequests)-1].Withdraw)
	require.Equal(t, 1, harness.loadRequests[len(harness.loadRequests)-1].Waiters)
	harness.apply(harness.owner.Cancel(harness.now, second))
	require.True(t, harness.loadRequests[len(harness.loadRequests)-1].Withdraw)
}

// TestRefusedLoadRefusesUnreachableDeadlines checks that a refused load refuses only the
// requests whose deadlines cannot be met, and is requested again for the others.
func TestRefusedLoadRefusesUnreachableDeadlines(t *testing.T) {
	harness := newHarness(t, 1, 4)
	harness.grantLoads = false
	early := harness.submit(0, config.Routine, true)
	harness.advance(10 * clock.Second)
	late := harness.submit(0, config.Routine, true)
	request := harness.loadRequests[0]
	harness.apply(harness.owner.LoadDecided(harness.now, message.LoadDecision{
		Store: request.Store, Engine: request.Engine, Adapter: request.Adapter, Refused: true, Wait: 25 * clock.Second,
	}))
	require.Equal(t, outcome.Refused(outcome.DeadlineUnreachable, 25*clock.Second), harness.ended[early])
	require.NotContains(t, harness.ended, late)
	require.Equal(t, 1, harness.loadRequests[len(harness.loadRequests)-1].Waiters, "requested again for the later one")
}

// TestThreeFailedLoadsRefuseRequest checks that a load is tried again after the backoff,
// and that the waiting request is refused as not run after LoadTries failures. Otherwise
// it would wait until its deadline.
func TestThreeFailedLoadsRefuseRequest(t *testing.T) {
	harness := newHarness(t, 1, 4)
	stream := harness.submit(0, config.Routine, true)
	for range 3 {
		require.NotContains(t, harness.ended, stream)
		harness.finishLoads(true)
		harness.advance(5 * clock.Second / 4)
		harness.advance(50)
	}
	require.Equal(t, outcome.LoadFailed, harness.ended[stream].Reason)
	require.Equal(t, outcome.NotRun, harness.ended[stream].Kind)
}

// TestEveryAttemptEndsOnce draws requests, cancels and ends of runs and loads. The
// harness fails on an unload of an adapter in use, and the owner checks its own
// invariants.
func TestEveryAttemptEndsOnce(t *testing.T) {
	nodetest.CheckHistories(t, 200, func(t *rapid.T) {
		harness := newHarness(t, rapid.IntRange(1, 3).Draw(t, "slots"), rapid.IntRange(1, 4).Draw(t, "runs"))
		var streams []ident.StreamID
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				class := config.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				streams = append(streams, harness.submit(rapid.IntRange(0, 5).Draw(t, "adapter"), class, rapid.Bool().Draw(t, "repeatable")))
			},
			"load": func(t *rapid.T) { harness.finishLoads(rapid.IntRange(0, 4).Draw(t, "fails") == 0) },
			"end": func(t *rapid.T) {
				for _, started := range harness.runs {
					if _, running := harness.running[started.Stream]; running && rapid.Bool().Draw(t, "ends") {
						harness.endRun(started.Stream, owner.ResultComplete)
					}
				}
			},
			"cancel": func(t *rapid.T) {
				if len(streams) > 0 {
					harness.apply(harness.owner.Cancel(harness.now, rapid.SampledFrom(streams).Draw(t, "stream")))
				}
			},
			"pass": func(t *rapid.T) { harness.advance(clock.Millis(rapid.IntRange(1, 5000).Draw(t, "span"))) },
		})
		for range 40 {
			harness.finishLoads(false)
			for _, started := range harness.runs {
				if _, running := harness.running[started.Stream]; running {
					harness.endRun(started.Stream, owner.ResultComplete)
				}
			}
			harness.advance(clock.Second)
		}
		for _, stream := range streams {
			require.Contains(t, harness.ended, stream)
		}
		require.False(t, harness.owner.Busy())
	})
}

// TestWaitingAdaptersDoNotReplaceEachOther has two adapters with routine requests wait
// for one slot while the batch is full. The loaded one must keep the slot until it
// has served a run; otherwise the two replace each other and neither runs.
func TestWaitingAdaptersDoNotReplaceEachOther(t *testing.T) {
	harness := newHarness(t, 2, 1)
	long := harness.submit(0, config.Routine, false)
	harness.finishLoads(false)
	require.Contains(t, harness.running, long)
	first := harness.submit(1, config.Routine, false)
	harness.finishLoads(false)
	second := harness.submit(2, config.Routine, false)
	loads := 0
	for range 20 {
		harness.advance(500)
		loads += len(harness.loads) + len(harness.unloads)
		harness.finishLoadsOnce(false)
	}
	require.Zero(t, loads, "adapters were replaced before they served a run")
	harness.endRun(long, owner.ResultComplete)
	require.Contains(t, harness.running, first)
	harness.endRun(first, owner.ResultComplete)
	harness.advance(5 * clock.Second)
	harness.finishLoads(false)
	require.Contains(t, harness.running, second)
}
