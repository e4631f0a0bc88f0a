package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/ownership"
)

// brokerNetwork returns a network whose load broker owns no engine, and the broker.
func brokerNetwork(t testing.TB) (*nodetest.Network, ident.DaemonID) {
	t.Helper()
	for daemons := 4; daemons < 20; daemons++ {
		network := newNetwork(t, daemons, 2)
		network.Run(5 * clock.Second)
		broker, _ := ownership.First("store/weights", network.HostNames())
		if len(network.Nodes[broker].Node.Status(network.Now).Owned) == 0 {
			return network, broker
		}
	}
	t.Fatal("the broker owns an engine in every network tried")
	return nil, ""
}

func sendRequest(network *nodetest.Network, daemon ident.DaemonID, request, model string) {
	network.SendRequest(daemon, node.RequestArrived{RequestID: request, APIKey: callerKey, Model: model, Path: "/v1/completions"})
}

func otherDaemon(network *nodetest.Network, excluded ident.DaemonID) ident.DaemonID {
	for _, name := range network.HostNames() {
		if name != excluded {
			return name
		}
	}
	return ""
}

// TestLoadsContinueWithoutBroker checks that adapters are still loaded, at the
// daemons' shares of the store's rate, after the broker has failed while it stays
// on the VM list.
func TestLoadsContinueWithoutBroker(t *testing.T) {
	network, broker := brokerNetwork(t)
	network.Kill(broker)
	entry := otherDaemon(network, broker)
	for i := range 3 {
		sendRequest(network, entry, fmt.Sprintf("r%d", i), fmt.Sprintf("review-%d@1", i))
	}
	share := clock.Second * clock.Millis(len(network.Nodes)) / 2 // the store allows two loads per second
	timeout := 2*clock.Second + 3*share + 2*clock.Second
	answered := network.RunUntil(timeout, func() bool {
		return len(network.Answers["r0"]) > 0 && len(network.Answers["r1"]) > 0 && len(network.Answers["r2"]) > 0
	})
	require.True(t, answered, "answers %v", network.Answers)
	for i := range 3 {
		require.Equal(t, outcome.Done(), network.Answers[fmt.Sprintf("r%d", i)][0].Outcome)
	}
}

// TestLoadsAreRequestedFromNewBroker checks that loads queued at a failed broker
// are requested again from the next broker once the VM list no longer has the
// failed one.
func TestLoadsAreRequestedFromNewBroker(t *testing.T) {
	network, broker := brokerNetwork(t)
	entry := otherDaemon(network, broker)
	for i := range 4 {
		sendRequest(network, entry, fmt.Sprintf("r%d", i), fmt.Sprintf("review-%d@1", i))
	}
	network.Run(100)
	network.Kill(broker)
	vms := make([]string, 0, len(network.Nodes))
	for _, name := range network.HostNames() {
		if name != broker {
			vms = append(vms, string(name))
		}
	}
	network.SetVMs(entryVMs(vms...))
	answered := network.RunUntil(10*clock.Second, func() bool {
		for i := range 4 {
			if len(network.Answers[fmt.Sprintf("r%d", i)]) == 0 {
				return false
			}
		}
		return true
	})
	require.True(t, answered)
}

// TestFailingLoadsEndAsNotRun checks that a request is refused as not run when every
// load fails.
func TestFailingLoadsEndAsNotRun(t *testing.T) {
	network := newNetworkWith(t, 3, 2, nodetest.EngineOptions{RunDuration: 200, LoadDuration: 500, FailLoadShare: 1})
	network.Run(5 * clock.Second)
	sendRequest(network, "daemon-0", "r", "review-1@1")
	network.RunUntil(25*clock.Second, func() bool { return len(network.Answers["r"]) > 0 })
	require.Len(t, network.Answers["r"], 1)
	answer := network.Answers["r"][0]
	require.Equal(t, outcome.NotRun, answer.Outcome.Kind)
	require.Contains(t, []outcome.Reason{outcome.LoadFailed, outcome.NoEngine}, answer.Outcome.Reason)
	engines := map[ident.EngineID]bool{}
	for _, attempt := range answer.Record.Attempts {
		engines[attempt.Engine] = true
		require.Equal(t, outcome.LoadFailed, attempt.Outcome.Reason)
	}
	require.NotEmpty(t, engines)
	for _, engine := range network.Engines {
		require.Empty(t, engine.RunsStarted)
	}
}

// TestRegionsShareAWeightStore checks that two regions load from one store without
// depending on each other, because their daemons are not connected.
func TestRegionsShareAWeightStore(t *testing.T) {
	published := smallConfig(2)
	published.Engines[1].Region, published.Engines[1].DataCentre = "south", "b"
	regions := []string{"north", "south"}
	published.Callers = nil
	published.Rules = nil
	for i, region := range regions {
		published.Engines[i].Labels = map[string]string{"region": region}
		published.Callers = append(published.Callers, config.Caller{
			Name: region, KeyHash: config.HashKey(region), Region: region, Labels: map[string]string{"region": region},
		})
		published.Rules = append(published.Rules, config.Rule{
			Name: region, Callers: "region=" + region, Engines: "region=" + region,
			Class: "Urgent", DeadlineMillis: 20_000, Repeatable: true,
		})
	}
	vms := entryVMs("north-0", "north-1", "south-0", "south-1")
	for i := range vms[2:] {
		vms[2+i].Region, vms[2+i].DataCentre = "south", "b"
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: 1, Delay: 1, Jitter: 2, TickInterval: 50, Config: published, VMs: vms,
		Engine: nodetest.EngineOptions{RunDuration: 200, LoadDuration: 500}, Node: node.DefaultOptions(),
	})
	require.NoError(t, err)
	network.Run(6 * clock.Second)
	for _, region := range regions {
		for i := range 2 {
			network.SendRequest(ident.DaemonID(region+"-0"), node.RequestArrived{
				RequestID: fmt.Sprintf("%s-%d", region, i), APIKey: region, Model: fmt.Sprintf("review-%d@1", i), Path: "/v1/completions",
			})
		}
	}
	answered := network.RunUntil(1500*clock.Millisecond, func() bool {
		return len(network.Answers["north-0"])+len(network.Answers["north-1"]) > 0 &&
			len(network.Answers["south-0"])+len(network.Answers["south-1"]) > 0
	})
	require.True(t, answered, "a region waited for a broker that it cannot reach")
	network.Run(5 * clock.Second)
	for _, region := range regions {
		for i := range 2 {
			answers := network.Answers[fmt.Sprintf("%s-%d", region, i)]
			require.Len(t, answers, 1)
			require.Equal(t, outcome.Done(), answers[0].Outcome, "region %s", region)
		}
	}
}
