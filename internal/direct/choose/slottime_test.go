package choose_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

// TestFullEngineWithFewSlots: the only holder of a popular adapter has all of its slots
// taken by streams of two seconds, and requests waiting. With 12 slots a request waits
// longer there than a load takes elsewhere; with 64 it does not.
func TestFullEngineWithFewSlots(t *testing.T) {
	for slots, stays := range map[int]bool{12: false, 64: true} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			servers, work := fleet.New(fleet.DefaultOptions()), inflight.New()
			for i := range 4 {
				servers.Put(platformapi.Server{ID: fmt.Sprint("s", i), Service: service, Slots: slots, Models: []platformapi.Holding{{Model: "m"}}}, int64(i+1))
			}
			setTable(servers, "s0", 1, fleet.Slot{Adapter: adapter, Version: 1})
			for range slots + 3 {
				work.Begin(inflight.Use{Server: "s0", Adapter: adapter}, 0)
			}
			asked := query("r")
			asked.Frequent = true
			observed := choose.DefaultWeights().WithObserved(19.1, 288, 29)
			observed.Slot = 2000
			choice, ok := observed.Choose(asked, hash, servers, work)
			require.True(t, ok)
			require.Equal(t, stays, choice.Member.ID == "s0")
		})
	}
}

func TestSlotTimeConverges(t *testing.T) {
	slotTime := choose.SlotTime{}
	require.Zero(t, slotTime.Millis())
	slotTime.Observe(1500)
	require.InDelta(t, 1500, slotTime.Millis(), 1)
	for range 400 {
		slotTime.Observe(3000)
	}
	require.InDelta(t, 3000, slotTime.Millis(), 30)
}

// TestRunsCountByShareOfSlots: one of two holders runs ten streams, the other one runs two
// requests and reads a prompt. With ten of 12 slots taken, prompts follow each other without
// a break and streams pause; with ten of 64 they do not.
func TestRunsCountByShareOfSlots(t *testing.T) {
	for slots, want := range map[int]string{12: "s1", 64: "s0"} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			servers, work := fleet.New(fleet.DefaultOptions()), inflight.New()
			for i := range 2 {
				id := fmt.Sprint("s", i)
				servers.Put(platformapi.Server{ID: id, Service: service, Slots: slots, Models: []platformapi.Holding{{Model: "m"}}}, int64(i+1))
				setTable(servers, id, 1, fleet.Slot{Adapter: adapter, Version: 1})
			}
			for range 10 {
				work.Begin(inflight.Use{Server: "s0", Adapter: adapter}, 0)
			}
			work.Begin(inflight.Use{Server: "s1", Adapter: adapter}, 0)
			work.Begin(inflight.Use{Server: "s1", Adapter: adapter}, 1200)
			require.Equal(t, want, pick(t, servers, work, query("r")).Member.ID)
		})
	}
}
