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

// recorder is a handler that counts received chunks, lost lanes and resets.
type recorder struct {
	mutex  sync.Mutex // guards the fields below
	chunks map[ident.StreamID]int
	lost   map[message.Lane]int
	resets int
}

func newRecorder() *recorder {
	return &recorder{chunks: map[ident.StreamID]int{}, lost: map[message.Lane]int{}}
}

func (recorder *recorder) update(change func()) {
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
	recorder.update(func() { recorder.resets++ })
}

func (recorder *recorder) Lost(_ ident.DaemonID, lane message.Lane) {
	recorder.update(func() { recorder.lost[lane]++ })
}

func (recorder *recorder) Chunk(_ ident.DaemonID, stream ident.StreamID, _ uint64, _ []byte) {
	recorder.update(func() { recorder.chunks[stream]++ })
}

// endpoint is one daemon's side of a link.
type endpoint struct {
	set      *link.Set
	recorder *recorder
	tasks    *task.Group
	reaped   chan struct{} // closed when all tasks have ended
}

func newEndpoint(t *testing.T, name ident.DaemonID) *endpoint {
	t.Helper()
	endpoint := &endpoint{recorder: newRecorder(), tasks: task.New(context.Background()), reaped: make(chan struct{})}
	timing := link.Timing{PingInterval: 50 * clock.Millisecond, SilenceTimeout: 500 * clock.Millisecond, RedialInterval: 20 * clock.Millisecond}
	endpoint.set = link.New(endpoint.tasks, name, endpoint.recorder, timing, slog.New(slog.DiscardHandler))
	endpoint.tasks.Go("until stopped", func(ctx context.Context) error { <-ctx.Done(); return nil })
	go func() {
		defer close(endpoint.reaped)
		endpoint.tasks.Reap(func(task.End) {})
	}()
	t.Cleanup(endpoint.stop)
	return endpoint
}

func (endpoint *endpoint) stop() {
	endpoint.tasks.Stop()
	<-endpoint.reaped
}

// connect returns two endpoints that are connected through a fault proxy.
func connect(t *testing.T) (dialing, dialed *endpoint, proxy *faultproxy.Proxy) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	dialing, dialed = newEndpoint(t, "a"), newEndpoint(t, "b")
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
	dialing.set.SetPeers([]link.Peer{{Name: "b", Address: proxy.Address()}})
	for lane := range message.LaneCount {
		probe := ident.StreamID{Daemon: "probe", Sequence: uint64(lane)}
		waitUntil(t, func() bool {
			dialing.set.SendChunk("b", lane, probe, 0, nil)
			return dialed.recorder.chunksOf(probe) > 0
		})
		waitUntil(t, func() bool {
			dialed.set.SendChunk("a", lane, probe, 0, nil)
			return dialing.recorder.chunksOf(probe) > 0
		})
	}
	return dialing, dialed, proxy
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, time.Minute, 5*time.Millisecond)
}

// TestFrozenConnectionIsLost checks that both sides report every lane as lost if traffic
// between two daemons freezes in one direction or in both.
func TestFrozenConnectionIsLost(t *testing.T) {
	for name, faults := range map[string]faultproxy.Faults{
		"there": {FreezeToTarget: true}, "back": {FreezeFromTarget: true}, "both": {FreezeToTarget: true, FreezeFromTarget: true},
	} {
		t.Run(name, func(t *testing.T) {
			dialing, dialed, proxy := connect(t)
			proxy.Set(faults)
			for _, each := range []*endpoint{dialing, dialed} {
				waitUntil(t, func() bool { return each.recorder.lostLanes() == int(message.LaneCount) })
			}
		})
	}
}

// TestPendingFramesAreWrittenAtShutdown stops one side while many frames are pending and
// checks that the other side receives them all.
func TestPendingFramesAreWrittenAtShutdown(t *testing.T) {
	dialing, dialed, _ := connect(t)
	const count = 2000
	stream := ident.StreamID{Daemon: "b", Sequence: 1}
	for i := range uint64(count) {
		require.True(t, dialing.set.SendChunk("b", message.UrgentLane, stream, i, make([]byte, 100)))
	}
	dialing.stop()
	waitUntil(t, func() bool { return dialed.recorder.chunksOf(stream) == count })
}

// TestPingRateIsBounded checks that a daemon sends at most 20 pings per second, however many
// connections it has.
func TestPingRateIsBounded(t *testing.T) {
	timing := link.DefaultTiming()
	require.Equal(t, timing, timing.Scaled(18), "the timing of the settings must not change with seven daemons")
	large := timing.Scaled(231)
	require.LessOrEqual(t, float64(231)/large.PingInterval.Seconds(), 20.0)
	require.GreaterOrEqual(t, large.SilenceTimeout, 3*large.PingInterval)
}
