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

// aged returns a home of its own that vouches for fresh keys at the time.
func aged(now clock.Millis) *home.Home {
	options := home.DefaultOptions()
	options.MaxRecords = 1 << 30
	keeper := home.New("daemon-0", options)
	list := members.List{Version: 1, VMs: []members.VM{{Name: "daemon-0", Role: members.EntryRole, Region: "north", State: members.Live}}}
	keeper.ListRead(now-clock.Minute, members.NewView(list, now-clock.Minute))
	keeper.ListRead(now, members.NewView(list, now))
	return keeper
}

func begin(number int, now clock.Millis) message.HomeBegin {
	return message.HomeBegin{
		Key: fmt.Sprintf("0190a7c4-%08d-7000-8000-000000000000", number), Caller: "clerk",
		BodyHash: fmt.Sprintf("%064d", number), IssuedAt: now,
		Stream: ident.StreamID{Daemon: "daemon-1", Incarnation: 1, Sequence: uint64(number)},
	}
}

// BenchmarkHomeRecord grants and finishes one attempt under a new key, and
// reports the memory that its record holds on to, without a stored answer.
func BenchmarkHomeRecord(b *testing.B) {
	now := clock.Day
	keeper := aged(now)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	number := 0
	for b.Loop() {
		number++
		asked := begin(number, now)
		require.Len(b, keeper.Begin(now, asked), 1)
		keeper.Finish(now, message.HomeFinish{Key: asked.Key, Stream: asked.Stream, Outcome: outcome.Done()})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(keeper.Len()), "B/record")
	runtime.KeepAlive(keeper)
}

// TestHomeIsBounded fills a home: it refuses new keys and forgets none.
func TestHomeIsBounded(t *testing.T) {
	options := home.DefaultOptions()
	options.MaxRecords, options.MaxStored, options.MaxAnswer = 2, 10, 8
	now := clock.Day
	keeper := home.New("daemon-0", options)
	list := members.List{Version: 1, VMs: []members.VM{{Name: "daemon-0", Role: members.EntryRole, Region: "north", State: members.Live}}}
	keeper.ListRead(now-clock.Minute, members.NewView(list, now-clock.Minute))
	keeper.ListRead(now, members.NewView(list, now))
	for number, body := range []string{"12345678", "12345678"} {
		asked := begin(number, now)
		require.True(t, verdictOf(t, keeper.Begin(now, asked)).Granted)
		keeper.Finish(now, message.HomeFinish{
			Key: asked.Key, Stream: asked.Stream, Outcome: outcome.Done(), Stored: &message.StoredAnswer{Body: []byte(body)},
		})
	}
	require.Equal(t, outcome.HomeFull, verdictOf(t, keeper.Begin(now, begin(2, now))).Outcome.Reason)
	again := begin(0, now)
	again.Stream.Sequence = 99
	require.Equal(t, "12345678", string(verdictOf(t, keeper.Begin(now, again)).Stored.Body))
	again = begin(1, now)
	again.Stream.Sequence = 100
	require.Equal(t, outcome.AnswerNotKept, verdictOf(t, keeper.Begin(now, again)).Outcome.Reason)
	again.BodyHash = "other"
	require.Equal(t, outcome.KeyConflict, verdictOf(t, keeper.Begin(now, again)).Outcome.Reason)
}

func verdictOf(t *testing.T, effects []effect.Effect) message.HomeDecision {
	t.Helper()
	require.Len(t, effects, 1)
	sent, isSend := effects[0].(effect.Send)
	require.True(t, isSend)
	verdict, isVerdict := sent.Message.(message.HomeDecision)
	require.True(t, isVerdict)
	return verdict
}
