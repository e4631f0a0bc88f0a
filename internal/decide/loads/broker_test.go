package loads_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/loads"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/nodetest"
)

const span = 500 * clock.Millisecond

func askOf(adapter int, class config.Class, budget clock.Millis, waiters int) message.LoadRequest {
	return message.LoadRequest{
		Store: "weights", Engine: "engine", Adapter: ident.Adapter{Name: fmt.Sprint(adapter), Version: "1"},
		Class: class, Budget: budget, Waiters: waiters,
	}
}

// store takes exactly the span for each load and keeps account of replies.
type store struct {
	t       require.TestingT
	broker  *loads.Broker
	now     clock.Millis
	due     map[string]clock.Millis // deadlines of loads that wait
	loading string
	ends    clock.Millis
	order   []string
	refused map[string]bool
}

func newStore(t require.TestingT, options loads.Options) *store {
	return &store{t: t, broker: loads.New(options), now: clock.Hour, due: map[string]clock.Millis{}, refused: map[string]bool{}}
}

func (store *store) ask(ask message.LoadRequest) {
	store.due[ask.Adapter.Name] = store.now + ask.Budget
	delete(store.refused, ask.Adapter.Name)
	store.take(store.broker.Ask(store.now, "daemon", ask))
}

func (store *store) take(replies []loads.Reply) {
	for _, reply := range replies {
		switch reply := reply.Message.(type) {
		case message.LoadDecision:
			if reply.Refused {
				store.refused[reply.Adapter.Name] = true
				delete(store.due, reply.Adapter.Name)
			}
		case message.LoadGrant:
			name := reply.Adapter.Name
			require.Empty(store.t, store.loading, "one load at a time")
			require.Contains(store.t, store.due, name, "only what waits is granted")
			require.LessOrEqual(store.t, store.now+span, store.due[name], "%s is granted in time or refused", name)
			store.loading, store.ends = name, store.now+span
			store.order = append(store.order, name)
			delete(store.due, name)
		}
	}
}

// pass lets time go by.
func (store *store) pass(until clock.Millis) {
	for store.loading != "" && store.ends <= until {
		store.now = store.ends
		done := message.LoadDone{Store: "weights", Engine: "engine", Adapter: ident.Adapter{Name: store.loading, Version: "1"}}
		store.loading = ""
		store.take(store.broker.Done(store.now, done))
	}
	store.now = until
	store.take(store.broker.Tick(store.now))
}

// TestEveryLoadIsGrantedInTimeOrRefused draws arrivals far above the rate of the
// store: no load may be late without a word.
func TestEveryLoadIsGrantedInTimeOrRefused(t *testing.T) {
	nodetest.CheckHistories(t, 200, func(t *rapid.T) {
		options := loads.DefaultOptions()
		options.Floor = rapid.IntRange(0, 5).Draw(t, "floor")
		store := newStore(t, options)
		for i := range rapid.IntRange(1, 60).Draw(t, "asks") {
			class := config.Class(rapid.IntRange(0, 1).Draw(t, "class"))
			budget := clock.Millis(rapid.IntRange(0, 8000).Draw(t, "budget"))
			store.ask(askOf(i, class, budget, rapid.IntRange(1, 5).Draw(t, "waiters")))
			store.pass(store.now + clock.Millis(rapid.IntRange(0, 600).Draw(t, "pause")))
		}
		store.pass(store.now + clock.Minute)
		require.Empty(t, store.due, "nothing waits for ever")
	})
}

func TestUrgentGoesFirst(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	store.ask(askOf(0, config.Routine, clock.Minute, 1))
	store.ask(askOf(1, config.Routine, clock.Minute, 9))
	store.ask(askOf(2, config.Urgent, clock.Minute, 1))
	store.pass(store.now + 5*clock.Second)
	require.Equal(t, []string{"0", "2", "1"}, store.order)
}

// TestRoutineFloor keeps urgent loads waiting all the time: a routine one goes
// after seven of them.
func TestRoutineFloor(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	for i := range 20 {
		store.ask(askOf(i, config.Urgent, clock.Minute, 1))
	}
	store.ask(askOf(100, config.Routine, clock.Minute, 1))
	store.pass(store.now + 20*clock.Second)
	require.Equal(t, "100", store.order[7])
}

// TestFloorYieldsToUrgentDeadlines leaves urgent loads no time to spare: none is
// late, and the routine load is told that it has to wait too long.
func TestFloorYieldsToUrgentDeadlines(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	for i := range 20 {
		store.ask(askOf(i, config.Urgent, 20*span+loads.DefaultOptions().Margin, 1))
	}
	store.ask(askOf(100, config.Routine, 5*clock.Second, 1))
	store.pass(store.now + 20*clock.Second)
	require.Len(t, store.order, 20)
	require.Equal(t, map[string]bool{"100": true}, store.refused)
}

// TestFewestWaitersAreRefused keeps the load that serves most.
func TestFewestWaitersAreRefused(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	store.ask(askOf(0, config.Routine, clock.Minute, 1))
	store.ask(askOf(1, config.Routine, 1200, 1))
	store.ask(askOf(2, config.Routine, 1200, 5))
	require.Equal(t, map[string]bool{"1": true}, store.refused)
}

func TestLeaseEnds(t *testing.T) {
	options := loads.DefaultOptions()
	broker := loads.New(options)
	require.Len(t, broker.Ask(0, "daemon", askOf(0, config.Routine, clock.Minute, 1)), 2)
	broker.Ask(0, "daemon", askOf(1, config.Routine, clock.Minute, 1))
	require.Empty(t, broker.Tick(options.Lease-1))
	granted := broker.Tick(options.Lease)
	require.Len(t, granted, 1)
	require.Equal(t, "1", granted[0].Message.(message.LoadGrant).Adapter.Name)
}

func TestWithdrawnLoadIsNotGranted(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	store.ask(askOf(0, config.Routine, clock.Minute, 1))
	store.ask(askOf(1, config.Routine, clock.Minute, 1))
	withdrawn := askOf(1, config.Routine, 0, 0)
	withdrawn.Withdraw = true
	store.take(store.broker.Ask(store.now, "daemon", withdrawn))
	store.pass(store.now + clock.Minute)
	require.Equal(t, []string{"0"}, store.order)
}
