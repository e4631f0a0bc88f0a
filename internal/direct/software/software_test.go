package software_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/software"
)

var first, second = software.Origin{Version: "v1"}, software.Origin{Version: "v2"}

func TestOriginFits(t *testing.T) {
	named := platformapi.Server{ID: "a", StartedAt: 5, Software: "v1"}
	unnamed := platformapi.Server{ID: "b", StartedAt: 5}
	restarted := platformapi.Server{ID: "b", StartedAt: 6}
	other := platformapi.Server{ID: "c", StartedAt: 5}
	for _, each := range []struct {
		origin software.Origin
		server platformapi.Server
		fits   bool
	}{
		{software.OriginOf(named), platformapi.Server{ID: "z", Software: "v1"}, true},
		{software.OriginOf(named), platformapi.Server{ID: "a", StartedAt: 5, Software: "v1.1"}, false},
		{software.OriginOf(named), unnamed, false},
		{software.OriginOf(unnamed), unnamed, true},
		{software.OriginOf(unnamed), restarted, false},
		{software.OriginOf(unnamed), other, false},
		{software.Origin{Unnamed: true}, other, true},
		{software.Origin{Unnamed: true}, named, false},
		{software.Origin{}, unnamed, false},
		{software.Origin{}, named, false},
	} {
		require.Equal(t, each.fits, each.origin.Fits(each.server), "%+v at %+v", each.origin, each.server)
	}
}

func TestRecordsExpire(t *testing.T) {
	records := software.NewRecords(0)
	records.Put(10, 1, first)
	records.Publish(10, 1, "a")
	for now := clock.Millis(0); now < software.Lifetime; now += clock.Second {
		records.Prune(now)
	}
	origin, ok := records.Find(1)
	require.True(t, ok)
	require.Equal(t, first, origin)
	batches, next := records.Since(0, 10, software.Filter{})
	require.Len(t, batches, 1)

	records.Prune(software.Lifetime + 10)
	records.Prune(2*software.Lifetime + 20)
	_, ok = records.Find(1)
	require.False(t, ok)
	batches, _ = records.Since(0, 10, software.Filter{})
	require.Empty(t, batches)
	records.Put(2*software.Lifetime+20, 2, second)
	records.Publish(2*software.Lifetime+20, 2, "a")
	batches, _ = records.Since(next, 10, software.Filter{})
	require.Equal(t, []software.Batch{{Origin: second, Keys: []software.Key{2}}}, batches)
}

// TestConflictingRecordsFitNowhere guards against streams that go on by one of two origins that daemons have recorded
// for the same attempt.
func TestConflictingRecordsFitNowhere(t *testing.T) {
	records := software.NewRecords(0)
	require.True(t, records.Put(0, 1, first))
	require.False(t, records.Put(1, 1, first))
	require.True(t, records.Put(2, 1, second))
	require.False(t, records.Put(3, 1, software.Origin{}))
	origin, ok := records.Find(1)
	require.True(t, ok)
	require.Equal(t, software.Origin{}, origin)
	records.Put(4, 1, first)
	origin, _ = records.Find(1)
	require.Equal(t, software.Origin{}, origin)
}

func TestRecordsInBatches(t *testing.T) {
	records := software.NewRecords(0)
	for key := range software.Key(10) {
		origin := first
		if key%2 == 1 {
			origin = second
		}
		records.Put(0, key, origin)
		records.Publish(0, key, "a")
	}
	got := make(map[software.Key]software.Origin)
	for at := int64(0); len(got) < 10; {
		batches, next := records.Since(at, 3, software.Filter{})
		require.NotEmpty(t, batches)
		at = next
		for _, group := range batches {
			for _, key := range group.Keys {
				got[key] = group.Origin
			}
		}
	}
	require.Equal(t, first, got[8])
	require.Equal(t, second, got[9])
}

// TestRecordsAreBounded guards against records that grow with the streams that daemons announce.
func TestRecordsAreBounded(t *testing.T) {
	const most = 500_000
	records := software.NewRecords(0)
	for key := range software.Key(2 * most) {
		records.Put(1, key, first)
	}
	require.LessOrEqual(t, records.Count(), most)
}

func TestWithdraw(t *testing.T) {
	records := software.NewRecords(0)
	for key, server := range []string{"a", "b", "a"} {
		records.Put(clock.Millis(key), software.Key(key), first)
		records.Publish(clock.Millis(key), software.Key(key), server)
	}
	_, sent := records.Since(0, 10, software.Filter{})
	records.Withdraw(5, "a", 1)
	for key, want := range []software.Origin{first, first, {}} {
		origin, _ := records.Find(software.Key(key))
		require.Equal(t, want, origin, fmt.Sprint(key))
	}
	batches, _ := records.Since(sent, 10, software.Filter{})
	require.Equal(t, []software.Batch{{Keys: []software.Key{2}}}, batches)
}

func TestHistory(t *testing.T) {
	history := software.NewHistory(0)
	history.See(0, "s", "v1")
	_, ok := history.Only(software.Lifetime-1, "s")
	require.False(t, ok, "another version may have left before the start")
	require.True(t, history.Several(software.Lifetime-1))
	history.See(software.Lifetime, "s", "v1")
	version, ok := history.Only(software.Lifetime, "s")
	require.True(t, ok)
	require.Equal(t, "v1", version)
	require.False(t, history.Several(software.Lifetime))

	history.See(software.Lifetime, "s", "")
	_, ok = history.Only(software.Lifetime, "s")
	require.False(t, ok, "a server that states no version may run any")
	require.True(t, history.Several(software.Lifetime))
	history.See(2*software.Lifetime, "s", "v1")
	history.Prune(2 * software.Lifetime)
	_, ok = history.Only(2*software.Lifetime, "s")
	require.True(t, ok)
	_, ok = history.Only(2*software.Lifetime, "unknown")
	require.False(t, ok)

	_, ok = history.Only(2*software.Lifetime, "unknown")
	require.False(t, ok)
}

// TestHistoryIsCompleteOnlyAsLongAsServersAreSeen guards against streams that go on at a version which is the only one seen, though
// others may have been there unseen.
func TestHistoryIsCompleteOnlyAsLongAsServersAreSeen(t *testing.T) {
	history := software.NewHistory(0)
	history.See(1, "s", "v1")
	_, ok := history.Only(1, "s")
	require.False(t, ok)
	history.Complete(2)
	_, ok = history.Only(2, "s")
	require.True(t, ok)
	require.Zero(t, history.CompleteIn(2, "s"))

	history.Interrupt(10)
	_, ok = history.Only(10, "s")
	require.False(t, ok)
	require.Equal(t, software.Lifetime-5, history.CompleteIn(15, "s"))
	history.See(10+software.Lifetime, "s", "v1")
	_, ok = history.Only(10+software.Lifetime, "s")
	require.True(t, ok)
}

// TestHistoryDoesNotShowProcessesThatNoEntryStates guards against streams that go on at the only version that entries have stated, though a
// server had started again with another one.
func TestHistoryDoesNotShowProcessesThatNoEntryStates(t *testing.T) {
	history := software.NewHistory(0)
	history.See(1, "s", "v1")
	history.See(1, "other", "v1")
	history.Confirm(0, "confirmed before")
	for _, server := range []string{"a", "b", "confirmed before"} {
		history.AddUnconfirmed(1, server, "s")
	}
	require.Empty(t, history.Unconfirmed(1, "s"), "the history is not complete")
	history.Complete(1)
	require.ElementsMatch(t, []string{"a", "b"}, history.Unconfirmed(1, "s"))
	history.Confirm(1, "a")
	_, ok := history.Only(1, "s")
	require.False(t, ok)
	require.True(t, history.Several(1))
	require.Equal(t, software.Lifetime-4, history.CompleteIn(5, "s"))
	_, ok = history.Only(1, "other")
	require.True(t, ok)
	history.Confirm(1, "b")
	_, ok = history.Only(1, "s")
	require.True(t, ok)
	require.False(t, history.Several(1))

	history.AddUnconfirmed(1, "c", "s")
	history.Prune(software.Lifetime)
	_, ok = history.Only(software.Lifetime+1, "other")
	require.True(t, ok)
	require.Empty(t, history.Unconfirmed(software.Lifetime+1, "s"))
}

// TestFilters guards against records that are sent to daemons which have them already, and against shares that leave
// some out.
func TestFilters(t *testing.T) {
	records := software.NewRecords(0)
	for key, server := range []string{"a", "", "a", ""} {
		records.Put(0, software.Key(key), first)
		records.Publish(0, software.Key(key), server)
	}
	for _, each := range []struct {
		filter software.Filter
		want   []software.Key
	}{
		{software.Filter{}, []software.Key{0, 1, 2, 3}},
		{software.Own, []software.Key{0, 2}},
		{software.Share(1, 2), []software.Key{1, 3}},
		{software.Share(0, 2), []software.Key{0, 2}},
		{software.Share(0, 1), []software.Key{0, 1, 2, 3}},
	} {
		batches, next := records.Since(0, 10, each.filter)
		require.Equal(t, []software.Batch{{Origin: first, Keys: each.want}}, batches)
		require.EqualValues(t, 4, next)
	}
}

// TestQueriesAreLimited guards against callers that have daemons send messages without bound by naming attempts that
// never were.
func TestQueriesAreLimited(t *testing.T) {
	limiter := &software.Limiter{}
	allowed := 0
	for now := clock.Millis(0); now < 10*clock.Second; now++ {
		if limiter.Allow(now) {
			allowed++
		}
	}
	require.InDelta(t, 3000, allowed, 2)
}
