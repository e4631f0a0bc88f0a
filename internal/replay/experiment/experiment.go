// Package experiment replays a request trace through the daemons' own decision
// code on virtual time, with faults, and measures load stalls, batch
// efficiency and outcomes. It is not a model of a cluster: engines, weight
// store and network are the small fakes of package nodetest.
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
	// Flood is the number of further routine requests per second.
	Flood float64
	// Warm is the span before measuring begins, Span the whole length.
	Warm, Span clock.Millis
	// Faults are what goes wrong, besides failing loads.
	Faults Faults
	// FailLoadShare is the share of loads that fail, from 0 to 1.
	FailLoadShare float64
}

// Faults are points in time from the start; 0 leaves a fault out.
type Faults struct {
	// EngineRestart is when the first engine restarts cold.
	EngineRestart clock.Millis
	// DaemonLost is when the owner of the first engine dies without a word.
	DaemonLost clock.Millis
}

// NewSetup returns the standard replay of a site, policy and seed.
func NewSetup(site Site, policy Policy, seed uint64, rate float64) Setup {
	const span = 900 * clock.Second
	return Setup{
		Site: site, Policy: policy, Seed: seed, Rate: rate,
		Warm: 120 * clock.Second, Span: span, FailLoadShare: 0.02,
		Faults: Faults{EngineRestart: span / 2, DaemonLost: span * 2 / 3},
	}
}

const (
	// settle is the span in which daemons learn of their engines before the
	// first request.
	settle = 5 * clock.Second
	// drain is the span that the last requests have to end.
	drain = 60 * clock.Second
	// listLag is the span after which the VM list shows that a daemon is lost.
	listLag = 5 * clock.Second
)

// replay is one replay in progress.
type replay struct {
	setup   Setup
	trace   []workload.Request
	network *nodetest.Network
	random  *rand.Rand
	vms     []members.VM
	live    []ident.DaemonID
	meter   *meter
}

// Run replays a setup and returns what was measured.
func Run(setup Setup) (Result, error) {
	trace := workload.Trace(setup.Site.Profile, setup.Seed, setup.Rate, setup.Span)
	trace = workload.Flood(setup.Site.Profile, setup.Seed, trace, setup.Flood, setup.Span)
	running := &replay{
		setup: setup, trace: trace, random: rand.New(rand.NewPCG(setup.Seed, 2)),
		vms: setup.Site.vms(), meter: newMeter(setup, trace),
	}
	if setup.Policy.offline {
		return runOffline(running.meter), nil
	}
	options := node.DefaultOptions()
	options.Weights.BatchGain = setup.Site.BatchGain
	if setup.Policy.Apply != nil {
		setup.Policy.Apply(&options, Knowledge{Trace: trace, Start: nodetest.Start + settle, Seed: setup.Seed})
	}
	network, err := nodetest.New(nodetest.Options{
		Seed: setup.Seed, Delay: 1, Jitter: 1, TickInterval: 50,
		Config: setup.Site.config(), VMs: running.vms, Node: options,
		Engine: nodetest.EngineOptions{
			LoadDuration: 500, ReportLag: 500, FailLoadShare: setup.FailLoadShare, Step: setup.Site.Step,
		},
		Observer: running.meter.observer(), PerfectKnowledge: setup.Policy.Instant,
	})
	if err != nil {
		return Result{}, err
	}
	running.network = network
	running.live = network.HostNames()
	running.play()
	result := running.meter.result()
	for i := range setup.Site.Engines {
		result.Violations = append(result.Violations, network.Engines[engineName(i)].Violations...)
	}
	return result, nil
}

func (replay *replay) play() {
	replay.network.Run(settle)
	start := replay.network.Now
	replay.meter.start = start
	faults := replay.faults()
	for i, arrival := range replay.trace {
		for len(faults) > 0 && faults[0].at <= arrival.At {
			replay.network.Run(start + faults[0].at - replay.network.Now)
			faults[0].do()
			faults = faults[1:]
		}
		replay.network.Run(start + arrival.At - replay.network.Now)
		replay.arrive(i, arrival)
	}
	replay.network.Run(drain)
}

// arrive brings a request to a live daemon, as the platform's balancer does.
func (replay *replay) arrive(index int, arrival workload.Request) {
	daemon := replay.live[replay.random.IntN(len(replay.live))]
	replay.network.SendRequest(daemon, node.RequestArrived{
		RequestID: strconv.Itoa(index), APIKey: arrival.Class.String(), Path: "/v1/completions",
		Model: adapterOf(arrival.Adapter).String(), Body: []byte(strconv.Itoa(arrival.Tokens)),
	})
}

type fault struct {
	at clock.Millis
	do func()
}

// faults lists what goes wrong, in order of time.
func (replay *replay) faults() []fault {
	var list []fault
	planned := replay.setup.Faults
	if planned.EngineRestart > 0 {
		list = append(list, fault{at: planned.EngineRestart, do: replay.restartEngine})
	}
	if planned.DaemonLost > 0 {
		var lost ident.DaemonID
		list = append(list,
			fault{at: planned.DaemonLost, do: func() { lost = replay.killOwner(engineName(0)) }},
			fault{at: planned.DaemonLost + listLag, do: func() { replay.delist(lost) }})
	}
	return list
}

func (replay *replay) restartEngine() {
	replay.network.Engines[engineName(0)].Restart()
	replay.meter.restarted(engineName(0))
}

// killOwner ends the daemon that owns an engine and returns its name.
func (replay *replay) killOwner(engine ident.EngineID) ident.DaemonID {
	var lost ident.DaemonID
	for _, name := range replay.network.HostNames() {
		for _, state := range replay.network.Nodes[name].Node.Status(replay.network.Now).Owned {
			if state.Engine == engine {
				lost = name
			}
		}
	}
	if lost == "" {
		return ""
	}
	replay.network.Kill(lost)
	kept := replay.live[:0]
	for _, name := range replay.live {
		if name != lost {
			kept = append(kept, name)
		}
	}
	replay.live = kept
	return lost
}

// delist takes a lost daemon off the VM list.
func (replay *replay) delist(lost ident.DaemonID) {
	kept := make([]members.VM, 0, len(replay.vms))
	for _, vm := range replay.vms {
		if vm.Name != string(lost) {
			kept = append(kept, vm)
		}
	}
	replay.vms = kept
	replay.network.SetVMs(kept)
}

// Classes lists the urgency classes in order.
func Classes() []config.Class {
	return []config.Class{config.Urgent, config.Routine}
}

// Resize changes the length of the replay; faults keep their relative place.
func (setup *Setup) Resize(span clock.Millis) {
	setup.Faults.EngineRestart = setup.Faults.EngineRestart * span / setup.Span
	setup.Faults.DaemonLost = setup.Faults.DaemonLost * span / setup.Span
	setup.Span = span
}
