package topology_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/topology"
)

// daemonsOf returns the daemons of a site with a number of daemons in four data centres. Half
// of them are large.
func daemonsOf(count int) []topology.Daemon {
	var daemons []topology.Daemon
	for i := range count {
		daemons = append(daemons, topology.Daemon{
			Name: fmt.Sprint("d", i), Address: fmt.Sprint("a", i), DataCentre: fmt.Sprint("dc", i%4), Capacity: 200 + 600*(i%2),
		})
	}
	return daemons
}

// settle returns the final plans of daemons that all know each other and receive reports from
// those that they are connected to.
func settle(daemons []topology.Daemon) map[string]topology.Plan {
	plans := make(map[string]topology.Plan)
	for range 4 {
		next := make(map[string]topology.Plan)
		for i, daemon := range daemons {
			others := append(append([]topology.Daemon{}, daemons[:i]...), daemons[i+1:]...)
			next[daemon.Name] = topology.PlanFor(daemon, others, reporting(daemon, others, plans), false)
		}
		plans = next
	}
	return plans
}

// reporting returns the daemons that self is connected to, by its own plan or by theirs.
func reporting(self topology.Daemon, others []topology.Daemon, plans map[string]topology.Plan) []topology.Peer {
	var peers []topology.Peer
	for _, other := range others {
		plan := plans[other.Name]
		if slices.Contains(plan.Links, self) || slices.Contains(plans[self.Name].Links, other) {
			peers = append(peers, topology.Peer{Daemon: other, Role: plan.Role, Hub: plan.Hub})
		}
	}
	return peers
}

// reach propagates one state change of a daemon. It returns the addresses of the daemons
// that receive it, and the number of messages in one round of all daemons.
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

// TestChangesReachEveryDaemon checks that a state change of any daemon reaches all others, in
// meshes and in larger sites, although members send it only to their hub.
func TestChangesReachEveryDaemon(t *testing.T) {
	for _, count := range []int{1, 2, 7, 12, 13, 69, 390} {
		daemons := daemonsOf(count)
		for _, origin := range []int{0, count / 2, count - 1} {
			reached, _ := reach(daemons, origin)
			require.Len(t, reached, count)
		}
	}
}

// TestMessagesGrowWithSite checks that the number of messages grows linearly with the number
// of daemons, not with its square.
func TestMessagesGrowWithSite(t *testing.T) {
	_, few := reach(daemonsOf(69), 0)
	_, many := reach(daemonsOf(390), 0)
	require.LessOrEqual(t, few, 2*69+12)
	require.LessOrEqual(t, many, 2*390+12)
}

// TestConnectionsGrowWithSite checks that the number of connections of a member is constant,
// and that of a candidate grows only with the number of data centres.
func TestConnectionsGrowWithSite(t *testing.T) {
	for _, count := range []int{30, 100, 195, 395} {
		for name, plan := range settle(daemonsOf(count)) {
			if plan.Role == topology.Member {
				require.Len(t, plan.Links, topology.CandidatesPerDataCentre, name)
				continue
			}
			require.Len(t, plan.Links, 4*topology.CandidatesPerDataCentre-1, name)
		}
	}
}

// TestCandidates checks that the largest daemons of each data centre are candidates, in a
// bounded number.
func TestCandidates(t *testing.T) {
	daemons := daemonsOf(195)
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

// TestOneHubSendsSums checks that a daemon receives the load of the others only from its hub;
// otherwise it would count that load twice.
func TestOneHubSendsSums(t *testing.T) {
	daemons := daemonsOf(69)
	plans := settle(daemons)
	senders := make(map[string][]string)
	for name, plan := range plans {
		for _, target := range plan.Targets {
			if target.Scope == topology.Sums {
				senders[target.Name] = append(senders[target.Name], name)
			}
		}
	}
	for _, daemon := range daemons {
		if hub := plans[daemon.Name].Hub; hub != "" {
			require.Equal(t, []string{hub}, senders[daemon.Name])
			continue
		}
		require.Empty(t, senders[daemon.Name], "a hub aggregates load itself")
	}
}

// TestSilentHub checks that a member that receives no reports from its hub chooses the second
// candidate, and that a daemon chosen in this way acts as a hub.
func TestSilentHub(t *testing.T) {
	daemons := daemonsOf(69)
	plans := settle(daemons)
	member := slices.IndexFunc(daemons, func(daemon topology.Daemon) bool {
		return plans[daemon.Name].Hub != "" && plans[daemon.Name].Role == topology.Member
	})
	self, first := daemons[member], plans[daemons[member].Name].Hub
	others := slices.DeleteFunc(slices.Clone(daemons), func(daemon topology.Daemon) bool { return daemon == self })
	remaining := slices.DeleteFunc(reporting(self, others, plans), func(peer topology.Peer) bool { return peer.Name == first })
	plan := topology.PlanFor(self, others, remaining, false)
	require.Len(t, remaining, 1)
	require.Equal(t, remaining[0].Name, plan.Hub)
	second := slices.IndexFunc(daemons, func(daemon topology.Daemon) bool { return daemon.Name == plan.Hub })
	chosen := topology.PlanFor(daemons[second], others, []topology.Peer{{Daemon: self, Hub: plan.Hub}, {Daemon: daemons[0], Role: topology.Candidate}}, false)
	require.Empty(t, chosen.Hub, "a chosen hub aggregates load itself")
	require.Equal(t, topology.Candidate, chosen.Role)
	require.True(t, chosen.ReadsStore)
}

// TestStoreReaders checks that every daemon of a mesh reads the store, and only the hub of each
// data centre in a larger site: otherwise calls to the store would grow with the site.
func TestStoreReaders(t *testing.T) {
	for _, count := range []int{1, 7, 69} {
		readers := 0
		for _, plan := range settle(daemonsOf(count)) {
			if plan.ReadsStore {
				readers++
			}
		}
		require.Equal(t, map[int]int{1: 1, 7: 7, 69: 4}[count], readers)
	}
}

// BenchmarkPlanFor measures the plan of one daemon: 1.5 us among 8 daemons, 18 us among 78 and
// 125 us among 390. This is why plans are kept rather than computed for each request and each
// message about prompt tokens.
func BenchmarkPlanFor(b *testing.B) {
	for _, count := range []int{8, 78, 390} {
		daemons := daemonsOf(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				topology.PlanFor(daemons[0], daemons[1:], nil, false)
			}
		})
	}
}
