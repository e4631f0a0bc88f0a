package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
)

// fewHistories is the number of histories that each proof draws in CI.
const fewHistories = 25

// Bounds of the faults that a history draws. The list lag and the transit of an
// order stay within what ownership.Options assume.
const (
	historyDaemons = 3
	historyEngines = 2
	longestList    = clock.Second
	longestPause   = 12 * clock.Second
	longestStep    = 4 * clock.Second
)

// history drives a network through faults.
type history struct {
	t       *rapid.T
	network *nodetest.Network
	names   []ident.DaemonID
	engines []ident.EngineID
	request int
	left    map[ident.DaemonID]bool
	faults  map[string]int
}

func newHistory(t *rapid.T, checksFencing bool) *history {
	published := smallConfig(historyEngines)
	for i := range published.Engines {
		published.Engines[i].ChecksFencing = checksFencing
	}
	var vms []members.VM
	for i := range historyDaemons {
		vms = append(vms, members.VM{
			Name: fmt.Sprintf("daemon-%d", i), Role: members.EntryRole, DataCentre: "a", Region: "north", State: members.Live,
		})
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: rapid.Uint64Range(1, 1<<32).Draw(t, "seed"), Delay: 2, Jitter: 30, TickInterval: 50,
		Config: published, VMs: vms,
		Engine: nodetest.EngineOptions{
			RunDuration:  rapid.SampledFrom([]clock.Millis{300, 1500, 4000, 9000}).Draw(t, "run span"),
			LoadDuration: 200,
			ReportLag:    rapid.SampledFrom([]clock.Millis{0, 400, 1500}).Draw(t, "report lag"),
		},
		Node: node.DefaultOptions(),
	})
	require.NoError(t, err)
	drawn := &history{t: t, network: network, left: map[ident.DaemonID]bool{}, faults: map[string]int{}}
	drawn.names = network.HostNames()
	for _, engine := range published.Engines {
		drawn.engines = append(drawn.engines, engine.Name)
	}
	network.Run(6 * clock.Second)
	return drawn
}

func (history *history) daemon() ident.DaemonID {
	return rapid.SampledFrom(history.names).Draw(history.t, "daemon")
}

func (history *history) span(longest clock.Millis) clock.Millis {
	share := rapid.SampledFrom([]clock.Millis{1, 5, 20, 50, 100}).Draw(history.t, "share of span")
	return max(1, longest*share/100)
}

// flow lets a request arrive somewhere at a steady interval, so that any owner
// that may order has something to order.
func (history *history) flow(interval clock.Millis, left int) {
	if left == 0 {
		return
	}
	network := history.network
	name := history.names[left%len(history.names)]
	if host := network.Nodes[name]; !host.Dead && !host.Paused {
		network.SendRequest(name, node.RequestArrived{
			RequestID: fmt.Sprintf("flow %d", left), APIKey: callerKey, Path: "/v1/completions",
			Model: fmt.Sprintf("review-%d@1", left*7%8),
		})
	}
	network.After(interval, func() { history.flow(interval, left-1) })
}

// split cuts one daemon off from the others, and changes the VM list.
func (history *history) split() {
	alone := history.daemon()
	span := history.span(longestPause)
	for _, name := range history.names {
		for _, direction := range []nodetest.Direction{{From: alone, To: name}, {From: name, To: alone}} {
			history.network.Blocked[direction] = true
			history.network.After(span, func() { delete(history.network.Blocked, direction) })
		}
	}
	history.relist()
}

// requests lets several callers ask for different adapters, so that slots are
// short and something has to be evicted.
func (history *history) requests() {
	for range rapid.SampledFrom([]int{1, 4, 8}).Draw(history.t, "requests") {
		name := history.daemon()
		host := history.network.Nodes[name]
		if host.Dead || host.Paused {
			continue
		}
		history.request++
		history.network.SendRequest(name, node.RequestArrived{
			RequestID: fmt.Sprintf("r%d", history.request), APIKey: callerKey, Path: "/v1/completions",
			Model: fmt.Sprintf("review-%d@1", rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7}).Draw(history.t, "adapter")),
		})
		if rapid.IntRange(0, 3).Draw(history.t, "gone") == 0 {
			history.callerLeaves(name)
		}
	}
}

func (history *history) callerLeaves(name ident.DaemonID) {
	gone := fmt.Sprintf("r%d", history.request)
	host := history.network.Nodes[name]
	history.network.After(history.span(2*clock.Second), func() { history.network.DisconnectCaller(host, gone) })
}

func (history *history) pause() {
	name := history.daemon()
	if host := history.network.Nodes[name]; host.Dead || host.Paused {
		return
	}
	host := history.network.Nodes[name]
	history.network.Pause(name)
	history.network.After(history.span(longestPause), func() {
		if !host.Dead {
			history.network.Resume(name)
		}
	})
}

// kill ends a daemon and starts an empty one under its name later.
func (history *history) kill() {
	name := history.daemon()
	host := history.network.Nodes[name]
	if host.Dead {
		return
	}
	history.network.Kill(name)
	history.network.After(history.span(longestPause), func() { history.network.Boot(host.VM) })
}

func (history *history) block() {
	direction := nodetest.Direction{From: history.daemon(), To: history.daemon()}
	history.network.Blocked[direction] = true
	history.network.After(history.span(longestPause), func() { delete(history.network.Blocked, direction) })
}

// relist takes a daemon off the VM list, marks it as leaving, or puts it back,
// with readings that lag differently at each daemon.
func (history *history) relist() {
	for _, name := range history.names {
		history.network.VMListLag[name] = history.span(longestList)
	}
	vms := history.network.VMs()
	changed := history.daemon()
	state := rapid.SampledFrom([]members.State{members.Live, members.Leaving}).Draw(history.t, "state")
	for i := range vms {
		if vms[i].Name == string(changed) {
			vms[i].State = state
		}
	}
	history.network.SetVMs(vms)
}

func (history *history) listFails() {
	name := history.daemon()
	history.network.VMListUnavailable[name] = true
	history.network.After(history.span(longestPause), func() { delete(history.network.VMListUnavailable, name) })
}

func (history *history) engineRestarts() {
	history.network.Engines[rapid.SampledFrom(history.engines).Draw(history.t, "engine")].Restart()
}

// lossy makes messages get lost, arrive twice, and overtake each other.
func (history *history) lossy() {
	network := history.network
	network.DropShare, network.DuplicateShare, network.SlowShare, network.MaxSlowDelay = 0.1, 0.1, 0.1, 5*clock.Second
	network.After(history.span(longestPause), func() {
		network.DropShare, network.DuplicateShare, network.SlowShare = 0, 0, 0
	})
}

// leaves begins a graceful end; the VM list shows it a little later.
func (history *history) leaves() {
	name := history.daemon()
	host := history.network.Nodes[name]
	if host.Dead || host.Paused {
		return
	}
	history.network.HandleEvent(host, node.Shutdown{})
	history.network.After(history.span(longestPause), func() {
		if !host.Dead {
			history.network.Kill(name)
			history.network.After(history.span(longestPause), func() { history.network.Boot(host.VM) })
		}
	})
}

// run draws the steps and lets the last faults pass.
func (history *history) run() {
	steps := map[string]func(){
		"requests": history.requests, "requests again": history.requests, "pause": history.pause,
		"kill": history.kill, "block": history.block, "relist": history.relist, "list fails": history.listFails,
		"engine restarts": history.engineRestarts, "split": history.split, "lossy": history.lossy, "leaves": history.leaves,
	}
	names := []string{
		"requests", "requests again", "pause", "kill", "block", "relist", "list fails", "engine restarts", "lossy", "leaves",
		"split",
	}
	interval := rapid.SampledFrom([]clock.Millis{50, 200, 1000}).Draw(history.t, "request interval")
	history.flow(interval, int(20*clock.Second/interval))
	for range rapid.IntRange(4, 16).Draw(history.t, "steps") {
		step := rapid.SampledFrom(names).Draw(history.t, "step")
		history.faults[step]++
		steps[step]()
		history.network.Run(history.span(longestStep))
	}
	history.recover()
	for _, engine := range history.engines {
		require.Empty(history.t, history.network.Engines[engine].Violations)
	}
}

// recover ends every fault and requires that each daemon serves again.
func (history *history) recover() {
	network := history.network
	clear(network.VMListUnavailable)
	clear(network.VMListLag)
	vms := network.VMs()
	for i := range vms {
		vms[i].State = members.Live
	}
	network.SetVMs(vms)
	network.Run(3 * longestPause)
	for i, name := range network.HostNames() {
		request := fmt.Sprintf("last %d", i)
		network.SendRequest(name, node.RequestArrived{
			RequestID: request, APIKey: callerKey, Path: "/v1/completions", Model: "review-0@1",
		})
		answered := network.RunUntil(longestPause+10*clock.Second, func() bool { return len(network.Answers[request]) > 0 })
		require.True(history.t, answered, "daemon %s answers nothing", name)
		require.Equal(history.t, outcome.Complete, network.Answers[request][0].Outcome.Reason, "daemon %s", name)
	}
}

// tally adds up what the histories of one proof went through.
type tally struct{ faults map[string]int }

func (tally *tally) add(drawn *history) {
	if tally.faults == nil {
		tally.faults = map[string]int{}
	}
	tally.faults["histories"]++
	tally.faults["steps of nodes"] += drawn.network.Steps
	for fault, count := range drawn.faults {
		tally.faults[fault] += count
	}
	for _, audit := range drawn.network.Audits {
		switch audit.Kind {
		case effect.OwnershipClaimed, effect.AdapterEvicted, effect.PauseDetected:
			tally.faults[string(audit.Kind)]++
		}
	}
}

// TestOrdersUnderFaults proves at both kinds of engine that no adapter is
// unloaded while a run uses it, and at engines that ignore fencing numbers that
// no order of a former owner comes after one of the next. The fake engines'
// violations and the machines' own invariants are the judges.
func TestOrdersUnderFaults(t *testing.T) {
	for name, checksFencing := range map[string]bool{"numbers checked": true, "numbers ignored": false} {
		t.Run(name, func(t *testing.T) {
			var total tally
			nodetest.CheckHistories(t, fewHistories, func(t *rapid.T) {
				drawn := newHistory(t, checksFencing)
				drawn.run()
				total.add(drawn)
			})
			t.Logf("%v", total.faults)
		})
	}
}
