package ownership_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/ownership"
)

var options = ownership.DefaultOptions()

// TestClaimWaits checks how long the first candidate waits before it claims an engine. If
// it claimed too early, a former owner could still send orders.
func TestClaimWaits(t *testing.T) {
	first := ownership.Facts{First: true, ListFresh: true}
	checked := ownership.Facts{First: true, ListFresh: true, ChecksFencing: true}
	ownedByOther := checked
	ownedByOther.OwnedByLiveDaemon = true
	stale := first
	stale.ListFresh = false
	handed := first
	handed.HandedOver = true
	for _, example := range []struct {
		name  string
		facts ownership.Facts
		waits clock.Millis // until the claim
		never bool         // no claim within a minute
	}{
		{name: "fencing ignored: waits for the hold-down", facts: first, waits: options.HoldDown()},
		{name: "fencing ignored: handed over", facts: handed},
		{name: "fencing ignored: stale list", facts: stale, never: true},
		{name: "fencing checked", facts: checked},
		{name: "fencing checked: the owner is not silent", facts: ownedByOther, waits: options.HoldDown()},
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

// TestInterruptRestartsWait checks that the whole hold-down passes after an interruption,
// in which another daemon may have owned the engine.
func TestInterruptRestartsWait(t *testing.T) {
	tenure := ownership.New(options, 0)
	facts := ownership.Facts{First: true, ListFresh: true}
	tenure.Revise(0, facts)
	tenure.Interrupt(options.HoldDown() - 1)
	require.Equal(t, ownership.NoAction, tenure.Revise(options.HoldDown(), facts))
	require.Equal(t, ownership.Claim, tenure.Revise(2*options.HoldDown()-1, facts))
}

// TestOwnerYieldsOnRequestOrStaleList checks that an owner that is no longer the first
// candidate yields on a request, and otherwise once the list that named it is too old.
func TestOwnerYieldsOnRequestOrStaleList(t *testing.T) {
	for _, requested := range []bool{true, false} {
		tenure := ownership.New(options, 0)
		tenure.Revise(0, ownership.Facts{First: true, ListFresh: true, HandedOver: true, ListReadAt: 1})
		require.Equal(t, ownership.Owning, tenure.State())
		notFirst := ownership.Facts{ListFresh: true, HandoverRequested: requested}
		require.Equal(t, requested, tenure.Revise(2, notFirst) == ownership.Yield)
		tenure.Revise(1+options.MaxListAge, notFirst)
		require.Equal(t, ownership.Yielding, tenure.State())
	}
}

// TestOutbidDaemonWaits checks that a daemon with an outbid claim does not claim the
// engine again at once. Otherwise two daemons with different lists could outbid each
// other continuously.
func TestOutbidDaemonWaits(t *testing.T) {
	tenure := ownership.New(options, 0)
	facts := ownership.Facts{First: true, ListFresh: true, ChecksFencing: true}
	require.Equal(t, ownership.Claim, tenure.Revise(0, facts))
	tenure.Withdraw(0, true)
	require.Equal(t, ownership.NoAction, tenure.Revise(options.HoldDown()-1, facts))
	require.Equal(t, ownership.Claim, tenure.Revise(options.HoldDown(), facts))
}

// TestFencingNumbersIncrease checks that a fencing number is above the highest known one
// even if the wall clock is behind, differs between daemons, and fits in a JSON number.
func TestFencingNumbersIncrease(t *testing.T) {
	const now = clock.Millis(1_796_000_000_000)
	first := ownership.NextFence(now, 1, 0)
	require.Greater(t, ownership.NextFence(now, 0, first), first)
	require.Greater(t, ownership.NextFence(now-clock.Hour, 0, first), first, "with a wall clock that is one hour behind")
	require.NotEqual(t, first, ownership.NextFence(now, 2, 0), "two daemons in one millisecond")
	require.Less(t, ownership.NextFence(now, math.MaxUint64, first), ident.Fence(1)<<53)
	require.Greater(t, ownership.NextFence(now+clock.Second, 0, 0), ownership.NextFence(now, math.MaxUint64, 0), "after a restart")
}
