package link_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/task"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/inner/link"
	"teaselmoor/internal/integration/faultproxy"
)

// recorder is a handler that counts what it gets.
type recorder struct {
	mutex  sync.Mutex // guards all below
	chunks map[ident.StreamID]int
	lost   map[message.Lane]int
	resets int
}

func newRecorder() *recorder {
	return &recorder{chunks: map[ident.StreamID]int{}, lost: map[message.Lane]int{}}
}

func (recorder *recorder) note(change func()) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	change()
}

func (recorder *recorder) chunksOf(stream ident.StreamID) int {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.chunks[stream]
}

func (recorder *recorder) lostLanes() int {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return len(recorder.lost)
}

func (recorder *recorder) Message(ident.DaemonID, message.Message)          {}
func (recorder *recorder) Head(ident.DaemonID, ident.StreamID, int, string) {}
func (recorder *recorder) Credit(ident.DaemonID, ident.StreamID, int)       {}
func (recorder *recorder) Connected(ident.DaemonID, message.Lane)           {}
func (recorder *recorder) Reset(ident.DaemonID, ident.StreamID) {
	recorder.note(func() { recorder.resets++ })
}

func (recorder *recorder) Lost(_ ident.DaemonID, lane message.Lane) {
	recorder.note(func() { recorder.lost[lane]++ })
}

func (recorder *recorder) Chunk(_ ident.DaemonID, s ident.StreamID, _ uint64, _ []byte) {
	recorder.note(func() { recorder.chunks[s]++ })
}

// end is one side of a link.
type end struct {
	set    *link.Set
	got    *recorder
	tasks  *task.Group
	reaped chan struct{}
}

func newEnd(t *testing.T, name ident.DaemonID) *end {
	t.Helper()
	started := &end{got: newRecorder(), tasks: task.New(context.Background()), reaped: make(chan struct{})}
	timing := link.Timing{Ping: 50 * clock.Millisecond, Silence: 500 * clock.Millisecond, Redial: 20 * clock.Millisecond}
	started.set = link.New(started.tasks, name, started.got, timing, slog.New(slog.DiscardHandler))
	started.tasks.Go("until stopped", func(ctx context.Context) error { <-ctx.Done(); return nil })
	go func() {
		defer close(started.reaped)
		started.tasks.Reap(func(task.End) {})
	}()
	t.Cleanup(started.stop)
	return started
}

func (end *end) stop() {
	end.tasks.Stop()
	<-end.reaped
}

// connect joins two ends through a fault proxy.
func connect(t *testing.T) (dialing, dialed *end, proxy *faultproxy.Proxy) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	dialing, dialed = newEnd(t, "a"), newEnd(t, "b")
	server := httptest.NewServer(dialed.set)
	proxy, err := faultproxy.New(ctx, "127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() {
		dialing.stop()
		dialed.stop()
		cancel()
		proxy.Wait()
		server.Close()
	})
	dialing.set.Connect([]link.Peer{{Name: "b", Address: proxy.Address()}})
	for lane := range message.LaneCount {
		probe := ident.StreamID{Daemon: "probe", Sequence: uint64(lane)}
		wait(t, func() bool {
			dialing.set.SendChunk("b", lane, probe, 0, nil)
			return dialed.got.chunksOf(probe) > 0
		})
		wait(t, func() bool {
			dialed.set.SendChunk("a", lane, probe, 0, nil)
			return dialing.got.chunksOf(probe) > 0
		})
	}
	return dialing, dialed, proxy
}

func wait(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, time.Minute, 5*time.Millisecond)
}

// TestSilenceIsNoticed freezes the way between two daemons, in one direction
// and in both: each side that hears nothing reports every lane as lost.
func TestSilenceIsNoticed(t *testing.T) {
	for name, faults := range map[string]faultproxy.Faults{
		"there": {FreezeThere: true}, "back": {FreezeBack: true}, "both": {FreezeThere: true, FreezeBack: true},
	} {
		t.Run(name, func(t *testing.T) {
			dialing, dialed, proxy := connect(t)
			proxy.Set(faults)
			for _, each := range []*end{dialing, dialed} {
				wait(t, func() bool { return each.got.lostLanes() == int(message.LaneCount) })
			}
		})
	}
}

// TestPendingIsWrittenAtEnd ends one side while much is pending: the other has
// it all before the lane is lost.
func TestPendingIsWrittenAtEnd(t *testing.T) {
	dialing, dialed, _ := connect(t)
	const count = 2000
	stream := ident.StreamID{Daemon: "b", Sequence: 1}
	for i := range uint64(count) {
		require.True(t, dialing.set.SendChunk("b", message.UrgentLane, stream, i, make([]byte, 100)))
	}
	dialing.stop()
	wait(t, func() bool { return dialed.got.chunksOf(stream) == count })
}

// TestPingsStayFewWithManyPeers: the pings of a daemon do not grow with its lanes.
func TestPingsStayFewWithManyPeers(t *testing.T) {
	timing := link.DefaultTiming()
	require.Equal(t, timing, timing.Scaled(18), "seven daemons keep the spans of the settings")
	large := timing.Scaled(231)
	require.LessOrEqual(t, float64(231)/large.Ping.Seconds(), 20.0)
	require.GreaterOrEqual(t, large.Silence, 3*large.Ping)
}
