package outcome_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
)

const apiKey = "key"

func testConfig() config.Config {
	document := config.Config{
		Version:      1,
		WeightStores: []config.WeightStore{{Name: "weights", LoadsPerSecond: 2}},
		Callers:      []config.Caller{{Name: "clerk", KeyHash: config.HashKey(apiKey)}},
		Rules: []config.Rule{
			{Name: "quotes", Adapters: "task=quote", Class: "Routine", DeadlineMillis: 8_000},
			{Name: "all", Class: "Urgent", DeadlineMillis: 5_000, Repeatable: true},
		},
	}
	for i := range 3 {
		document.Engines = append(document.Engines, config.Engine{
			Name: ident.EngineID(fmt.Sprintf("engine-%d", i)), Address: "127.0.0.1:1", DataCentre: fmt.Sprintf("dc-%d", i%2),
			Region: "north", BaseModel: "base", Store: "weights", Slots: 2, MaxRuns: 3, ChecksFencing: i == 0,
		})
	}
	for i := range 4 {
		document.Adapters = append(
			document.Adapters,
			config.Adapter{Name: fmt.Sprintf("review-%d", i), Version: "1", BaseModel: "base"},
			config.Adapter{Name: fmt.Sprintf("quote-%d", i), Version: "1", BaseModel: "base", Labels: map[string]string{"task": "quote"}},
		)
	}
	return document
}

func newNetwork(t require.TestingT, seed uint64, failLoads float64) *nodetest.Network {
	var vms []members.VM
	for i := range 5 {
		vms = append(vms, members.VM{
			Name: fmt.Sprintf("daemon-%d", i), Role: members.EntryRole, DataCentre: fmt.Sprintf("dc-%d", i%2),
			Region: "north", State: members.Live,
		})
	}
	options := node.DefaultOptions()
	options.RetryShare = 1 // makes repeated attempts common
	network, err := nodetest.New(nodetest.Options{
		Seed: seed, Delay: 1, Jitter: 4, TickInterval: 50, Config: testConfig(), VMs: vms,
		Engine: nodetest.EngineOptions{RunDuration: 800, LoadDuration: 300, ReportLag: 200, FailLoadShare: failLoads}, Node: options,
	})
	require.NoError(t, err)
	return network
}

// sent is a request and the daemon that it was sent to.
type sent struct {
	id         string
	host       *nodetest.Host
	repeatable bool
}

// history is a sequence of requests and faults.
type history struct {
	network *nodetest.Network
	faults  *nodetest.Faults
	sent    []sent
}

func (history *history) send(t *rapid.T) {
	network := history.network
	name := rapid.SampledFrom(network.HostNames()).Draw(t, "entry")
	host := network.Nodes[name]
	if host.Dead || host.Paused {
		return
	}
	next := sent{id: fmt.Sprintf("r%d", len(history.sent)), host: host, repeatable: rapid.Bool().Draw(t, "repeatable")}
	arrived := node.RequestArrived{RequestID: next.id, APIKey: apiKey, Path: "/v1/completions", BodyHash: "h"}
	if next.repeatable {
		arrived.Model = fmt.Sprintf("review-%d@1", rapid.IntRange(0, 3).Draw(t, "adapter"))
	} else {
		arrived.Model = fmt.Sprintf("quote-%d@1", rapid.IntRange(0, 3).Draw(t, "adapter"))
		arrived.Key, arrived.KeyIssuedAt = "key-"+next.id, network.Now
	}
	history.sent = append(history.sent, next)
	network.SendRequest(name, arrived)
}

func (history *history) restartEngine(t *rapid.T) {
	names := []ident.EngineID{"engine-0", "engine-1", "engine-2"}
	history.network.Engines[rapid.SampledFrom(names).Draw(t, "engine")].Restart()
}

// check compares the answered outcomes with what the engines ran.
func (history *history) check(t require.TestingT) {
	for _, request := range history.sent {
		runs := 0
		for _, engine := range history.network.Engines {
			runs += engine.RunsStarted[request.id]
		}
		if !request.repeatable {
			require.LessOrEqual(t, runs, 1, "request %s must not be repeated and ran %d times", request.id, runs)
		}
		answers := history.network.Answers[request.id]
		require.LessOrEqual(t, len(answers), 1, "request %s was answered more than once", request.id)
		if len(answers) == 0 {
			continue
		}
		switch final := answers[0].Outcome; final.Kind {
		case outcome.NotRun:
			require.Zero(t, runs, "request %s ran and was answered with %v", request.id, final)
		case outcome.Answered:
			require.NotZero(t, runs, "request %s did not run and was answered with %v", request.id, final)
		}
	}
}

// TestOutcomesAreTrue sends repeatable and non-repeatable requests while daemons, the
// network, the VM list and engines have faults. It checks that each request is
// answered once and that its outcome agrees with what the engines ran.
func TestOutcomesAreTrue(t *testing.T) {
	var totals totals
	nodetest.CheckHistories(t, 40, totals.runHistory)
	t.Logf("%+v", totals)
}

// TestHistoriesThatShowedFaults repeats two histories that once failed. In the first,
// a duplicate of a submit message arrived after the request had been refused and its
// engine handed over. In the second, a load failed at a slot to which a former owner's
// run was pinned.
func TestHistoriesThatShowedFaults(t *testing.T) {
	var totals totals
	nodetest.CheckSeeds(t, []uint64{41811044, 1798561}, totals.runHistory)
}

// totals counts the requests, faults and outcomes of all histories.
type totals struct {
	Requests, Faults int
	Outcomes         map[outcome.Kind]int
}

// runHistory draws one history, checks it and adds it to the totals.
func (totals *totals) runHistory(t *rapid.T) {
	if totals.Outcomes == nil {
		totals.Outcomes = map[outcome.Kind]int{}
	}
	network := newNetwork(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(t, "failing loads"))
	history := &history{network: network, faults: &nodetest.Faults{
		Network: network, MaxListLag: node.DefaultOptions().Home.ListLag, Counts: map[string]int{},
	}}
	network.Run(10 * clock.Second)
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2, 3, 4:
			history.send(t)
		case 5, 6:
			history.faults.Draw(t)
		case 7:
			history.restartEngine(t)
		default:
			network.Run(clock.Millis(rapid.SampledFrom([]int64{1, 5, 50, 300, 900, 2500, 6000}).Draw(t, "span")))
		}
		history.check(t)
	}
	history.faults.EndAll()
	network.Run(90 * clock.Second)
	history.check(t)
	for _, request := range history.sent {
		answers := network.Answers[request.id]
		if !request.host.Dead && network.Nodes[request.host.Name] == request.host {
			require.Len(t, answers, 1, "request %s at a daemon that is running", request.id)
		}
		if len(answers) > 0 {
			totals.Outcomes[answers[0].Outcome.Kind]++
		}
	}
	totals.Requests += len(history.sent)
	for _, count := range history.faults.Counts {
		totals.Faults += count
	}
}
