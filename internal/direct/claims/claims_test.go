package claims_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
)

const lease = 3 * clock.Second

func wallAt(now *clock.Millis) clock.Source { return func() clock.Millis { return *now } }

// seeded returns a source of random numbers, another one for each daemon and start.
func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }

// startedDaemon returns a daemon, and advances now to the end of its StartWait.
func startedDaemon(now *clock.Millis) (*claims.Registry, claims.Options) {
	options := claims.DefaultOptions(lease, true)
	daemon := claims.New(options, "a", *now, wallAt(now), seeded(1))
	*now += options.StartWait
	daemon.Tick(*now)
	return daemon, options
}

// TestClaimWaitsAfterStart checks that a daemon claims nothing within StartWait, and sends no
// order under a claim that peers may not have received.
func TestClaimWaitsAfterStart(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		now := clock.Millis(1_000_000)
		options := claims.DefaultOptions(lease, fenced)
		daemon := claims.New(options, "a", now, wallAt(&now), seeded(1))
		start := now
		for now < start+options.StartWait {
			daemon.Tick(now)
			require.Empty(t, daemon.Claim(now, []string{"s"}))
			now += 100
		}
		daemon.Tick(now)
		require.Equal(t, []string{"s"}, daemon.Claim(now, []string{"s"}))
		_, ok := daemon.MayOrder(now, "s")
		require.False(t, ok, "peers have not received the claim yet")
		now += options.Announce
		daemon.Tick(now)
		fence, ok := daemon.MayOrder(now, "s")
		require.True(t, ok)
		require.Positive(t, fence)
	}
}

// TestRenewedClaimHasHigherFence guards against an order without an answer that is carried out after later ones, as they have its number.
func TestRenewedClaimHasHigherFence(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := startedDaemon(&now)
	for end := now + options.StartWait + options.Announce; now < end; now += 100 {
		daemon.Tick(now)
		daemon.Claim(now, []string{"s"})
	}
	before, ok := daemon.MayOrder(now, "s")
	require.True(t, ok)
	daemon.Renew("s")
	after, ok := daemon.MayOrder(now, "s")
	require.True(t, ok, "renewal takes no time")
	require.Greater(t, after, before)
	require.Equal(t, after, daemon.Claims(now)[0].Fence)

	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Claims: []claims.Claim{{Server: "s", Fence: after + 1}}})
	daemon.Renew("s")
	_, ok = daemon.Holds("s")
	require.False(t, ok, "a claim of another daemon is not renewed")
}

// TestOwnerWithLowerFenceIsHeardAtEachHeartbeat guards against a takeover within the lease from an owner that became one, as the daemon with
// a higher fencing number was silent: its heartbeats counted only once it had been silent itself.
func TestOwnerWithLowerFenceIsHeardAtEachHeartbeat(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := startedDaemon(&now)
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "c", Interval: 500, Claims: []claims.Claim{{Server: "s", Fence: 9}}})
	advance := func(duration clock.Millis) {
		for end := now + duration; now < end; {
			now += 100
			daemon.Tick(now)
		}
	}
	advance(options.Suspicion) // the daemon with the higher fencing number is silent from now on
	heartbeat := claims.Heartbeat{Peer: "b", Interval: 500, Claims: []claims.Claim{{Server: "s", Fence: 7}}}
	daemon.ApplyHeartbeat(now, heartbeat)
	for range 2 {
		advance(500)
		daemon.ApplyHeartbeat(now, heartbeat)
	}
	lastHeartbeat := now
	for now < lastHeartbeat+options.Quiet {
		require.Empty(t, daemon.Claim(now, []string{"s"}), "%d ms after the owner's last heartbeat", now-lastHeartbeat)
		advance(100)
	}
	require.Equal(t, []string{"s"}, daemon.Claim(now, []string{"s"}))
}

// TestSilentOwnerIsReplacedAfterQuiet checks that the server of a silent owner is claimed when
// Quiet has passed, under a higher fencing number, and not earlier: until then orders of the
// owner may be in transit.
func TestSilentOwnerIsReplacedAfterQuiet(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := startedDaemon(&now)
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Claims: []claims.Claim{{Server: "s", Fence: 7}}})
	lastHeartbeat := now
	for now < lastHeartbeat+options.Quiet {
		daemon.Tick(now)
		require.Empty(t, daemon.Claim(now, []string{"s"}), "%d ms after the heartbeat of b", now-lastHeartbeat)
		now += 100
	}
	daemon.Tick(now)
	require.Equal(t, []string{"s"}, daemon.Claim(now, []string{"s"}))
	fence, _ := daemon.Holds("s")
	require.Greater(t, fence, int64(7))
}

// TestPausedDaemonDoesNotOrder checks that a daemon that was suspended sends no orders to a
// server that another daemon claimed during the pause.
func TestPausedDaemonDoesNotOrder(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, _ := startedDaemon(&now)
	daemon.Claim(now, []string{"s"})
	now += 5 * clock.Second
	_, ok := daemon.MayOrder(now, "s")
	require.False(t, ok, "before the first tick after the pause")
	daemon.Tick(now)
	_, ok = daemon.MayOrder(now, "s")
	require.False(t, ok, "before peers had time to report")
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Claims: []claims.Claim{{Server: "s", Fence: 1 << 60}}})
	for range 20 {
		now += 100
		daemon.Tick(now)
		daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Claims: []claims.Claim{{Server: "s", Fence: 1 << 60}}})
	}
	_, ok = daemon.MayOrder(now, "s")
	require.False(t, ok, "b has taken over")
}

// TestFencedDaemonGivesUpClaim checks that a daemon whose fencing number was refused sends no
// more orders under it, and claims the server again only under a much higher number.
func TestFencedDaemonGivesUpClaim(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon, options := startedDaemon(&now)
	for end := now + options.StartWait; now <= end; now += 100 {
		daemon.Tick(now)
		daemon.Claim(now, []string{"s"})
	}
	before, ok := daemon.Holds("s")
	require.True(t, ok)
	daemon.Fenced(now, "s")
	_, ok = daemon.MayOrder(now, "s")
	require.False(t, ok)
	for range int(options.Quiet/100) + 1 {
		now += 100
		daemon.Tick(now)
		require.Empty(t, daemon.Claim(now, []string{"s"}), "its orders are not known")
	}
	for range int(options.Quiet/100) + 31 {
		now += 100
		daemon.Tick(now)
		daemon.CountOrders(now, "s", 4)
	}
	daemon.Claim(now, []string{"s"})
	after, ok := daemon.Holds("s")
	require.True(t, ok)
	require.Greater(t, after, before+10_000)
}

// TestLeavingDaemonIsNotChosen checks that a daemon that leaves is not chosen for free servers,
// which would otherwise get no orders until it is found silent.
func TestLeavingDaemonIsNotChosen(t *testing.T) {
	now := clock.Millis(1_000_000)
	options := claims.DefaultOptions(lease, true)
	daemon := claims.New(options, "a", now, wallAt(&now), seeded(1))
	servers := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500})
	for range options.StartWait / 100 {
		now += 100
		daemon.Tick(now)
		daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500})
	}
	taken := len(daemon.Claim(now, servers))
	require.Positive(t, taken)
	require.Less(t, taken, len(servers))
	daemon.Left(now, "b")
	daemon.Claim(now, servers)
	for _, server := range servers {
		_, held := daemon.Holds(server)
		require.True(t, held, server)
	}
}

// TestPrune checks that the state of removed servers is dropped, but not while an order may
// be in transit.
func TestPrune(t *testing.T) {
	now := clock.Millis(1_000_000)
	daemon := claims.New(claims.DefaultOptions(lease, true), "a", now, wallAt(&now), seeded(1))
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, Claims: []claims.Claim{{Server: "s", Fence: 7}}})
	none := func(string) bool { return false }
	daemon.Prune(now+clock.Second, none)
	owner, _ := daemon.Owner(now, "s")
	require.Equal(t, "b", owner)
	daemon.Prune(now+2*clock.Minute, none)
	owner, _ = daemon.Owner(now, "s")
	require.Empty(t, owner)
}

// testDaemon is a daemon of a random run.
type testDaemon struct {
	*claims.Registry
	name           string
	suspendedUntil clock.Millis
	stopped        bool
}

// TestNoTwoOrderersWithinLease draws random kills, starts and pauses of daemons that are
// connected with each other. Every daemon sends orders whenever it may. Two daemons that
// have both run undisturbed for a lease must never send orders to the same server within a
// lease of each other, and no two daemons may use the same fencing number.
func TestNoTwoOrderersWithinLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(1_000_000)
		options := claims.DefaultOptions(lease, rapid.Bool().Draw(t, "fenced"))
		servers := []string{"s1", "s2", "s3"}
		daemons := make([]*testDaemon, rapid.IntRange(2, 5).Draw(t, "daemons"))
		undisturbedSince := make([]clock.Millis, len(daemons))
		for i := range daemons {
			daemons[i] = &testDaemon{Registry: claims.New(options, fmt.Sprint(i), now, wallAt(&now), seeded(uint64(i))), name: fmt.Sprint(i)}
			undisturbedSince[i] = now
		}
		type order struct {
			daemon int
			at     clock.Millis
			steady bool // the daemon had run undisturbed for a lease
		}
		last := make(map[string]order)
		daemonByFence := make(map[int64]int)
		var events []string
		note := func(format string, arguments ...any) {
			events = append(events, fmt.Sprintf("%d ", now-1_000_000)+fmt.Sprintf(format, arguments...))
		}
		for step := range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += 100
			switch rapid.IntRange(0, 60).Draw(t, "fault") {
			case 0:
				at := rapid.IntRange(0, len(daemons)-1).Draw(t, "killed")
				daemons[at].stopped = true
				note("%d is killed", at)
			case 1:
				at := rapid.IntRange(0, len(daemons)-1).Draw(t, "paused")
				note("%d pauses", at)
				daemons[at].suspendedUntil = now + clock.Millis(rapid.IntRange(5, 80).Draw(t, "for"))*100
			case 2:
				for at, daemon := range daemons {
					if daemon.stopped {
						note("%d starts", at)
						daemons[at] = &testDaemon{Registry: claims.New(options, daemon.name, now, wallAt(&now), seeded(uint64(1000+step*10+at))), name: daemon.name}
					}
				}
			}
			for at, daemon := range daemons {
				if daemon.stopped || now < daemon.suspendedUntil {
					undisturbedSince[at] = now
					continue
				}
				daemon.Tick(now)
				if step%3 == 0 {
					sendHeartbeat(now, daemon, daemons)
				}
				if taken := daemon.Claim(now, servers); len(taken) > 0 {
					note("%d claims %v", at, taken)
					sendHeartbeat(now, daemon, daemons)
				}
				for _, server := range servers {
					fence, ok := daemon.MayOrder(now, server)
					if !ok {
						continue
					}
					daemon.Ordered(now, server)
					former, used := daemonByFence[fence]
					require.True(t, !used || former == at, "fencing number used by two daemons")
					daemonByFence[fence] = at
					before, ordered := last[server]
					steady := now-undisturbedSince[at] >= lease
					if ordered && before.daemon != at && steady && before.steady {
						require.GreaterOrEqual(t, now-before.at, lease, "daemons %d and %d order %s\n%s", before.daemon, at, server,
							strings.Join(events[max(0, len(events)-20):], "\n"))
					}
					last[server] = order{daemon: at, at: now, steady: steady}
				}
			}
		}
	})
}

func sendHeartbeat(now clock.Millis, from *testDaemon, all []*testDaemon) {
	var names []string
	for _, daemon := range all {
		names = append(names, daemon.name)
	}
	for _, to := range all {
		if to != from && !to.stopped && now >= to.suspendedUntil {
			to.ApplyHeartbeat(now, claims.Heartbeat{Peer: from.name, Interval: 500, Claims: from.Claims(now), OrderSenders: names})
		}
	}
}

// TestSomeStartTogether checks that daemons that restart together claim nothing until the
// daemons that kept running, and own servers, have had time to send their claims. The
// restarted ones may receive each other's heartbeats earlier than those claims.
func TestSomeStartTogether(t *testing.T) {
	now := clock.Millis(1_000_000)
	options := claims.DefaultOptions(lease, true)
	daemon := claims.New(options, "a", now, wallAt(&now), seeded(1))
	servers := []string{"s1", "s2", "s3", "s4", "s5", "s6"}
	for now < 1_000_000+options.StartWait-100 {
		now += 100
		daemon.Tick(now)
		daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "b", Interval: 500, OrderSenders: []string{"a", "b"}})
		require.Empty(t, daemon.Claim(now, servers))
	}
	var peerClaims []claims.Claim
	for _, server := range servers {
		peerClaims = append(peerClaims, claims.Claim{Server: server, Fence: 7})
	}
	daemon.ApplyHeartbeat(now, claims.Heartbeat{Peer: "c", Interval: 500, Claims: peerClaims})
	now += 100
	daemon.Tick(now)
	require.Empty(t, daemon.Claim(now, servers))
}
