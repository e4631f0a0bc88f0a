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

const loadDuration = 500 * clock.Millisecond

func requestOf(adapter int, class config.Class, budget clock.Millis, waiters int) message.LoadRequest {
	return message.LoadRequest{
		Store: "weights", Engine: "engine", Adapter: ident.Adapter{Name: fmt.Sprint(adapter), Version: "1"},
		Class: class, Budget: budget, Waiters: waiters,
	}
}

// store simulates a weight store at which each load takes exactly loadDuration. It
// records the broker's replies.
type store struct {
	t         require.TestingT
	broker    *loads.Broker
	now       clock.Millis
	deadlines map[string]clock.Millis // of the waiting loads, by adapter
	loading   string
	endsAt    clock.Millis // end of the current load
	order     []string     // of the grants
	refused   map[string]bool
}

func newStore(t require.TestingT, options loads.Options) *store {
	return &store{t: t, broker: loads.New(options), now: clock.Hour, deadlines: map[string]clock.Millis{}, refused: map[string]bool{}}
}

func (store *store) request(request message.LoadRequest) {
	store.deadlines[request.Adapter.Name] = store.now + request.Budget
	delete(store.refused, request.Adapter.Name)
	store.handle(store.broker.Request(store.now, "daemon", request))
}

func (store *store) handle(replies []loads.Reply) {
	for _, reply := range replies {
		switch reply := reply.Message.(type) {
		case message.LoadDecision:
			if reply.Refused {
				store.refused[reply.Adapter.Name] = true
				delete(store.deadlines, reply.Adapter.Name)
			}
		case message.LoadGrant:
			name := reply.Adapter.Name
			require.Empty(store.t, store.loading, "one load at a time")
			require.Contains(store.t, store.deadlines, name, "only waiting loads are granted")
			require.LessOrEqual(store.t, store.now+loadDuration, store.deadlines[name], "%s is granted in time or refused", name)
			store.loading, store.endsAt = name, store.now+loadDuration
			store.order = append(store.order, name)
			delete(store.deadlines, name)
		}
	}
}

// runUntil advances the time and returns the leases of the loads that end.
func (store *store) runUntil(until clock.Millis) {
	for store.loading != "" && store.endsAt <= until {
		store.now = store.endsAt
		done := message.LoadDone{Store: "weights", Engine: "engine", Adapter: ident.Adapter{Name: store.loading, Version: "1"}}
		store.loading = ""
		store.handle(store.broker.ReturnLease(store.now, done))
	}
	store.now = until
	store.handle(store.broker.Tick(store.now))
}

// TestEveryLoadIsGrantedInTimeOrRefused draws requests far above the rate of the store
// and checks that each load is either granted in time or refused.
func TestEveryLoadIsGrantedInTimeOrRefused(t *testing.T) {
	nodetest.CheckHistories(t, 200, func(t *rapid.T) {
		options := loads.DefaultOptions()
		options.MaxUrgentInRow = rapid.IntRange(0, 5).Draw(t, "floor")
		store := newStore(t, options)
		for i := range rapid.IntRange(1, 60).Draw(t, "asks") {
			class := config.Class(rapid.IntRange(0, 1).Draw(t, "class"))
			budget := clock.Millis(rapid.IntRange(0, 8000).Draw(t, "budget"))
			store.request(requestOf(i, class, budget, rapid.IntRange(1, 5).Draw(t, "waiters")))
			store.runUntil(store.now + clock.Millis(rapid.IntRange(0, 600).Draw(t, "pause")))
		}
		store.runUntil(store.now + clock.Minute)
		require.Empty(t, store.deadlines, "no load is left waiting")
	})
}

func TestUrgentGoesFirst(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	store.request(requestOf(0, config.Routine, clock.Minute, 1))
	store.request(requestOf(1, config.Routine, clock.Minute, 9))
	store.request(requestOf(2, config.Urgent, clock.Minute, 1))
	store.runUntil(store.now + 5*clock.Second)
	require.Equal(t, []string{"0", "2", "1"}, store.order)
}

// TestRoutineFollowsUrgentInRow checks that a routine load is granted after seven urgent
// ones while more urgent loads are waiting. Otherwise steady urgent demand would starve
// routine loads.
func TestRoutineFollowsUrgentInRow(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	for i := range 20 {
		store.request(requestOf(i, config.Urgent, clock.Minute, 1))
	}
	store.request(requestOf(100, config.Routine, clock.Minute, 1))
	store.runUntil(store.now + 20*clock.Second)
	require.Equal(t, "100", store.order[7])
}

// TestUrgentDeadlinesPrecedeRoutine checks that no routine load is granted after seven
// urgent ones if that would make an urgent one late: when the urgent loads together need
// the whole time, all of them are granted and the routine load is refused.
func TestUrgentDeadlinesPrecedeRoutine(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	for i := range 20 {
		store.request(requestOf(i, config.Urgent, 20*loadDuration+loads.DefaultOptions().DeadlineMargin, 1))
	}
	store.request(requestOf(100, config.Routine, 5*clock.Second, 1))
	store.runUntil(store.now + 20*clock.Second)
	require.Len(t, store.order, 20)
	require.Equal(t, map[string]bool{"100": true}, store.refused)
}

// TestFewestWaitersAreRefused checks that the load with more waiting requests is kept
// if one of two has to be refused.
func TestFewestWaitersAreRefused(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	store.request(requestOf(0, config.Routine, clock.Minute, 1))
	store.request(requestOf(1, config.Routine, 1200, 1))
	store.request(requestOf(2, config.Routine, 1200, 5))
	require.Equal(t, map[string]bool{"1": true}, store.refused)
}

// TestLeaseExpires checks that a lease that is never returned blocks the next load only
// until the lease ends.
func TestLeaseExpires(t *testing.T) {
	options := loads.DefaultOptions()
	broker := loads.New(options)
	require.Len(t, broker.Request(0, "daemon", requestOf(0, config.Routine, clock.Minute, 1)), 2)
	broker.Request(0, "daemon", requestOf(1, config.Routine, clock.Minute, 1))
	require.Empty(t, broker.Tick(options.Lease-1))
	granted := broker.Tick(options.Lease)
	require.Len(t, granted, 1)
	require.Equal(t, "1", granted[0].Message.(message.LoadGrant).Adapter.Name)
}

func TestWithdrawnLoadIsNotGranted(t *testing.T) {
	store := newStore(t, loads.DefaultOptions())
	store.request(requestOf(0, config.Routine, clock.Minute, 1))
	store.request(requestOf(1, config.Routine, clock.Minute, 1))
	withdrawn := requestOf(1, config.Routine, 0, 0)
	withdrawn.Withdraw = true
	store.handle(store.broker.Request(store.now, "daemon", withdrawn))
	store.runUntil(store.now + clock.Minute)
	require.Equal(t, []string{"0"}, store.order)
}
