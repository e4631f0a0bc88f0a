// Package experiment replays a request trace through the daemons' own decision
// code in virtual time, with faults, and measures load stalls, batch efficiency
// and outcomes. It does not model a cluster in detail: engines, weight store and
// network are the simple fakes of package nodetest.
package experiment

import (
	"math/rand/v2"
	"strconv"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/replay/workload"
)

// Setup describes one replay.
type Setup struct {
	Site   Site
	Policy Policy
	Seed   uint64
	// Rate is the mean number of requests per second.
	Rate float64
	// Flood is the mean number of additional routine requests per second.
	Flood float64
	// WarmUp is the time before measuring begins; Duration is the length of the trace,
	// warm-up included.
	WarmUp, Duration clock.Millis
	// Faults are the faults to inject, besides failed loads.
	Faults Faults
	// FailLoadShare is the share of loads that fail, from 0 to 1.
	FailLoadShare float64
}

// Faults holds the time of each fault since the start of the trace; 0 means that
// the fault is not injected.
type Faults struct {
	// EngineRestart is when the first engine restarts without loaded adapters.
	EngineRestart clock.Millis
	// OwnerKilled is when the owner of the first engine is killed.
	OwnerKilled clock.Millis
}

// NewSetup returns the standard setup for a site, policy, seed and rate.
func NewSetup(site Site, policy Policy, seed uint64, rate float64) Setup {
	const duration = 900 * clock.Second
	return Setup{
		Site: site, Policy: policy, Seed: seed, Rate: rate,
		WarmUp: 120 * clock.Second, Duration: duration, FailLoadShare: 0.02,
		Faults: Faults{EngineRestart: duration / 2, OwnerKilled: duration * 2 / 3},
	}
}

const (
	// settleDuration is the time before the first request, in which daemons receive
	// the state of the engines.
	settleDuration = 5 * clock.Second
	// drainDuration is the time after the trace in which the last requests can end.
	drainDuration = 60 * clock.Second
	// listDelay is the time until the VM list no longer names a killed daemon.
	listDelay = 5 * clock.Second
)

// replay is one replay in progress.
type replay struct {
	setup       Setup
	trace       []workload.Request
	network     *nodetest.Network
	random      *rand.Rand
	vms         []members.VM
	liveDaemons []ident.DaemonID
	meter       *meter
}

// Run replays a setup and returns what was measured.
func Run(setup Setup) (Result, error) {
	trace := workload.Trace(setup.Site.Profile, setup.Seed, setup.Rate, setup.Duration)
	trace = workload.Flood(setup.Site.Profile, setup.Seed, trace, setup.Flood, setup.Duration)
	replay := &replay{
		setup: setup, trace: trace, random: rand.New(rand.NewPCG(setup.Seed, 2)),
		vms: setup.Site.vms(), meter: newMeter(setup, trace),
	}
	if setup.Policy.offline {
		return runOffline(replay.meter), nil
	}
	options := node.DefaultOptions()
	options.Weights.BatchGain = setup.Site.BatchGain
	if setup.Policy.Apply != nil {
		setup.Policy.Apply(&options, Knowledge{Trace: trace, Start: nodetest.Start + settleDuration, Seed: setup.Seed})
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: setup.Seed, Delay: 1, Jitter: 1, TickInterval: 50,
		Config: setup.Site.config(), VMs: replay.vms, Node: options,
		Engine: nodetest.EngineOptions{
			LoadDuration: 500, ReportLag: 500, FailLoadShare: setup.FailLoadShare, Step: setup.Site.Step,
		},
		Observer: replay.meter.observer(), PerfectKnowledge: setup.Policy.PerfectKnowledge,
	})
	if err != nil {
		return Result{}, err
	}
	replay.network = network
	replay.liveDaemons = network.HostNames()
	replay.run()
	result := replay.meter.result()
	for i := range setup.Site.Engines {
		result.Violations = append(result.Violations, network.Engines[engineName(i)].Violations...)
	}
	return result, nil
}

func (replay *replay) run() {
	replay.network.Run(settleDuration)
	start := replay.network.Now
	replay.meter.start = start
	faults := replay.plannedFaults()
	for i, request := range replay.trace {
		for len(faults) > 0 && faults[0].at <= request.At {
			replay.network.Run(start + faults[0].at - replay.network.Now)
			faults[0].inject()
			faults = faults[1:]
		}
		replay.network.Run(start + request.At - replay.network.Now)
		replay.sendRequest(i, request)
	}
	replay.network.Run(drainDuration)
}

// sendRequest sends a request to a random live daemon, as the platform's load
// balancer does.
func (replay *replay) sendRequest(index int, request workload.Request) {
	daemon := replay.liveDaemons[replay.random.IntN(len(replay.liveDaemons))]
	replay.network.SendRequest(daemon, node.RequestArrived{
		RequestID: strconv.Itoa(index), APIKey: request.Class.String(), Path: "/v1/completions",
		Model: adapterOf(request.Adapter).String(), Body: []byte(strconv.Itoa(request.Tokens)),
	})
}

type fault struct {
	at     clock.Millis
	inject func()
}

// plannedFaults returns the faults to inject, in order of time.
func (replay *replay) plannedFaults() []fault {
	var list []fault
	faults := replay.setup.Faults
	if faults.EngineRestart > 0 {
		list = append(list, fault{at: faults.EngineRestart, inject: replay.restartEngine})
	}
	if faults.OwnerKilled > 0 {
		var killed ident.DaemonID
		list = append(list,
			fault{at: faults.OwnerKilled, inject: func() { killed = replay.killOwner(engineName(0)) }},
			fault{at: faults.OwnerKilled + listDelay, inject: func() { replay.removeFromVMList(killed) }})
	}
	return list
}

func (replay *replay) restartEngine() {
	replay.network.Engines[engineName(0)].Restart()
	replay.meter.engineRestarted(engineName(0))
}

// killOwner kills the daemon that owns an engine and returns its name, or an empty
// one if none owns it.
func (replay *replay) killOwner(engine ident.EngineID) ident.DaemonID {
	var killed ident.DaemonID
	for _, name := range replay.network.HostNames() {
		for _, state := range replay.network.Nodes[name].Node.Status(replay.network.Now).Owned {
			if state.Engine == engine {
				killed = name
			}
		}
	}
	if killed == "" {
		return ""
	}
	replay.network.Kill(killed)
	kept := replay.liveDaemons[:0]
	for _, name := range replay.liveDaemons {
		if name != killed {
			kept = append(kept, name)
		}
	}
	replay.liveDaemons = kept
	return killed
}

// removeFromVMList removes a killed daemon from the VM list.
func (replay *replay) removeFromVMList(killed ident.DaemonID) {
	kept := make([]members.VM, 0, len(replay.vms))
	for _, vm := range replay.vms {
		if vm.Name != string(killed) {
			kept = append(kept, vm)
		}
	}
	replay.vms = kept
	replay.network.SetVMs(kept)
}

// Classes returns the urgency classes in order.
func Classes() []config.Class {
	return []config.Class{config.Urgent, config.Routine}
}

// SetDuration changes the length of the trace and moves the faults in proportion.
func (setup *Setup) SetDuration(duration clock.Millis) {
	setup.Faults.EngineRestart = setup.Faults.EngineRestart * duration / setup.Duration
	setup.Faults.OwnerKilled = setup.Faults.OwnerKilled * duration / setup.Duration
	setup.Duration = duration
}
