package ownership_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/ownership"
)

var options = ownership.DefaultOptions()

func TestClaimWaits(t *testing.T) {
	first := ownership.Facts{First: true, Fresh: true}
	checked := ownership.Facts{First: true, Fresh: true, ChecksFencing: true}
	occupied := checked
	occupied.Occupied = true
	stale := first
	stale.Fresh = false
	handed := first
	handed.HandedOver = true
	for _, example := range []struct {
		name  string
		facts ownership.Facts
		waits clock.Millis // until the claim
		never bool
	}{
		{name: "numbers ignored: the hold-down", facts: first, waits: options.HoldDown()},
		{name: "numbers ignored: handed over", facts: handed},
		{name: "numbers ignored: old list", facts: stale, never: true},
		{name: "numbers checked", facts: checked},
		{name: "numbers checked: the owner is heard from", facts: occupied, waits: options.HoldDown()},
	} {
		t.Run(example.name, func(t *testing.T) {
			tenure := ownership.New(options, 0)
			now := clock.Hour
			for ; now <= clock.Hour+clock.Minute; now += 50 {
				example.facts.ListReadAt = now
				if tenure.Revise(now, example.facts) == ownership.Claim {
					break
				}
			}
			require.Equal(t, example.never, tenure.State() != ownership.Owning)
			if !example.never {
				require.Equal(t, example.waits, now-clock.Hour)
			}
		})
	}
}

func TestInterruptedWaitStartsAnew(t *testing.T) {
	tenure := ownership.New(options, 0)
	facts := ownership.Facts{First: true, Fresh: true}
	tenure.Revise(0, facts)
	tenure.Interrupt(options.HoldDown() - 1)
	require.Equal(t, ownership.Stay, tenure.Revise(options.HoldDown(), facts))
	require.Equal(t, ownership.Claim, tenure.Revise(2*options.HoldDown()-1, facts))
}

func TestOwnerYieldsWhenAskedOrInTime(t *testing.T) {
	for _, asked := range []bool{true, false} {
		tenure := ownership.New(options, 0)
		tenure.Revise(0, ownership.Facts{First: true, Fresh: true, HandedOver: true, ListReadAt: 1})
		require.Equal(t, ownership.Owning, tenure.State())
		gone := ownership.Facts{Fresh: true, Asked: asked}
		require.Equal(t, asked, tenure.Revise(2, gone) == ownership.Yield)
		tenure.Revise(1+options.ViewAge, gone)
		require.Equal(t, ownership.Yielding, tenure.State())
	}
}

func TestOutbidDaemonWaits(t *testing.T) {
	tenure := ownership.New(options, 0)
	facts := ownership.Facts{First: true, Fresh: true, ChecksFencing: true}
	require.Equal(t, ownership.Claim, tenure.Revise(0, facts))
	tenure.Withdraw(0, true)
	require.Equal(t, ownership.Stay, tenure.Revise(options.HoldDown()-1, facts))
	require.Equal(t, ownership.Claim, tenure.Revise(options.HoldDown(), facts))
}

func TestNumbersRise(t *testing.T) {
	const now = clock.Millis(1_796_000_000_000)
	first := ownership.NextFence(now, "daemon-0", 0)
	require.Greater(t, ownership.NextFence(now, "daemon-0", first), first)
	require.Greater(t, ownership.NextFence(now-clock.Hour, "daemon-1", first), first, "a clock that is behind")
	require.NotEqual(t, first, ownership.NextFence(now, "daemon-1", 0), "two daemons in one millisecond")
	require.Less(t, first, ident.Fence(1)<<53)
}
