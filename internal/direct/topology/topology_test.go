package topology_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/topology"
)

func site(count int) []topology.Daemon {
	var daemons []topology.Daemon
	for i := range count {
		daemons = append(daemons, topology.Daemon{
			Name: fmt.Sprint("d", i), Address: fmt.Sprint("a", i), DataCentre: fmt.Sprint("dc", i%4), Capacity: 200 + 600*(i%2),
		})
	}
	return daemons
}

// settle returns the plans of daemons that all know each other and hear those that they
// are linked with.
func settle(daemons []topology.Daemon) map[string]topology.Plan {
	plans := make(map[string]topology.Plan)
	for range 4 {
		next := make(map[string]topology.Plan)
		for i, daemon := range daemons {
			others := append(append([]topology.Daemon{}, daemons[:i]...), daemons[i+1:]...)
			next[daemon.Name] = topology.PlanFor(daemon, others, heard(daemon, others, plans), false)
		}
		plans = next
	}
	return plans
}

// heard returns the daemons that self is linked with, on its own part or on theirs.
func heard(self topology.Daemon, others []topology.Daemon, plans map[string]topology.Plan) []topology.Peer {
	var peers []topology.Peer
	for _, other := range others {
		plan := plans[other.Name]
		if slices.Contains(plan.Links, self) || slices.Contains(plans[self.Name].Links, other) {
			peers = append(peers, topology.Peer{Daemon: other, Role: plan.Role, Hub: plan.Hub})
		}
	}
	return peers
}

// reach spreads one piece of news of a daemon and returns who has it, and the
// number of messages that one round of all daemons takes.
func reach(daemons []topology.Daemon, origin int) (reached map[string]bool, messages int) {
	plans := settle(daemons)
	known := map[string]bool{daemons[origin].Address: true}
	for range 4 {
		next := make(map[string]bool)
		messages = 0
		for _, daemon := range daemons {
			messages += len(plans[daemon.Name].Targets)
			for _, target := range plans[daemon.Name].Targets {
				own := daemon.Address == daemons[origin].Address
				group := target.Scope == topology.Group && plans[daemons[origin].Name].Hub == daemon.Name
				if known[daemon.Address] && (own || group || target.Scope == topology.Sums) {
					next[target.Address] = true
				}
			}
		}
		for address := range next {
			known[address] = true
		}
	}
	return known, messages
}

func TestNewsReachEveryone(t *testing.T) {
	for _, count := range []int{1, 2, 7, 12, 13, 69, 390} {
		daemons := site(count)
		for _, origin := range []int{0, count / 2, count - 1} {
			reached, _ := reach(daemons, origin)
			require.Len(t, reached, count)
		}
	}
}

// TestMessagesGrowWithTheSite: linearly, not with the square.
func TestMessagesGrowWithTheSite(t *testing.T) {
	_, few := reach(site(69), 0)
	_, many := reach(site(390), 0)
	require.LessOrEqual(t, few, 2*69+12)
	require.LessOrEqual(t, many, 2*390+12)
}

// TestConnectionsGrowWithTheSite: those of a daemon that is no candidate do not grow at
// all, those of a candidate with the number of data centres only.
func TestConnectionsGrowWithTheSite(t *testing.T) {
	for _, count := range []int{30, 100, 195, 395} {
		for name, plan := range settle(site(count)) {
			if plan.Role == topology.Member {
				require.Len(t, plan.Links, topology.CandidatesPerDataCentre, name)
				continue
			}
			require.Len(t, plan.Links, 4*topology.CandidatesPerDataCentre-1, name)
		}
	}
}

// TestCandidates: a bounded number of each data centre, the largest ones.
func TestCandidates(t *testing.T) {
	daemons := site(195)
	for i := range daemons {
		daemons[i].Capacity = 200 + i%40
	}
	plans := settle(daemons)
	of := make(map[string]int)
	for _, daemon := range daemons {
		if plans[daemon.Name].Role == topology.Candidate {
			of[daemon.DataCentre]++
			require.GreaterOrEqual(t, daemon.Capacity, 236, daemon.Name)
		}
	}
	for _, count := range of {
		require.Equal(t, topology.CandidatesPerDataCentre, count)
	}
	require.Len(t, of, 4)
}

// TestOneHubTellsSums: a daemon hears the others' work from its hub only, else it
// would count it twice.
func TestOneHubTellsSums(t *testing.T) {
	daemons := site(69)
	plans := settle(daemons)
	tellers := make(map[string][]string)
	for name, plan := range plans {
		for _, target := range plan.Targets {
			if target.Scope == topology.Sums {
				tellers[target.Name] = append(tellers[target.Name], name)
			}
		}
	}
	for _, daemon := range daemons {
		if hub := plans[daemon.Name].Hub; hub != "" {
			require.Equal(t, []string{hub}, tellers[daemon.Name])
			continue
		}
		require.Empty(t, tellers[daemon.Name], "a hub adds up itself")
	}
}

// TestSilentHub: the other candidate is the hub of those that do not hear the first.
func TestSilentHub(t *testing.T) {
	daemons := site(69)
	plans := settle(daemons)
	member := slices.IndexFunc(daemons, func(daemon topology.Daemon) bool {
		return plans[daemon.Name].Hub != "" && plans[daemon.Name].Role == topology.Member
	})
	self, first := daemons[member], plans[daemons[member].Name].Hub
	others := slices.DeleteFunc(slices.Clone(daemons), func(daemon topology.Daemon) bool { return daemon == self })
	left := slices.DeleteFunc(heard(self, others, plans), func(peer topology.Peer) bool { return peer.Name == first })
	plan := topology.PlanFor(self, others, left, false)
	require.Len(t, left, 1)
	require.Equal(t, left[0].Name, plan.Hub)
	second := slices.IndexFunc(daemons, func(daemon topology.Daemon) bool { return daemon.Name == plan.Hub })
	chosen := topology.PlanFor(daemons[second], others, []topology.Peer{{Daemon: self, Hub: plan.Hub}, {Daemon: daemons[0], Role: topology.Candidate}}, false)
	require.Empty(t, chosen.Hub, "who is chosen adds up itself")
	require.Equal(t, topology.Candidate, chosen.Role)
	require.True(t, chosen.ReadsStore)
}

func TestSomebodyReadsTheStore(t *testing.T) {
	for _, count := range []int{1, 7, 69} {
		readers := 0
		for _, plan := range settle(site(count)) {
			if plan.ReadsStore {
				readers++
			}
		}
		require.Equal(t, map[int]int{1: 1, 7: 7, 69: 4}[count], readers)
	}
}

// BenchmarkOf: the plan of one daemon takes 1.5 us among 8, 18 us among 78 and 125 us among
// 390. Each request and each word on prompts computed one before digests kept it.
func BenchmarkOf(b *testing.B) {
	for _, count := range []int{8, 78, 390} {
		daemons := site(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				topology.PlanFor(daemons[0], daemons[1:], nil, false)
			}
		})
	}
}
