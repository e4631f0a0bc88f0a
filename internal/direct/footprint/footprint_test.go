package footprint_test

import (
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/footprint"
)

// testAccount is an account with a clock that a test sets, in which a connection costs 10 bytes.
type testAccount struct {
	*footprint.Account
	t       *testing.T
	now     atomic.Int64
	servers int
}

func newTestAccount(t *testing.T, limits footprint.Limits) *testAccount {
	account := &testAccount{t: t}
	options := footprint.Options{Connection: 10, SmallBody: 50, Quantum: 20, StallTime: 100, WriteStallTime: 200, MakeRoomTimeout: 100}
	account.Account = footprint.New(options, limits, func() clock.Millis { return clock.Millis(account.now.Load()) }, func() int { return account.servers })
	return account
}

// testHold is a hold that is closed as soon as it gives way.
type testHold struct {
	*footprint.Hold
	gaveWay footprint.Phase
	given   bool
}

// open opens a hold in a phase with a number of bytes of a body.
func (account *testAccount) open(phase footprint.Phase, bytes int64) *testHold {
	account.t.Helper()
	opened := &testHold{}
	hold, ok := account.Open(func(phase footprint.Phase) {
		opened.gaveWay, opened.given = phase, true
		go opened.Close() // what gives way is released by another goroutine
	})
	require.True(account.t, ok)
	opened.Hold = hold
	_, ok = hold.Enter(phase)
	require.True(account.t, ok)
	require.True(account.t, bytes == 0 || hold.GrowBody(bytes, 0, 0))
	return opened
}

func bounded() footprint.Limits {
	return footprint.Limits{Bytes: 400, LargeBytes: 300, Descriptors: math.MaxInt}
}

func TestInvalidOptionsAreNamed(t *testing.T) {
	require.NoError(t, footprint.DefaultOptions().Check())
	for name, change := range map[string]func(*footprint.Options){
		"Connection":      func(options *footprint.Options) { options.Connection = 0 },
		"StallTime":       func(options *footprint.Options) { options.StallTime = -1 },
		"MakeRoomTimeout": func(options *footprint.Options) { options.MakeRoomTimeout = 0 },
	} {
		options := footprint.DefaultOptions()
		change(&options)
		require.ErrorContains(t, options.Check(), name)
	}
}

func TestLimitsLeaveRoomForTheDaemon(t *testing.T) {
	limits := footprint.LimitsOf(160, 4100)
	require.EqualValues(t, 48<<20, limits.Bytes)
	require.EqualValues(t, 36<<20, limits.LargeBytes)
	require.Equal(t, 3356, limits.Descriptors)
	unknown := footprint.LimitsOf(0, 0)
	require.EqualValues(t, math.MaxInt64, unknown.Bytes)
	require.Equal(t, math.MaxInt, unknown.Descriptors)
	require.Positive(t, footprint.LimitsOf(20, 100).Bytes)
	require.Positive(t, footprint.LimitsOf(20, 100).Descriptors)
}

// TestStalledBodyGivesWayToALaterOne guards against crowds that stop short of the end of their bodies, and keep out all that come later.
func TestStalledBodyGivesWayToALaterOne(t *testing.T) {
	account := newTestAccount(t, bounded())
	small := account.open(footprint.Receiving, 50)
	large := account.open(footprint.Receiving, 200)
	account.now.Store(100)
	later := account.open(footprint.Receiving, 50)
	require.True(t, later.GrowBody(100, 50, 0))
	require.True(t, large.given)
	require.Equal(t, footprint.Receiving, large.gaveWay)
	require.False(t, small.given, "there is room without it")
	require.True(t, large.Evicted())
	_, ok := large.Enter(footprint.Working)
	require.False(t, ok)
	require.EqualValues(t, 1, account.State().Counts.Bodies)
	require.EqualValues(t, 220, account.State().Bytes)
}

// TestProgressKeepsABody guards against bodies that are ended although they come in, as others ask for room.
func TestProgressKeepsABody(t *testing.T) {
	account := newTestAccount(t, bounded())
	slow := account.open(footprint.Receiving, 200)
	account.now.Store(90)
	slow.Progress(20)
	account.now.Store(180)
	later := account.open(footprint.Receiving, 50)
	require.False(t, later.GrowBody(100, 50, 0))
	require.False(t, slow.given)
	require.EqualValues(t, 1, account.State().Counts.RefusedBytes)
}

func TestRequestsInWorkDoNotGiveWay(t *testing.T) {
	account := newTestAccount(t, bounded())
	working := account.open(footprint.Working, 280)
	account.now.Store(1000)
	later := account.open(footprint.Receiving, 50)
	require.False(t, later.GrowBody(100, 50, 0))
	require.False(t, working.given)
}

// TestSmallBodiesFindRoomBesideLargeOnes guards against ordinary requests that are refused as large bodies take all.
func TestSmallBodiesFindRoomBesideLargeOnes(t *testing.T) {
	account := newTestAccount(t, bounded())
	account.open(footprint.Working, 50)
	large := account.open(footprint.Receiving, 50)
	require.True(t, large.GrowBody(150, 50, 0))
	require.False(t, large.GrowBody(100, 200, 0))
	require.True(t, account.open(footprint.Receiving, 0).GrowBody(50, 0, 0))
}

// TestOneLargestBodyIsTakenInCalm guards against a limit that no body of the largest legal size fits.
func TestOneLargestBodyIsTakenInCalm(t *testing.T) {
	account := newTestAccount(t, bounded())
	largest := account.open(footprint.Receiving, 0)
	require.False(t, largest.GrowBody(380, 0, 0))
	require.True(t, largest.GrowBody(380, 0, 390))
}

func TestIdleConnectionGivesWayForADescriptor(t *testing.T) {
	limits := bounded()
	limits.Descriptors = 3
	account := newTestAccount(t, limits)
	body := account.open(footprint.Receiving, 40)
	account.now.Store(1)
	oldest := account.open(footprint.Waiting, 0)
	account.now.Store(2)
	account.open(footprint.Waiting, 0)
	_, ok := account.Open(func(footprint.Phase) {})
	require.False(t, ok, "none has been idle for long")
	account.now.Store(200)
	account.open(footprint.Waiting, 0)
	require.True(t, oldest.given)
	require.False(t, body.given)
}

// TestRequestsKeepDescriptorsForServers guards against requests that are taken in, and find no descriptor for the connection to a server.
func TestRequestsKeepDescriptorsForServers(t *testing.T) {
	limits := bounded()
	limits.Descriptors = 5
	account := newTestAccount(t, limits)
	first, second, third := account.open(footprint.Working, 0), account.open(footprint.Working, 0), account.open(footprint.Working, 0)
	require.True(t, first.BeginWork())
	require.True(t, second.BeginWork())
	require.False(t, third.BeginWork())
	first.EndWork()
	require.True(t, third.BeginWork())
	third.Close()
	account.servers = 4 // idle connections count too
	require.False(t, first.BeginWork())
}

// TestClosedHoldTakesNothing guards against bytes that stay in the account, as a request goes on after its connection was closed.
func TestClosedHoldTakesNothing(t *testing.T) {
	account := newTestAccount(t, bounded())
	hold := account.open(footprint.Receiving, 50)
	require.True(t, hold.GrowHead(20))
	hold.Close()
	hold.Close()
	hold.Release(50)
	hold.EndHead()
	require.False(t, hold.GrowBody(10, 0, 0))
	require.False(t, hold.GrowAnswer(10))
	require.Zero(t, account.State().Bytes)
	require.Zero(t, account.State().Connections)
}

// TestWaitForRoomEnds guards against bodies that wait for ever for what others do not release.
func TestWaitForRoomEnds(t *testing.T) {
	options := footprint.DefaultOptions()
	options.MakeRoomTimeout = 20
	account := footprint.New(options, footprint.Limits{Bytes: 2 * options.Connection, LargeBytes: 0, Descriptors: math.MaxInt}, clock.Monotonic(), func() int { return 0 })
	for range 2 {
		_, ok := account.Open(func(footprint.Phase) {})
		require.True(t, ok)
	}
	time.Sleep(options.StallTime.Duration() + 10*time.Millisecond)
	_, ok := account.Open(func(footprint.Phase) {})
	require.False(t, ok)
	require.EqualValues(t, 1, account.State().Counts.Connections)
}
