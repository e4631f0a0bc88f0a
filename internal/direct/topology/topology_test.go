package topology_test

import (
	"fmt"
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

// reach spreads one piece of news of a daemon and returns who has it, and the
// number of messages that one round of all daemons takes.
func reach(daemons []topology.Daemon, origin int) (reached map[string]bool, messages int) {
	known := map[string]bool{daemons[origin].Address: true}
	for range 4 {
		next := make(map[string]bool)
		messages = 0
		for _, daemon := range daemons {
			var others []topology.Daemon
			for _, other := range daemons {
				if other.Name != daemon.Name {
					others = append(others, other)
				}
			}
			plan := topology.Of(daemon, others)
			messages += len(plan.Targets)
			for _, target := range plan.Targets {
				own := daemon.Address == daemons[origin].Address
				near := target.Scope == topology.Near && daemon.DataCentre == daemons[origin].DataCentre
				if known[daemon.Address] && (own || near || target.Scope == topology.Sums) {
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

// TestOneHubTellsSums: a daemon hears the others' work from its hub only, else it
// would count it twice.
func TestOneHubTellsSums(t *testing.T) {
	daemons := site(69)
	tellers := make(map[string][]string)
	hubs := make(map[string]string)
	for i, daemon := range daemons {
		others := append(append([]topology.Daemon{}, daemons[:i]...), daemons[i+1:]...)
		plan := topology.Of(daemon, others)
		hubs[daemon.Name] = plan.Hub
		for _, target := range plan.Targets {
			if target.Scope == topology.Sums {
				tellers[target.Name] = append(tellers[target.Name], daemon.Name)
			}
		}
	}
	for _, daemon := range daemons {
		if hub := hubs[daemon.Name]; hub != "" {
			require.Equal(t, []string{hub}, tellers[daemon.Name])
			continue
		}
		require.Empty(t, tellers[daemon.Name], "a hub adds up itself")
	}
}

func TestSomebodyReadsTheStore(t *testing.T) {
	for _, count := range []int{1, 7, 69} {
		daemons := site(count)
		readers := 0
		for i, daemon := range daemons {
			others := append(append([]topology.Daemon{}, daemons[:i]...), daemons[i+1:]...)
			if topology.Of(daemon, others).Reads {
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
				topology.Of(daemons[0], daemons[1:])
			}
		})
	}
}
