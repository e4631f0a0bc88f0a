package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/topology"
)

// Sizes of the large simulated site.
const (
	daemonCount = 200
	dataCentres = 6
)

// startedSite returns a site of daemonCount daemons that have all just started.
func startedSite(seeds ...string) *site {
	site := newSite(daemonCount, dataCentres, 78)
	for _, name := range site.order {
		site.start(name, seeds...)
	}
	return site
}

// TestStartOfManyDaemons checks that 200 daemons that start together have their hubs and
// candidates before the first of them may claim servers, and bounds the connections and
// records that this takes: the connections must not grow with the square of the count.
func TestStartOfManyDaemons(t *testing.T) {
	t.Parallel()
	for _, seeds := range [][]string{{"d0", "d77", "d150"}, {"d0"}} {
		site := startedSite(seeds...)
		site.run(site.options.StartWait - step)
		require.Empty(t, site.withoutHub())
		require.Len(t, site.candidates(), dataCentres*topology.CandidatesPerDataCentre)
		candidates := site.candidates()
		for _, name := range candidates {
			for _, other := range candidates {
				require.True(t, name == other || site.daemons[name].Live(site.now, other), "%s receives reports of %s", name, other)
			}
		}
		site.run(clock.Second)
		require.Zero(t, site.serversWithoutOrders(2*step))
		require.Less(t, site.connections, 16*daemonCount)
		require.Less(t, site.records, 10*daemonCount*daemonCount) // each daemon receives the record of each other one from a few peers
		reports := site.reports
		site.run(10 * clock.Second)
		require.Less(t, site.reports-reports, 2*10*6*daemonCount, "reports without changes: twice a second over six connections")
		require.Empty(t, site.violation)
	}
}

// TestStaleSeeds checks that daemons find each other when only one of their seeds starts, some
// seconds after them, and the other seeds no longer exist.
func TestStaleSeeds(t *testing.T) {
	t.Parallel()
	site := newSite(daemonCount, dataCentres, 10)
	for _, name := range site.order[1:] {
		site.start(name, "d0", "nobody", "nobody either")
	}
	site.daemons["nobody"] = &daemon{down: true}
	site.daemons["nobody either"] = &daemon{down: true}
	site.run(3 * clock.Second)
	site.start("d0")
	site.run(2 * clock.Second)
	require.Empty(t, site.withoutHub())
	require.Equal(t, daemonCount, site.daemons["d5"].DaemonCount())
}

// TestLossOfCandidates checks that after the loss of all candidates of a data centre other
// daemons become candidates, and that the servers of the lost ones get orders again.
func TestLossOfCandidates(t *testing.T) {
	t.Parallel()
	site := startedSite("d0")
	site.run(5 * clock.Second)
	var lost []string
	for _, name := range site.candidates() {
		if site.daemons[name].self.DataCentre == "dc1" {
			lost = append(lost, name)
			site.kill(name)
		}
	}
	require.Len(t, lost, topology.CandidatesPerDataCentre)
	site.run(3 * clock.Second)
	require.Empty(t, site.withoutHub())
	require.Len(t, site.candidates(), dataCentres*topology.CandidatesPerDataCentre)
	site.run(site.options.Quiet)
	require.Zero(t, site.serversWithoutOrders(2*step))
	for _, name := range lost {
		site.start(name, "d0")
	}
	site.run(12 * clock.Second)
	require.Zero(t, site.serversWithoutOrders(2*step))
	require.Empty(t, site.violation)
}

// TestLossOfHalf checks that half of the daemons may be lost at once, including the largest of
// each data centre.
func TestLossOfHalf(t *testing.T) {
	t.Parallel()
	site := startedSite("d0", "d99")
	site.run(5 * clock.Second)
	for i, name := range site.order {
		if i < daemonCount/2 {
			site.kill(name)
		}
	}
	site.run(14 * clock.Second)
	require.Empty(t, site.withoutHub())
	require.Zero(t, site.serversWithoutOrders(2*step))
	for i, name := range site.order {
		if i < daemonCount/2 {
			site.start(name, "d0", "d99")
		}
	}
	site.run(12 * clock.Second)
	require.Empty(t, site.withoutHub())
	require.Equal(t, daemonCount, site.daemons["d150"].DaemonCount())
	require.Empty(t, site.violation)
}

// TestSuspendedHub checks that members of a suspended hub choose another one, and that the site
// is consistent after the former hub resumes.
func TestSuspendedHub(t *testing.T) {
	t.Parallel()
	site := startedSite("d0")
	site.run(5 * clock.Second)
	member := ""
	for _, name := range site.order {
		if site.daemons[name].Plan().Hub != "" {
			member = name
		}
	}
	suspended := site.daemons[member].Plan().Hub
	site.daemons[suspended].suspendedUntil = site.now + 4*clock.Second
	site.run(2500)
	hub := site.daemons[member].Plan().Hub
	require.NotEqual(t, suspended, hub)
	require.NotEmpty(t, hub)
	require.Empty(t, site.daemons[hub].Plan().Hub)
	site.daemons[suspended].undisturbedSince = site.now + 1500
	site.run(16 * clock.Second)
	require.Empty(t, site.withoutHub())
	require.Empty(t, site.violation)
}

// TestRestartOfAll checks that after a restart of all daemons, servers get orders as soon as
// claims are allowed.
func TestRestartOfAll(t *testing.T) {
	t.Parallel()
	site := startedSite("d0", "d77", "d150")
	site.run(6 * clock.Second)
	for _, name := range site.order {
		site.kill(name)
	}
	site.run(clock.Second)
	for _, name := range site.order {
		site.start(name, "d0", "d77", "d150")
	}
	site.run(site.options.StartWait + site.options.Announce + 2*step)
	require.Zero(t, site.serversWithoutOrders(2*step))
}

// TestSmallSiteIsMesh checks that in a small site each daemon is a candidate and connected to
// all others.
func TestSmallSiteIsMesh(t *testing.T) {
	t.Parallel()
	site := newSite(8, 3, 9)
	for _, name := range site.order {
		site.start(name, "d0")
	}
	site.run(clock.Second)
	require.Len(t, site.candidates(), 8)
	for _, name := range site.order {
		require.True(t, site.daemons[name].Plan().Mesh)
		require.Len(t, site.daemons[name].Links(site.now), 7)
	}
}

// TestGoneDaemonIsForgotten checks that all daemons forget a lost one, and know it again when
// it restarts.
func TestGoneDaemonIsForgotten(t *testing.T) {
	t.Parallel()
	site := newSite(40, 3, 4)
	for _, name := range site.order {
		site.start(name, "d0")
	}
	site.run(3 * clock.Second)
	site.kill("d35")
	site.run(65 * clock.Second)
	require.Equal(t, 39, site.daemons["d20"].DaemonCount())
	site.start("d35", "d0")
	site.run(3 * clock.Second)
	require.Equal(t, 40, site.daemons["d20"].DaemonCount())
}

// TestRefuteWrongState checks that a daemon refutes a record that states that it is gone, unless
// the record is of an earlier process.
func TestRefuteWrongState(t *testing.T) {
	t.Parallel()
	self := topology.Daemon{Name: "d", Address: "a", DataCentre: "z", Capacity: 1}
	members := membership.New(membership.DefaultOptions(), self, 1000, 7, false)
	members.Merge([]membership.Record{{Daemon: self, Incarnation: 7, Number: 4, State: membership.Gone}})
	require.Equal(t, int64(5), members.Self().Number)
	require.Equal(t, membership.Alive, members.Self().State)
	members.Merge([]membership.Record{{Daemon: self, Incarnation: 6, Number: 9, State: membership.Gone}})
	require.Equal(t, int64(5), members.Self().Number, "record of an earlier process")
}

// TestRandomFaults draws random kills, starts, pauses and network partitions of daemons, with
// which the candidates of the site change. Two daemons that have both run undisturbed for a
// lease must never send orders to the same server within a lease of each other.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		site := newSite(rapid.IntRange(8, 60).Draw(t, "daemons"), rapid.IntRange(1, 4).Draw(t, "data centres"), 6)
		for _, name := range site.order {
			site.start(name, "d0", "d1")
		}
		site.run(clock.Second)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			name := fmt.Sprint("d", rapid.IntRange(0, min(11, len(site.order)-1)).Draw(t, "daemon"))
			daemon := site.daemons[name]
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				site.kill(name)
			case 1:
				if daemon.down {
					site.start(name, "d0", "d1") // its partition ends as well
				}
			case 2:
				if !daemon.down && !daemon.partitioned {
					daemon.suspendedUntil = site.now + clock.Millis(rapid.IntRange(5, 80).Draw(t, "for"))*step
					daemon.undisturbedSince = daemon.suspendedUntil
				}
			case 3:
				// A partitioned daemon never counts as undisturbed; to the others it is silent.
				daemon.partitioned = !daemon.partitioned
				daemon.undisturbedSince = max(site.now, daemon.suspendedUntil)
				if daemon.partitioned {
					daemon.undisturbedSince = site.now + clock.Hour
				}
			}
			site.run(clock.Millis(rapid.IntRange(1, 25).Draw(t, "pause")) * step)
			if site.violation != "" {
				t.Fatal(site.violation)
			}
		}
	})
}

// TestLateSeeds checks that daemons that start before their seeds do not become candidates
// as if each were the only daemon of the site, and that they have hubs and candidates soon
// after a seed has started.
func TestLateSeeds(t *testing.T) {
	t.Parallel()
	site := newSite(daemonCount, dataCentres, 78)
	for _, name := range site.order[1:] {
		site.start(name, "d0")
	}
	site.run(900)
	require.Empty(t, site.candidates(), "no peer has reported yet")
	site.start("d0")
	site.run(site.options.StartWait + site.options.Announce + 2*step)
	require.Len(t, site.candidates(), dataCentres*topology.CandidatesPerDataCentre)
	require.Empty(t, site.withoutHub())
	require.Zero(t, site.serversWithoutOrders(2*step))
	require.Empty(t, site.violation)
}

// TestStaggeredStart checks that daemons of a small site that start within 0.3 s of each other
// receive each other's claims in time, and claim servers as soon as their own StartWait ends.
func TestStaggeredStart(t *testing.T) {
	t.Parallel()
	site := newSite(7, 4, 9)
	for i, name := range site.order {
		if i > 0 && i%2 == 0 {
			site.run(step)
		}
		site.start(name, "d0", "d3")
	}
	site.run(site.options.StartWait + site.options.Announce + 2*step)
	require.Zero(t, site.serversWithoutOrders(2*step))
	require.Empty(t, site.violation)
}

// TestPeersAfterPause checks that a daemon that was suspended considers its peers live for the
// time that remained when the pause began, and that a peer that reported right after the pause
// gets no additional time.
func TestPeersAfterPause(t *testing.T) {
	t.Parallel()
	options := membership.DefaultOptions()
	members := membership.New(options, topology.Daemon{Name: "d", DataCentre: "z"}, 1000, 7, false)
	for _, name := range []string{"before", "after"} {
		members.ApplyStatus(1000, membership.Status{Record: membership.Record{Daemon: topology.Daemon{Name: name}, Incarnation: 3}})
	}
	members.Tick(1300)
	members.Tick(1500)
	resumed := 9000 * clock.Millisecond
	members.ApplyStatus(resumed, membership.Status{Record: membership.Record{Daemon: topology.Daemon{Name: "after"}, Incarnation: 3}})
	members.Tick(resumed)
	require.True(t, members.Live(resumed+options.Silence-501, "before"))
	require.False(t, members.Live(resumed+options.Silence-500, "before"))
	require.True(t, members.Live(resumed+options.Silence-1, "after"))
	require.False(t, members.Live(resumed+options.Silence, "after"))
}

// TestStatusChanges checks which changes are derived from successive reports of a daemon. A
// missed change would leave load or claims of the daemon counted that are no longer valid.
func TestStatusChanges(t *testing.T) {
	t.Parallel()
	members := membership.New(membership.DefaultOptions(), topology.Daemon{Name: "d", DataCentre: "z"}, 1000, 7, false)
	status := membership.Status{Record: membership.Record{Daemon: topology.Daemon{Name: "e", DataCentre: "z"}, Incarnation: 3}, Role: topology.Candidate}
	require.Equal(t, membership.StatusChange{Current: true, New: true}, members.ApplyStatus(1000, status))
	require.Equal(t, membership.StatusChange{Current: true}, members.ApplyStatus(1100, status))
	status.Hub = "d"
	require.Equal(t, membership.StatusChange{Current: true, StoppedAggregating: true}, members.ApplyStatus(1200, status), "the load of its group must no longer be counted")
	status.Hub = "f"
	require.Equal(t, membership.StatusChange{Current: true, HubChanged: true}, members.ApplyStatus(1300, status))
	status.Role = topology.Member
	require.Equal(t, membership.StatusChange{Current: true, Left: true}, members.ApplyStatus(1400, status))
	status.Incarnation = 2
	require.Equal(t, membership.StatusChange{}, members.ApplyStatus(1500, status), "report of an earlier process")
}
