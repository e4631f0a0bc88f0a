package home_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/home"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// newVouchingHome returns the home of the only daemon, which can vouch for keys that
// are issued now.
func newVouchingHome(now clock.Millis) *home.Home {
	options := home.DefaultOptions()
	options.MaxRecords = 1 << 30
	home := home.New("daemon-0", options)
	list := members.List{Version: 1, VMs: []members.VM{{Name: "daemon-0", Role: members.EntryRole, Region: "north", State: members.Live}}}
	home.UpdateVMList(now-clock.Minute, members.NewView(list, now-clock.Minute))
	home.UpdateVMList(now, members.NewView(list, now))
	return home
}

// begin returns the first message about a new key.
func begin(number int, now clock.Millis) message.HomeBegin {
	return message.HomeBegin{
		Key: fmt.Sprintf("0190a7c4-%08d-7000-8000-000000000000", number), Caller: "clerk",
		BodyHash: fmt.Sprintf("%064d", number), IssuedAt: now,
		Stream: ident.StreamID{Daemon: "daemon-1", Incarnation: 1, Sequence: uint64(number)},
	}
}

// BenchmarkHomeRecord grants and finishes one attempt under a new key per iteration,
// and reports the memory that a record without a stored answer occupies.
func BenchmarkHomeRecord(b *testing.B) {
	now := clock.Day
	home := newVouchingHome(now)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	number := 0
	for b.Loop() {
		number++
		first := begin(number, now)
		require.Len(b, home.Begin(now, first), 1)
		home.Finish(now, message.HomeFinish{Key: first.Key, Stream: first.Stream, Outcome: outcome.Done()})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(home.Len()), "B/record")
	runtime.KeepAlive(home)
}

// TestHomeIsBounded checks that a home at its limits refuses new keys, stores no more
// answers and keeps every record.
func TestHomeIsBounded(t *testing.T) {
	options := home.DefaultOptions()
	options.MaxRecords, options.MaxStoredBytes, options.MaxAnswerBytes = 2, 10, 8
	now := clock.Day
	home := home.New("daemon-0", options)
	list := members.List{Version: 1, VMs: []members.VM{{Name: "daemon-0", Role: members.EntryRole, Region: "north", State: members.Live}}}
	home.UpdateVMList(now-clock.Minute, members.NewView(list, now-clock.Minute))
	home.UpdateVMList(now, members.NewView(list, now))
	for number, body := range []string{"12345678", "12345678"} {
		first := begin(number, now)
		require.True(t, decisionOf(t, home.Begin(now, first)).Granted)
		home.Finish(now, message.HomeFinish{
			Key: first.Key, Stream: first.Stream, Outcome: outcome.Done(), Stored: &message.StoredAnswer{Body: []byte(body)},
		})
	}
	require.Equal(t, outcome.HomeFull, decisionOf(t, home.Begin(now, begin(2, now))).Outcome.Reason)
	retry := begin(0, now)
	retry.Stream.Sequence = 99
	require.Equal(t, "12345678", string(decisionOf(t, home.Begin(now, retry)).Stored.Body))
	retry = begin(1, now)
	retry.Stream.Sequence = 100
	require.Equal(t, outcome.AnswerNotKept, decisionOf(t, home.Begin(now, retry)).Outcome.Reason)
	retry.BodyHash = "other"
	require.Equal(t, outcome.KeyConflict, decisionOf(t, home.Begin(now, retry)).Outcome.Reason)
}

// decisionOf returns the decision that is the only effect.
func decisionOf(t *testing.T, effects []effect.Effect) message.HomeDecision {
	t.Helper()
	require.Len(t, effects, 1)
	sent, isSend := effects[0].(effect.Send)
	require.True(t, isSend)
	decision, isDecision := sent.Message.(message.HomeDecision)
	require.True(t, isDecision)
	return decision
}
