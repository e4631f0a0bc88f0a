package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
)

const callerKey = "key"

func smallConfig(engines int) config.Config {
	published := config.Config{
		Version:      1,
		WeightStores: []config.WeightStore{{Name: "weights", LoadsPerSecond: 2}},
		Callers:      []config.Caller{{Name: "clerk", KeyHash: config.HashKey(callerKey)}},
		Rules: []config.Rule{
			{Name: "quotes", Adapters: "task=quote", Class: "Routine", DeadlineMillis: 20_000},
			{Name: "all", Class: "Urgent", DeadlineMillis: 20_000, Repeatable: true},
		},
	}
	for i := range engines {
		published.Engines = append(published.Engines, config.Engine{
			Name: ident.EngineID(fmt.Sprintf("engine-%d", i)), Address: "127.0.0.1:1", DataCentre: "a", Region: "north",
			BaseModel: "base", Store: "weights", Slots: 2, MaxRuns: 4,
		})
	}
	for i := range 12 {
		published.Adapters = append(published.Adapters,
			config.Adapter{Name: fmt.Sprintf("review-%d", i), Version: "1", BaseModel: "base"},
			config.Adapter{
				Name: fmt.Sprintf("quote-%d", i), Version: "1", BaseModel: "base",
				Labels: map[string]string{"task": "quote"},
			})
	}
	return published
}

func newNetwork(t testing.TB, daemons, engines int) *nodetest.Network {
	t.Helper()
	return newNetworkWith(t, daemons, engines, nodetest.EngineOptions{RunDuration: 200, LoadDuration: 500})
}

func entryVMs(names ...string) []members.VM {
	var vms []members.VM
	for _, name := range names {
		vms = append(vms, members.VM{
			Name: name, Role: members.EntryRole, DataCentre: "a", Region: "north", State: members.Live,
		})
	}
	return vms
}

func newNetworkWith(t testing.TB, daemons, engines int, engine nodetest.EngineOptions) *nodetest.Network {
	t.Helper()
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprintf("daemon-%d", i))
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: 1, Delay: 1, Jitter: 2, TickInterval: 50, Config: smallConfig(engines), VMs: entryVMs(names...),
		Engine: engine, Node: node.DefaultOptions(),
	})
	require.NoError(t, err)
	return network
}

// TestRequestIsAnswered follows one request from arrival to answer.
func TestRequestIsAnswered(t *testing.T) {
	network := newNetwork(t, 3, 2)
	network.Run(5 * clock.Second)
	network.SendRequest("daemon-1", node.RequestArrived{RequestID: "r1", APIKey: callerKey, Model: "review-3@1", Path: "/v1/completions"})
	answered := network.RunUntil(20*clock.Second, func() bool { return len(network.Answers["r1"]) > 0 })
	require.True(t, answered)
	require.Equal(t, outcome.Done(), network.Answers["r1"][0].Outcome)
}

// TestNotRepeatableRunsOnce sends a non-repeatable request with the same key to three
// daemons at once. Only one of them may run it.
func TestNotRepeatableRunsOnce(t *testing.T) {
	network := newNetwork(t, 3, 2)
	network.Run(10 * clock.Second) // until homes accept fresh keys
	for i, daemon := range network.HostNames() {
		network.SendRequest(daemon, node.RequestArrived{
			RequestID: fmt.Sprintf("r%d", i), APIKey: callerKey, Model: "quote-1@1", Path: "/v1/completions",
			Key: "k1", KeyIssuedAt: network.Now, BodyHash: "h",
		})
	}
	network.Run(20 * clock.Second)
	runs := 0
	for _, engine := range network.Engines {
		for _, count := range engine.RunsStarted {
			runs += count
		}
	}
	require.Equal(t, 1, runs)
	kinds := map[outcome.Reason]int{}
	for i := range 3 {
		answers := network.Answers[fmt.Sprintf("r%d", i)]
		require.Len(t, answers, 1)
		kinds[answers[0].Outcome.Reason]++
	}
	require.Equal(t, map[outcome.Reason]int{outcome.Complete: 1, outcome.KeyInProgress: 2}, kinds)
}

// TestReadyOnlyWhileListedLive checks that a daemon is not ready, so that the load
// balancer leaves it out, when the VM list shows it as leaving or does not contain
// it.
func TestReadyOnlyWhileListedLive(t *testing.T) {
	network := newNetwork(t, 3, 2)
	network.Run(15 * clock.Second)
	ready := network.Nodes["daemon-1"].Node.Ready
	require.True(t, ready())
	vms := network.VMs()
	vms[1].State = members.Leaving
	network.SetVMs(vms)
	network.Run(clock.Second)
	require.False(t, ready())
	network.SetVMs(append(vms[:1:1], vms[2:]...))
	network.Run(clock.Second)
	require.False(t, ready())
}
