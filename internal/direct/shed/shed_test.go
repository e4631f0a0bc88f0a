package shed_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/shed"
)

// overloaded returns a service that refuses requests, and the time.
func overloaded(ranks ...int) (*shed.Service, clock.Millis, shed.View) {
	service, now, view := shed.New(shed.DefaultOptions(), goal), start, shed.View{Requests: 60, Slots: 12}
	for i := range 400 {
		now += 50
		view.Others = 55 + i%2
		service.Observe(now, view)
		service.RecordAnswer(150)
		for _, rank := range ranks {
			service.Arrived(rank)
		}
	}
	return service, now, view
}

// shareOf returns the share of the requests of a rank that are refused.
func shareOf(service *shed.Service, now clock.Millis, view shed.View, rank int) float64 {
	return service.Decide(now, view, shed.Request{Rank: rank}).Share
}

// TestNoRefusals guards against refusals while a slot is free, by counts that are missing, stopped
// 1 s ago, or come after a pause of the process.
func TestNoRefusals(t *testing.T) {
	service, now, view := overloaded(0)
	require.InDelta(t, 0.9, shareOf(service, now, view, 0), 1e-9)
	require.Zero(t, shareOf(service, now, shed.View{Requests: 60, Others: 55, Slots: 12, FreeSlot: true}, 0))
	require.Zero(t, shareOf(service, now+1001, view, 0))
	for range 25 { // counts that do not change are out of date
		now += 50
		service.Observe(now, view)
	}
	require.Zero(t, shareOf(service, now, view, 0))
	view.Others, view.Requests, view.Slots = view.Others/2, view.Requests/2, view.Slots/2 // a server is lost: no counts have arrived
	for range 10 {
		now += 50
		service.Observe(now, view)
		require.Zero(t, shareOf(service, now, view, 0))
	}
	service, now, view = overloaded(0)
	now += 3000
	view.Others++
	service.Observe(now, view)
	require.Zero(t, shareOf(service, now, view, 0))
}

// TestRanks guards against refusals of urgent requests while less urgent ones can be refused, and
// against a rank of which all are refused.
func TestRanks(t *testing.T) {
	service, now, view := overloaded(0, 1, 2, 2)
	for shareOf(service, now, view, 0) > 0.1 {
		now += 50
		view.Requests, view.Others = 13, view.Others^1
		service.Observe(now, view)
	}
	require.InDelta(t, 0.9, shareOf(service, now, view, 2), 1e-9)
	require.GreaterOrEqual(t, shareOf(service, now, view, 1), shareOf(service, now, view, 0))
}
