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

// Sizes of the sites drawn here.
const (
	many        = 200
	dataCentres = 6
)

// started returns a site of many daemons that have all just started.
func started(seeds ...string) *site {
	site := newSite(many, dataCentres, 78)
	for _, name := range site.order {
		site.start(name, seeds...)
	}
	return site
}

// TestStartOfManyDaemons: 200 daemons that start together find their places before the
// first of them may claim servers, and what that costs does not grow with the square of
// their number.
func TestStartOfManyDaemons(t *testing.T) {
	t.Parallel()
	for _, seeds := range [][]string{{"d0", "d77", "d150"}, {"d0"}} {
		site := started(seeds...)
		site.run(site.options.StartWait - step)
		require.Empty(t, site.hubless())
		require.Len(t, site.candidates(), dataCentres*topology.CandidatesPerDataCentre)
		candidates := site.candidates()
		for _, name := range candidates {
			for _, other := range candidates {
				require.True(t, name == other || site.daemons[name].Live(site.now, other), "%s hears %s", name, other)
			}
		}
		site.run(clock.Second)
		require.Zero(t, site.unowned(2*step))
		require.Less(t, site.connections, 16*many)
		require.Less(t, site.records, 10*many*many) // each daemon hears of each other one from a few peers
		words := site.words
		site.run(10 * clock.Second)
		require.Less(t, site.words-words, 2*10*6*many, "words in calm times: twice a second over six connections")
		require.Empty(t, site.wrong)
	}
}

// TestStaleSeeds: daemons start with seeds of which only one runs, some seconds later.
func TestStaleSeeds(t *testing.T) {
	t.Parallel()
	site := newSite(many, dataCentres, 10)
	for _, name := range site.order[1:] {
		site.start(name, "d0", "nobody", "nobody either")
	}
	site.daemons["nobody"] = &daemon{down: true}
	site.daemons["nobody either"] = &daemon{down: true}
	site.run(3 * clock.Second)
	site.start("d0")
	site.run(2 * clock.Second)
	require.Empty(t, site.hubless())
	require.Equal(t, many, site.daemons["d5"].DaemonCount())
}

// TestLossOfCandidates: with the candidates of a data centre gone the next ones take
// their place, and the servers that they ordered are ordered again.
func TestLossOfCandidates(t *testing.T) {
	t.Parallel()
	site := started("d0")
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
	require.Empty(t, site.hubless())
	require.Len(t, site.candidates(), dataCentres*topology.CandidatesPerDataCentre)
	site.run(site.options.Quiet)
	require.Zero(t, site.unowned(2*step))
	for _, name := range lost {
		site.start(name, "d0")
	}
	site.run(12 * clock.Second)
	require.Zero(t, site.unowned(2*step))
	require.Empty(t, site.wrong)
}

// TestLossOfHalf: any number may be lost at once, also the largest of each data centre.
func TestLossOfHalf(t *testing.T) {
	t.Parallel()
	site := started("d0", "d99")
	site.run(5 * clock.Second)
	for i, name := range site.order {
		if i < many/2 {
			site.kill(name)
		}
	}
	site.run(14 * clock.Second)
	require.Empty(t, site.hubless())
	require.Zero(t, site.unowned(2*step))
	for i, name := range site.order {
		if i < many/2 {
			site.start(name, "d0", "d99")
		}
	}
	site.run(12 * clock.Second)
	require.Empty(t, site.hubless())
	require.Equal(t, many, site.daemons["d150"].DaemonCount())
	require.Empty(t, site.wrong)
}

// TestFrozenHub: the others go on without it, and it finds its place when it wakes.
func TestFrozenHub(t *testing.T) {
	t.Parallel()
	site := started("d0")
	site.run(5 * clock.Second)
	member := ""
	for _, name := range site.order {
		if site.daemons[name].Plan().Hub != "" {
			member = name
		}
	}
	frozen := site.daemons[member].Plan().Hub
	site.daemons[frozen].asleep = site.now + 4*clock.Second
	site.run(2500)
	hub := site.daemons[member].Plan().Hub
	require.NotEqual(t, frozen, hub)
	require.NotEmpty(t, hub)
	require.Empty(t, site.daemons[hub].Plan().Hub)
	site.daemons[frozen].began = site.now + 1500
	site.run(16 * clock.Second)
	require.Empty(t, site.hubless())
	require.Empty(t, site.wrong)
}

// TestAllStartAgain: after a loss of all daemons servers have orders again as soon as
// claims are allowed.
func TestAllStartAgain(t *testing.T) {
	t.Parallel()
	site := started("d0", "d77", "d150")
	site.run(6 * clock.Second)
	for _, name := range site.order {
		site.kill(name)
	}
	site.run(clock.Second)
	for _, name := range site.order {
		site.start(name, "d0", "d77", "d150")
	}
	site.run(site.options.StartWait + site.options.Announce + 2*step)
	require.Zero(t, site.unowned(2*step))
}

// TestSmallSiteIsAMesh: each daemon claims servers and hears each other one.
func TestSmallSiteIsAMesh(t *testing.T) {
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

// TestGoneDaemonIsForgotten by all, and known again when it starts.
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

// TestWrongWordOfItself: a daemon that is said to be gone says that it is not.
func TestWrongWordOfItself(t *testing.T) {
	t.Parallel()
	self := topology.Daemon{Name: "d", Address: "a", DataCentre: "z", Capacity: 1}
	members := membership.New(membership.DefaultOptions(), self, 1000, 7, false)
	members.Merge([]membership.Record{{Daemon: self, Incarnation: 7, Number: 4, State: membership.Gone}})
	require.Equal(t, int64(5), members.Self().Number)
	require.Equal(t, membership.Alive, members.Self().State)
	members.Merge([]membership.Record{{Daemon: self, Incarnation: 6, Number: 9, State: membership.Gone}})
	require.Equal(t, int64(5), members.Self().Number, "of an earlier process")
}

// TestDrawnFaults draws losses, starts, pauses and cuts of daemons of large sites, whose
// candidates change with them. Two daemons that have both run undisturbed for a lease
// never order one server within a lease of each other.
func TestDrawnFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		site := newSite(rapid.IntRange(8, 60).Draw(t, "daemons"), rapid.IntRange(1, 4).Draw(t, "data centres"), 6)
		for _, name := range site.order {
			site.start(name, "d0", "d1")
		}
		site.run(clock.Second)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			name := fmt.Sprint("d", rapid.IntRange(0, min(11, len(site.order)-1)).Draw(t, "daemon"))
			at := site.daemons[name]
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				site.kill(name)
			case 1:
				if at.down {
					site.start(name, "d0", "d1") // its link is whole again
				}
			case 2:
				if !at.down && !at.cut {
					at.asleep = site.now + clock.Millis(rapid.IntRange(5, 80).Draw(t, "for"))*step
					at.began = at.asleep
				}
			case 3:
				// A cut daemon is out of touch; those that are left see one that is silent.
				at.cut = !at.cut
				at.began = max(site.now, at.asleep)
				if at.cut {
					at.began = site.now + clock.Hour
				}
			}
			site.run(clock.Millis(rapid.IntRange(1, 25).Draw(t, "pause")) * step)
			if site.wrong != "" {
				t.Fatal(site.wrong)
			}
		}
	})
}

// TestLateSeeds: daemons that start while their seeds have no power yet take themselves for
// alone neither as candidates nor later, and find their places soon after the seeds came.
func TestLateSeeds(t *testing.T) {
	t.Parallel()
	site := newSite(many, dataCentres, 78)
	for _, name := range site.order[1:] {
		site.start(name, "d0")
	}
	site.run(900)
	require.Empty(t, site.candidates(), "nobody was heard")
	site.start("d0")
	site.run(site.options.StartWait + site.options.Announce + 2*step)
	require.Len(t, site.candidates(), dataCentres*topology.CandidatesPerDataCentre)
	require.Empty(t, site.hubless())
	require.Zero(t, site.unowned(2*step))
	require.Empty(t, site.wrong)
}

// TestStartsInTurn: daemons of a small site that start within 0.3 s of each other hear each
// other's claims in time, and claim servers when their own wait is over.
func TestStartsInTurn(t *testing.T) {
	t.Parallel()
	site := newSite(7, 4, 9)
	for i, name := range site.order {
		if i > 0 && i%2 == 0 {
			site.run(step)
		}
		site.start(name, "d0", "d3")
	}
	site.run(site.options.StartWait + site.options.Announce + 2*step)
	require.Zero(t, site.unowned(2*step))
	require.Empty(t, site.wrong)
}

// TestPeerHeardAfterAPause: a daemon that stood still gives its peers as much time as they
// had, and no more to one that was heard when it woke.
func TestPeerHeardAfterAPause(t *testing.T) {
	t.Parallel()
	options := membership.DefaultOptions()
	members := membership.New(options, topology.Daemon{Name: "d", DataCentre: "z"}, 1000, 7, false)
	for _, name := range []string{"before", "after"} {
		members.ApplyStatus(1000, membership.Status{Record: membership.Record{Daemon: topology.Daemon{Name: name}, Incarnation: 3}})
	}
	members.Tick(1300)
	members.Tick(1500)
	woke := 9000 * clock.Millisecond
	members.ApplyStatus(woke, membership.Status{Record: membership.Record{Daemon: topology.Daemon{Name: "after"}, Incarnation: 3}})
	members.Tick(woke)
	require.True(t, members.Live(woke+options.Silence-501, "before"))
	require.False(t, members.Live(woke+options.Silence-500, "before"))
	require.True(t, members.Live(woke+options.Silence-1, "after"))
	require.False(t, members.Live(woke+options.Silence, "after"))
}

// TestFindings: what a daemon's word changes for those who hear it.
func TestFindings(t *testing.T) {
	t.Parallel()
	members := membership.New(membership.DefaultOptions(), topology.Daemon{Name: "d", DataCentre: "z"}, 1000, 7, false)
	word := membership.Status{Record: membership.Record{Daemon: topology.Daemon{Name: "e", DataCentre: "z"}, Incarnation: 3}, Role: topology.Candidate}
	require.Equal(t, membership.StatusChange{Current: true, New: true}, members.ApplyStatus(1000, word))
	require.Equal(t, membership.StatusChange{Current: true}, members.ApplyStatus(1100, word))
	word.Hub = "d"
	require.Equal(t, membership.StatusChange{Current: true, StoppedAggregating: true}, members.ApplyStatus(1200, word), "its group's work must not count on")
	word.Hub = "f"
	require.Equal(t, membership.StatusChange{Current: true, HubChanged: true}, members.ApplyStatus(1300, word))
	word.Role = topology.Member
	require.Equal(t, membership.StatusChange{Current: true, Left: true}, members.ApplyStatus(1400, word))
	word.Incarnation = 2
	require.Equal(t, membership.StatusChange{}, members.ApplyStatus(1500, word), "of an earlier process")
}
