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

// historyCount is the number of histories that each property test draws in CI.
const historyCount = 25

// Bounds of the faults that a history draws. The list lag and the transit time of
// an order stay within the assumptions of ownership.Options.
const (
	historyDaemons   = 3
	historyEngines   = 2
	maxListLag       = clock.Second
	maxFaultDuration = 12 * clock.Second
	maxStepDuration  = 4 * clock.Second
)

// faultHistory drives a network through randomly drawn faults.
type faultHistory struct {
	t            *rapid.T
	network      *nodetest.Network
	names        []ident.DaemonID
	engines      []ident.EngineID
	requestCount int
	left         map[ident.DaemonID]bool
	faults       map[string]int
}

func newHistory(t *rapid.T, checksFencing bool) *faultHistory {
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
	history := &faultHistory{t: t, network: network, left: map[ident.DaemonID]bool{}, faults: map[string]int{}}
	history.names = network.HostNames()
	for _, engine := range published.Engines {
		history.engines = append(history.engines, engine.Name)
	}
	network.Run(6 * clock.Second)
	return history
}

// daemon draws a daemon.
func (faultHistory *faultHistory) daemon() ident.DaemonID {
	return rapid.SampledFrom(faultHistory.names).Draw(faultHistory.t, "daemon")
}

func (faultHistory *faultHistory) drawDuration(longest clock.Millis) clock.Millis {
	share := rapid.SampledFrom([]clock.Millis{1, 5, 20, 50, 100}).Draw(faultHistory.t, "share of span")
	return max(1, longest*share/100)
}

// sendRequestsSteadily sends requests to the daemons in turn at a steady interval,
// so that every owner with permission has orders to give.
func (faultHistory *faultHistory) sendRequestsSteadily(interval clock.Millis, remaining int) {
	if remaining == 0 {
		return
	}
	network := faultHistory.network
	name := faultHistory.names[remaining%len(faultHistory.names)]
	if host := network.Nodes[name]; !host.Dead && !host.Paused {
		network.SendRequest(name, node.RequestArrived{
			RequestID: fmt.Sprintf("flow %d", remaining), APIKey: callerKey, Path: "/v1/completions",
			Model: fmt.Sprintf("review-%d@1", remaining*7%8),
		})
	}
	network.After(interval, func() { faultHistory.sendRequestsSteadily(interval, remaining-1) })
}

// partition cuts one daemon off from the others and changes the VM list.
func (faultHistory *faultHistory) partition() {
	isolated := faultHistory.daemon()
	duration := faultHistory.drawDuration(maxFaultDuration)
	for _, name := range faultHistory.names {
		for _, direction := range []nodetest.Direction{{From: isolated, To: name}, {From: name, To: isolated}} {
			faultHistory.network.Blocked[direction] = true
			faultHistory.network.After(duration, func() { delete(faultHistory.network.Blocked, direction) })
		}
	}
	faultHistory.changeVMList()
}

// sendRequests sends requests for different adapters, so that slots run out and
// adapters are evicted.
func (faultHistory *faultHistory) sendRequests() {
	for range rapid.SampledFrom([]int{1, 4, 8}).Draw(faultHistory.t, "requests") {
		name := faultHistory.daemon()
		host := faultHistory.network.Nodes[name]
		if host.Dead || host.Paused {
			continue
		}
		faultHistory.requestCount++
		faultHistory.network.SendRequest(name, node.RequestArrived{
			RequestID: fmt.Sprintf("r%d", faultHistory.requestCount), APIKey: callerKey, Path: "/v1/completions",
			Model: fmt.Sprintf("review-%d@1", rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7}).Draw(faultHistory.t, "adapter")),
		})
		if rapid.IntRange(0, 3).Draw(faultHistory.t, "gone") == 0 {
			faultHistory.disconnectCaller(name)
		}
	}
}

func (faultHistory *faultHistory) disconnectCaller(name ident.DaemonID) {
	request := fmt.Sprintf("r%d", faultHistory.requestCount)
	host := faultHistory.network.Nodes[name]
	faultHistory.network.After(faultHistory.drawDuration(2*clock.Second), func() { faultHistory.network.DisconnectCaller(host, request) })
}

func (faultHistory *faultHistory) pause() {
	name := faultHistory.daemon()
	if host := faultHistory.network.Nodes[name]; host.Dead || host.Paused {
		return
	}
	host := faultHistory.network.Nodes[name]
	faultHistory.network.Pause(name)
	faultHistory.network.After(faultHistory.drawDuration(maxFaultDuration), func() {
		if !host.Dead {
			faultHistory.network.Resume(name)
		}
	})
}

// kill kills a daemon and later starts an empty one under its name.
func (faultHistory *faultHistory) kill() {
	name := faultHistory.daemon()
	host := faultHistory.network.Nodes[name]
	if host.Dead {
		return
	}
	faultHistory.network.Kill(name)
	faultHistory.network.After(faultHistory.drawDuration(maxFaultDuration), func() { faultHistory.network.Boot(host.VM) })
}

func (faultHistory *faultHistory) block() {
	direction := nodetest.Direction{From: faultHistory.daemon(), To: faultHistory.daemon()}
	faultHistory.network.Blocked[direction] = true
	faultHistory.network.After(faultHistory.drawDuration(maxFaultDuration), func() { delete(faultHistory.network.Blocked, direction) })
}

// changeVMList sets a daemon's state in the VM list to live or leaving, and gives
// each daemon a different lag of its readings.
func (faultHistory *faultHistory) changeVMList() {
	for _, name := range faultHistory.names {
		faultHistory.network.VMListLag[name] = faultHistory.drawDuration(maxListLag)
	}
	vms := faultHistory.network.VMs()
	changed := faultHistory.daemon()
	state := rapid.SampledFrom([]members.State{members.Live, members.Leaving}).Draw(faultHistory.t, "state")
	for i := range vms {
		if vms[i].Name == string(changed) {
			vms[i].State = state
		}
	}
	faultHistory.network.SetVMs(vms)
}

func (faultHistory *faultHistory) failVMListReads() {
	name := faultHistory.daemon()
	faultHistory.network.VMListUnavailable[name] = true
	faultHistory.network.After(faultHistory.drawDuration(maxFaultDuration), func() { delete(faultHistory.network.VMListUnavailable, name) })
}

func (faultHistory *faultHistory) restartEngine() {
	faultHistory.network.Engines[rapid.SampledFrom(faultHistory.engines).Draw(faultHistory.t, "engine")].Restart()
}

// degradeNetwork makes messages get lost, arrive twice and overtake each other.
func (faultHistory *faultHistory) degradeNetwork() {
	network := faultHistory.network
	network.DropShare, network.DuplicateShare, network.SlowShare, network.MaxSlowDelay = 0.1, 0.1, 0.1, 5*clock.Second
	network.After(faultHistory.drawDuration(maxFaultDuration), func() {
		network.DropShare, network.DuplicateShare, network.SlowShare = 0, 0, 0
	})
}

// shutDown shuts a daemon down gracefully, kills it later and then starts an empty
// one under its name.
func (faultHistory *faultHistory) shutDown() {
	name := faultHistory.daemon()
	host := faultHistory.network.Nodes[name]
	if host.Dead || host.Paused {
		return
	}
	faultHistory.network.HandleEvent(host, node.Shutdown{})
	faultHistory.network.After(faultHistory.drawDuration(maxFaultDuration), func() {
		if !host.Dead {
			faultHistory.network.Kill(name)
			faultHistory.network.After(faultHistory.drawDuration(maxFaultDuration), func() { faultHistory.network.Boot(host.VM) })
		}
	})
}

// run draws and applies the steps, then checks that the network recovers and that
// no engine saw a violation.
func (faultHistory *faultHistory) run() {
	steps := map[string]func(){
		"requests": faultHistory.sendRequests, "requests again": faultHistory.sendRequests, "pause": faultHistory.pause,
		"kill": faultHistory.kill, "block": faultHistory.block, "relist": faultHistory.changeVMList, "list fails": faultHistory.failVMListReads,
		"engine restarts": faultHistory.restartEngine, "split": faultHistory.partition, "lossy": faultHistory.degradeNetwork, "leaves": faultHistory.shutDown,
	}
	names := []string{
		"requests", "requests again", "pause", "kill", "block", "relist", "list fails", "engine restarts", "lossy", "leaves",
		"split",
	}
	interval := rapid.SampledFrom([]clock.Millis{50, 200, 1000}).Draw(faultHistory.t, "request interval")
	faultHistory.sendRequestsSteadily(interval, int(20*clock.Second/interval))
	for range rapid.IntRange(4, 16).Draw(faultHistory.t, "steps") {
		step := rapid.SampledFrom(names).Draw(faultHistory.t, "step")
		faultHistory.faults[step]++
		steps[step]()
		faultHistory.network.Run(faultHistory.drawDuration(maxStepDuration))
	}
	faultHistory.recoverAndServe()
	for _, engine := range faultHistory.engines {
		require.Empty(faultHistory.t, faultHistory.network.Engines[engine].Violations)
	}
}

// recoverAndServe ends every fault and requires that each daemon serves requests
// again.
func (faultHistory *faultHistory) recoverAndServe() {
	network := faultHistory.network
	clear(network.VMListUnavailable)
	clear(network.VMListLag)
	vms := network.VMs()
	for i := range vms {
		vms[i].State = members.Live
	}
	network.SetVMs(vms)
	network.Run(3 * maxFaultDuration)
	for i, name := range network.HostNames() {
		request := fmt.Sprintf("last %d", i)
		network.SendRequest(name, node.RequestArrived{
			RequestID: request, APIKey: callerKey, Path: "/v1/completions", Model: "review-0@1",
		})
		answered := network.RunUntil(maxFaultDuration+10*clock.Second, func() bool { return len(network.Answers[request]) > 0 })
		require.True(faultHistory.t, answered, "daemon %s did not answer", name)
		require.Equal(faultHistory.t, outcome.Complete, network.Answers[request][0].Outcome.Reason, "daemon %s", name)
	}
}

// faultCounts counts the faults and events of all histories of a test.
type faultCounts struct{ counts map[string]int }

func (faultCounts *faultCounts) add(history *faultHistory) {
	if faultCounts.counts == nil {
		faultCounts.counts = map[string]int{}
	}
	faultCounts.counts["histories"]++
	faultCounts.counts["steps of nodes"] += history.network.Steps
	for fault, count := range history.faults {
		faultCounts.counts[fault] += count
	}
	for _, audit := range history.network.Audits {
		switch audit.Kind {
		case effect.OwnershipClaimed, effect.AdapterEvicted, effect.PauseDetected:
			faultCounts.counts[string(audit.Kind)]++
		}
	}
}

// TestOrdersUnderFaults checks that no adapter is unloaded while a run uses it. For
// engines that ignore fencing numbers it also checks that no order of a former owner
// arrives after one of the next owner. The fake engines record violations, and the
// state machines check their own invariants.
func TestOrdersUnderFaults(t *testing.T) {
	for name, checksFencing := range map[string]bool{"numbers checked": true, "numbers ignored": false} {
		t.Run(name, func(t *testing.T) {
			var total faultCounts
			nodetest.CheckHistories(t, historyCount, func(t *rapid.T) {
				history := newHistory(t, checksFencing)
				history.run()
				total.add(history)
			})
			t.Logf("%v", total.counts)
		})
	}
}
