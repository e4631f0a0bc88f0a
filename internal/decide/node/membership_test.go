package node_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
)

// viewsAgree reports whether the given number of engines have owners, and the states of
// engines that daemons know agree with their owners' in owner, fencing number and
// number of loaded adapters.
func viewsAgree(network *nodetest.Network, engines int) bool {
	owned := map[ident.EngineID]message.EngineState{}
	for _, name := range network.HostNames() {
		for _, state := range network.Nodes[name].Node.Status(network.Now).Owned {
			owned[state.Engine] = state
		}
	}
	for _, name := range network.HostNames() {
		for _, known := range network.Nodes[name].Node.Status(network.Now).Known {
			state := owned[known.State.Engine]
			if known.State.Owner != state.Owner || known.State.Fence != state.Fence || len(known.State.Resident) != len(state.Resident) {
				return false
			}
		}
	}
	return len(owned) == engines
}

// TestMissedUpdatesAreRequested drops most updates while adapters are loaded. The
// digest must reveal the missed ones afterwards.
func TestMissedUpdatesAreRequested(t *testing.T) {
	network, err := nodetest.New(nodetest.Options{
		Seed: 3, Delay: 1, Jitter: 2, TickInterval: 50, Config: regionConfig(6, 40), VMs: regionView(9, 0).List.VMs,
		Engine: nodetest.EngineOptions{RunDuration: 200, LoadDuration: 100}, Node: node.DefaultOptions(),
	})
	require.NoError(t, err)
	network.Run(10 * clock.Second)
	require.True(t, viewsAgree(network, 6))
	network.DropShare = 0.8
	sendRequestsSteadily(network, 9, 5)
	require.False(t, viewsAgree(network, 6), "no update was missed")
	network.DropShare = 0
	require.True(t, network.RunUntil(10*clock.Second, func() bool { return viewsAgree(network, 6) }))
}

// TestLeavingServerGetsNoNewWork checks that an engine's owner that can't read the VM
// list is informed by other daemons that the backend server is leaving.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	published := smallConfig(2)
	for i := range published.Engines {
		published.Engines[i].ChecksFencing = true
		published.Engines[i].Address = []string{"10.0.0.1:80", "10.0.0.2:80"}[i]
	}
	network := networkWithConfig(t, published)
	network.Run(6 * clock.Second)
	owner := ownerOf(network, "engine-0")
	for _, name := range network.HostNames() {
		network.VMListUnavailable[name] = name == owner
	}
	network.SetVMs(append(network.VMs(), members.VM{
		Name: "server-1", Address: "10.0.0.1", Role: members.BackendRole, DataCentre: "a", Region: "north", State: members.Leaving,
	}))
	network.Run(3 * clock.Second)
	before := totalRuns(network.Engines["engine-0"])
	elsewhere := totalRuns(network.Engines["engine-1"])
	sendReviewRequests(network, 40)
	require.Equal(t, before, totalRuns(network.Engines["engine-0"]))
	require.Greater(t, totalRuns(network.Engines["engine-1"]), elsewhere)
}

// TestShutdownHandsOver shuts down an owner gracefully while requests run and wait
// there. All must be answered, and the next owner must not wait for the hold-down.
func TestShutdownHandsOver(t *testing.T) {
	for _, checks := range []bool{true, false} {
		published := smallConfig(1)
		published.Engines[0].ChecksFencing = checks
		network := networkWithConfig(t, published)
		network.Run(6 * clock.Second)
		owner := ownerOf(network, "engine-0")
		entry := ident.DaemonID("daemon-0")
		if owner == entry {
			entry = "daemon-1"
		}
		for _, request := range []string{"0", "1", "2", "3", "4", "5", "6", "7"} {
			network.SendRequest(entry, node.RequestArrived{
				RequestID: request, APIKey: callerKey, Path: "/v1/completions", Model: "review-" + request + "@1",
			})
		}
		network.Run(150)
		leaving := network.Nodes[owner]
		network.HandleEvent(leaving, node.Shutdown{})
		if !checks { // the VM list must show it too while the daemon's own report is still valid
			vms := network.VMs()
			vms[slices.IndexFunc(vms, func(vm members.VM) bool { return vm.Name == string(owner) })].State = members.Leaving
			network.After(clock.Second, func() { network.SetVMs(vms) })
		}
		require.True(t, network.RunUntil(5*clock.Second, leaving.Node.Idle))
		network.Run(10) // messages in transit arrive before the connections end
		network.Kill(owner)
		network.Run(100)
		require.NotEqual(t, owner, ownerOf(network, "engine-0"))
		require.NotEmpty(t, ownerOf(network, "engine-0"), "checks %v", checks)
		network.Run(15 * clock.Second)
		for _, request := range []string{"0", "1", "2", "3", "4", "5", "6", "7"} {
			require.Len(t, network.Answers[request], 1)
			require.Equal(t, outcome.Complete, network.Answers[request][0].Outcome.Reason, "request %s", request)
			require.Equal(t, 1, network.Engines["engine-0"].RunsStarted[request])
		}
	}
}

// TestPausedOwnerReadsReportBeforeOrders pauses an owner with a waiting request for
// less than the permitted age of its VM list. After the pause it must read the
// engine's report before it gives an order.
func TestPausedOwnerReadsReportBeforeOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		published := smallConfig(1)
		published.Engines[0].ChecksFencing = checks
		network := networkWithConfig(t, published)
		network.Run(6 * clock.Second)
		owner := ownerOf(network, "engine-0")
		sendReviewRequests(network, 1)
		network.Run(2 * clock.Second)
		before := totalRuns(network.Engines["engine-0"])
		network.Pause(owner)
		network.Run(600)
		for _, name := range network.HostNames() {
			if name != owner {
				network.SendRequest(name, node.RequestArrived{RequestID: string(name), APIKey: callerKey, Path: "/v1/completions", Model: "review-0@1"})
			}
		}
		network.Run(100)
		network.Resume(owner)
		network.Run(2) // an order given at once would have arrived
		require.Equal(t, before, totalRuns(network.Engines["engine-0"]))
		network.Run(clock.Second)
		require.Equal(t, before+2, totalRuns(network.Engines["engine-0"]), "checks %v", checks)
	}
}

// TestRemovedEngineIsReleased checks that owners release an engine that a new
// configuration no longer contains.
func TestRemovedEngineIsReleased(t *testing.T) {
	network := networkWithConfig(t, smallConfig(2))
	network.Run(6 * clock.Second)
	fewer := smallConfig(1)
	fewer.Version = 2
	snapshot, err := config.Compile(fewer)
	require.NoError(t, err)
	require.NotEmpty(t, ownerOf(network, "engine-1"))
	for _, name := range network.HostNames() {
		network.HandleEvent(network.Nodes[name], node.ConfigRead{Snapshot: snapshot})
	}
	require.Empty(t, ownerOf(network, "engine-1"))
	require.NotEmpty(t, ownerOf(network, "engine-0"))
}

func networkWithConfig(t testing.TB, published config.Config) *nodetest.Network {
	t.Helper()
	var vms []members.VM
	for _, name := range []string{"daemon-0", "daemon-1", "daemon-2"} {
		vms = append(vms, members.VM{Name: name, Role: members.EntryRole, DataCentre: "a", Region: "north", State: members.Live})
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: 1, Delay: 1, Jitter: 2, TickInterval: 50, Config: published, VMs: vms,
		Engine: nodetest.EngineOptions{RunDuration: 200, LoadDuration: 100}, Node: node.DefaultOptions(),
	})
	require.NoError(t, err)
	return network
}

func ownerOf(network *nodetest.Network, engine ident.EngineID) ident.DaemonID {
	for _, name := range network.HostNames() {
		for _, state := range network.Nodes[name].Node.Status(network.Now).Owned {
			if state.Engine == engine {
				return name
			}
		}
	}
	return ""
}

func totalRuns(engine *nodetest.Engine) int {
	total := 0
	for _, count := range engine.RunsStarted {
		total += count
	}
	return total
}

func sendReviewRequests(network *nodetest.Network, count int) {
	for i := range count {
		network.SendRequest("daemon-1", node.RequestArrived{
			RequestID: string(rune('A' + i)), APIKey: callerKey, Path: "/v1/completions",
			Model: []string{"review-0@1", "review-1@1", "review-2@1", "review-3@1"}[i%4],
		})
		network.Run(200)
	}
}
