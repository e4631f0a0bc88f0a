package home_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/home"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
)

const apiKey = "key"

func testConfig() config.Config {
	document := config.Config{
		Version:      1,
		WeightStores: []config.WeightStore{{Name: "weights", LoadsPerSecond: 2}},
		Services:     []config.Service{{Name: "records", Addresses: []string{"127.0.0.1:2"}}},
		Callers:      []config.Caller{{Name: "clerk", KeyHash: config.HashKey(apiKey)}},
		Rules: []config.Rule{
			{Name: "records", Services: "!none", Class: "Urgent", DeadlineMillis: 8_000},
			{Name: "quotes", Adapters: "task=quote", Class: "Routine", DeadlineMillis: 8_000},
		},
		Adapters: []config.Adapter{{Name: "quote", Version: "1", BaseModel: "base", Labels: map[string]string{"task": "quote"}}},
	}
	for i := range 2 {
		document.Engines = append(document.Engines, config.Engine{
			Name: ident.EngineID(fmt.Sprintf("engine-%d", i)), Address: "127.0.0.1:1", DataCentre: "dc-0", Region: "north",
			BaseModel: "base", Store: "weights", Slots: 2, MaxRuns: 4,
		})
	}
	return document
}

func newNetwork(t require.TestingT, seed uint64, daemons int) *nodetest.Network {
	var vms []members.VM
	for i := range daemons {
		vms = append(vms, members.VM{
			Name: fmt.Sprintf("daemon-%d", i), Role: members.EntryRole, DataCentre: fmt.Sprintf("dc-%d", i%2),
			Region: "north", State: members.Live,
		})
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: seed, Delay: 1, Jitter: 4, TickInterval: 50, Config: testConfig(), VMs: vms,
		Engine: nodetest.EngineOptions{RunDuration: 300, LoadDuration: 400}, Node: node.DefaultOptions(),
	})
	require.NoError(t, err)
	return network
}

// attempts sends and counts the requests under one key.
type attempts struct {
	key      string
	issuedAt clock.Millis
	service  bool
	count    int
}

func (sent *attempts) send(network *nodetest.Network, daemon ident.DaemonID, body string) string {
	sent.count++
	arrived := node.RequestArrived{
		RequestID: fmt.Sprintf("%s/%d", sent.key, sent.count), APIKey: apiKey, BodyHash: body,
		Key: sent.key, KeyIssuedAt: sent.issuedAt,
	}
	if sent.service {
		arrived.Service, arrived.Path = "records", "/opt-outs"
	} else {
		arrived.Model, arrived.Path = "quote@1", "/v1/completions"
	}
	network.SendRequest(daemon, arrived)
	return arrived.RequestID
}

// runCount returns how often engines and services ran a request. If whole is false,
// it counts all requests whose ids begin with the prefix and a slash.
func runCount(network *nodetest.Network, prefix string, whole bool) int {
	count := 0
	matches := func(id string) bool { return id == prefix || !whole && strings.HasPrefix(id, prefix+"/") }
	for _, engine := range network.Engines {
		for id, runs := range engine.RunsStarted {
			if matches(id) {
				count += runs
			}
		}
	}
	for id, runs := range network.ServiceCalls {
		if matches(strings.TrimPrefix(id, "records/")) {
			count += runs
		}
	}
	return count
}

// requireAtMostOnce checks that no key ran more than once, that each request has at
// most one answer, and that no request ran that was answered with NotRun.
func requireAtMostOnce(t require.TestingT, network *nodetest.Network, keys []*attempts) {
	for _, sent := range keys {
		require.LessOrEqual(t, runCount(network, sent.key, false), 1, "key %s ran more than once", sent.key)
		for i := range sent.count {
			id := fmt.Sprintf("%s/%d", sent.key, i+1)
			answers := network.Answers[id]
			require.LessOrEqual(t, len(answers), 1, "request %s was answered more than once", id)
			if len(answers) == 1 && answers[0].Outcome.Kind == outcome.NotRun {
				require.Zero(t, runCount(network, id, true), "request %s ran and was answered with %v", id, answers[0].Outcome)
			}
		}
	}
}

// TestAtMostOnce sends requests that must not be repeated, with retries through
// other daemons and with other bodies, while random faults occur.
func TestAtMostOnce(t *testing.T) {
	answered, faultCount, total := 0, 0, 0
	nodetest.CheckHistories(t, 60, func(t *rapid.T) {
		network := newNetwork(t, rapid.Uint64().Draw(t, "seed"), 5)
		faults := &nodetest.Faults{Network: network, MaxListLag: node.DefaultOptions().Home.ListLag, Counts: map[string]int{}}
		network.Run(10 * clock.Second)
		var keys []*attempts
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				skew := clock.Millis(rapid.Int64Range(-1000, 1000).Draw(t, "skew"))
				keys = append(keys, &attempts{
					key: fmt.Sprintf("key-%d", len(keys)), issuedAt: network.Now + skew, service: rapid.Bool().Draw(t, "service"),
				})
				fallthrough
			case 2, 3, 4, 5:
				if len(keys) == 0 {
					continue
				}
				sent := keys[rapid.IntRange(max(0, len(keys)-3), len(keys)-1).Draw(t, "key")]
				daemon := rapid.SampledFrom(network.HostNames()).Draw(t, "entry")
				sent.send(network, daemon, rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body"))
			case 6, 7:
				faults.Draw(t)
			default:
				network.Run(clock.Millis(rapid.SampledFrom([]int64{1, 5, 50, 300, 1500, 4000, 9000}).Draw(t, "span")))
			}
			requireAtMostOnce(t, network, keys)
		}
		faults.EndAll()
		network.Run(70 * clock.Second)
		requireAtMostOnce(t, network, keys)
		for _, sent := range keys {
			total += sent.count
			for i := range sent.count {
				if answers := network.Answers[fmt.Sprintf("%s/%d", sent.key, i+1)]; len(answers) == 1 && answers[0].Outcome.Kind == outcome.Answered {
					answered++
				}
			}
		}
		for _, count := range faults.Counts {
			faultCount += count
		}
	})
	t.Logf("%d requests, %d answered, %d faults", total, answered, faultCount)
}

// TestSecondAttempt checks the outcome of a retry after an answered attempt, in cases
// that random histories may not reach often.
func TestSecondAttempt(t *testing.T) {
	tests := map[string]struct {
		between func(network *nodetest.Network, faults *nodetest.Faults, homeDaemon ident.DaemonID)
		reasons []outcome.Reason
	}{
		"nothing between": {
			between: func(*nodetest.Network, *nodetest.Faults, ident.DaemonID) {},
			reasons: []outcome.Reason{outcome.Complete},
		},
		"home killed": {
			between: func(network *nodetest.Network, _ *nodetest.Faults, homeDaemon ident.DaemonID) {
				network.Kill(homeDaemon)
				dropFromList(network, homeDaemon)
			},
			reasons: []outcome.Reason{outcome.Complete},
		},
		"home leaves": {
			between: func(network *nodetest.Network, _ *nodetest.Faults, homeDaemon ident.DaemonID) {
				network.HandleEvent(network.Nodes[homeDaemon], node.Shutdown{})
				network.RunUntil(10*clock.Second, network.Nodes[homeDaemon].Node.Idle)
				network.Kill(homeDaemon)
				dropFromList(network, homeDaemon)
			},
			reasons: []outcome.Reason{outcome.Complete},
		},
		"whole fleet replaced": {
			between: func(_ *nodetest.Network, faults *nodetest.Faults, _ ident.DaemonID) {
				faults.EndAll()
				faults.ReplaceAll()
			},
			reasons: []outcome.Reason{outcome.KeyNotVouched, outcome.HomeUnreachable},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			network := newNetwork(t, 1, 5)
			network.Run(10 * clock.Second)
			sent := &attempts{key: "k", issuedAt: network.Now, service: true}
			first := sent.send(network, "daemon-0", "a")
			network.Run(2 * clock.Second)
			require.Equal(t, outcome.Complete, network.Answers[first][0].Outcome.Reason)
			homeDaemon := network.Answers[first][0].Record.Home
			require.True(t, network.Answers[first][0].Record.HomeCopied)
			test.between(network, &nodetest.Faults{Network: network, Counts: map[string]int{}}, homeDaemon)
			network.Run(10 * clock.Second)
			retry := sent.send(network, liveEntry(network), "a")
			network.Run(5 * clock.Second)
			require.Contains(t, test.reasons, network.Answers[retry][0].Outcome.Reason)
			requireAtMostOnce(t, network, []*attempts{sent})
		})
	}
}

// dropFromList removes a daemon from the VM list.
func dropFromList(network *nodetest.Network, dropped ident.DaemonID) {
	var remaining []members.VM
	for _, vm := range network.VMs() {
		if vm.Name != string(dropped) {
			remaining = append(remaining, vm)
		}
	}
	network.SetVMs(remaining)
}

// liveEntry returns a running daemon other than the given ones.
func liveEntry(network *nodetest.Network, without ...ident.DaemonID) ident.DaemonID {
	for _, name := range network.HostNames() {
		if host := network.Nodes[name]; !host.Dead && !host.Paused && !slices.Contains(without, name) {
			return name
		}
	}
	return ""
}

// homeUnder returns the home of a key under the current VM list without the given
// daemons.
func homeUnder(network *nodetest.Network, key string, without ...ident.DaemonID) ident.DaemonID {
	vms := slices.DeleteFunc(network.VMs(), func(vm members.VM) bool { return slices.Contains(without, ident.DaemonID(vm.Name)) })
	view := members.NewView(members.List{Version: 1, VMs: vms}, network.Now)
	found, _ := home.Of(view, home.Key{Key: key, Caller: "clerk"})
	return found
}

// TestListsDiffer checks that a key runs at most once if a former home still has the
// VM list under which it was the home, while the other daemons have a newer list and
// the key was issued after both.
func TestListsDiffer(t *testing.T) {
	network := newNetwork(t, 1, 5)
	network.Run(10 * clock.Second)
	former := homeUnder(network, "k")
	network.VMListUnavailable[former] = true
	dropFromList(network, former)
	network.Run(20 * clock.Second)
	sent := &attempts{key: "k", issuedAt: network.Now, service: true}
	sent.send(network, former, "a")
	sent.send(network, liveEntry(network, former), "a")
	network.Run(10 * clock.Second)
	requireAtMostOnce(t, network, []*attempts{sent})
	require.Equal(t, 1, runCount(network, "k", false), "the home under the new list runs the request")
}

// TestHomeAndCopyKilled checks that a retry is refused after both daemons that held
// the record of the first attempt were killed.
func TestHomeAndCopyKilled(t *testing.T) {
	network := newNetwork(t, 1, 5)
	network.Run(10 * clock.Second)
	sent := &attempts{key: "k", issuedAt: network.Now, service: true}
	first := homeUnder(network, "k")
	sent.send(network, liveEntry(network, first), "a")
	network.Run(clock.Second)
	second := homeUnder(network, "k", first) // holds the copy
	network.Kill(first)
	network.Kill(second)
	dropFromList(network, first)
	dropFromList(network, second)
	network.Run(20 * clock.Second)
	retry := sent.send(network, liveEntry(network), "a")
	network.Run(5 * clock.Second)
	require.Equal(t, outcome.KeyNotVouched, network.Answers[retry][0].Outcome.Reason)
	requireAtMostOnce(t, network, []*attempts{sent})
}

// TestPausedHomeWakes checks that a home grants nothing on the basis of the VM list
// that it had before it was paused.
func TestPausedHomeWakes(t *testing.T) {
	network := newNetwork(t, 1, 5)
	network.Run(10 * clock.Second)
	paused := homeUnder(network, "k")
	sent := &attempts{key: "k", issuedAt: network.Now, service: true}
	network.Pause(paused)
	refused := sent.send(network, liveEntry(network, paused), "a")
	network.Run(5 * clock.Second)
	require.Equal(t, outcome.HomeUnreachable, network.Answers[refused][0].Outcome.Reason)
	dropFromList(network, paused)
	network.Run(20 * clock.Second)
	sent.send(network, liveEntry(network, paused), "a")
	network.Resume(paused)
	network.Run(5 * clock.Second)
	requireAtMostOnce(t, network, []*attempts{sent})
}

// TestPartitionBetweenEntryAndHome checks that a request is refused if messages are
// lost in one direction between its entry and its home, and that the key can be used
// again afterwards.
func TestPartitionBetweenEntryAndHome(t *testing.T) {
	network := newNetwork(t, 1, 5)
	network.Run(10 * clock.Second)
	homeDaemon := homeUnder(network, "k")
	entry := liveEntry(network, homeDaemon)
	sent := &attempts{key: "k", issuedAt: network.Now, service: true}
	for _, oneWay := range []nodetest.Direction{{From: homeDaemon, To: entry}, {From: entry, To: homeDaemon}} {
		network.Blocked[oneWay] = true
		refused := sent.send(network, entry, "a")
		network.Run(3 * clock.Second)
		require.Equal(t, outcome.HomeUnreachable, network.Answers[refused][0].Outcome.Reason)
		clear(network.Blocked)
		network.Run(3 * clock.Second) // the home receives the outcome of the refused attempt
	}
	sent.send(network, entry, "a")
	network.Run(3 * clock.Second)
	requireAtMostOnce(t, network, []*attempts{sent})
	require.Equal(t, 1, runCount(network, "k", false), "an attempt that did not run releases the key")
}
