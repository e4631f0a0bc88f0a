// Package nodetest drives several nodes in one goroutine on virtual time, with a
// simulated network, fake engines and a fake weight store. It is for tests and
// replays. Its behaviour is determined by the seed.
package nodetest

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
)

// Start is the virtual time at which every network begins.
const Start clock.Millis = 1_000_000_000

// Options describe a network.
type Options struct {
	Seed uint64
	// Delay is the transit time of a message. A random share of Jitter is added.
	Delay  clock.Millis
	Jitter clock.Millis
	// TickInterval is the time between two ticks of a node.
	TickInterval clock.Millis
	Config       config.Config
	VMs          []members.VM
	Engine       EngineOptions
	// UseConfigService is set if daemons read the configuration from the network's
	// configuration service; otherwise each is given it at its start.
	UseConfigService bool
	// Node holds the options of each node; the network sets the identity.
	Node     node.Options
	Observer Observer
	// PerfectKnowledge gives a daemon the current state of every engine before each
	// request that arrives there. Replays use it for their baselines.
	PerfectKnowledge bool
}

// Network is a set of nodes with their simulated environment.
type Network struct {
	Now     clock.Millis
	Nodes   map[ident.DaemonID]*Host
	Engines map[ident.EngineID]*Engine
	Service *ConfigService
	// Answers holds the answers that callers received, by request id.
	Answers map[string][]effect.Answer
	// Audits holds every audited change, in order.
	Audits []effect.Audit
	// ServiceCalls counts the calls that services ran, by service and request id.
	ServiceCalls map[string]int
	// Blocked lists the directions in which all messages are lost.
	Blocked map[Direction]bool
	// DropShare is the share of messages that are lost, from 0 to 1.
	DropShare float64
	// DuplicateShare is the share of messages that arrive twice, from 0 to 1.
	DuplicateShare float64
	// SlowShare is the share of messages that are delayed, so that later messages may
	// overtake them.
	SlowShare float64
	// MaxSlowDelay is the maximum delay that SlowShare adds to a message.
	MaxSlowDelay clock.Millis
	// VMListLag is the age of the VM list that a daemon reads.
	VMListLag map[ident.DaemonID]clock.Millis
	// VMListUnavailable lists the daemons that cannot read the VM list.
	VMListUnavailable map[ident.DaemonID]bool
	// Steps counts the events that nodes have processed.
	Steps int
	// OnSend is called for every message that one daemon sends to another.
	OnSend func(from, to ident.DaemonID, sent message.Message)

	options      Options
	random       *rand.Rand
	queue        eventQueue
	sequence     uint64
	store        store
	snapshot     *config.Snapshot
	listVersions []timedList // every version of the VM list, in order
}

type timedList struct {
	at   clock.Millis
	list members.List
}

// Direction is one direction of the connection between two daemons.
type Direction struct{ From, To ident.DaemonID }

// Host runs one daemon in the network.
type Host struct {
	Name ident.DaemonID
	Node *node.Node
	// Paused is set during a pause; events that arrive are processed after it.
	Paused bool
	Dead   bool
	VM     members.VM

	generation uint64
	backlog    []node.Event
	streams    map[ident.StreamID]string // request ids by current stream
}

// New returns a network whose nodes have read the VM list. They have the
// configuration too, unless they read it from the configuration service.
func New(options Options) (*Network, error) {
	snapshot, err := config.Compile(options.Config)
	if err != nil {
		return nil, err
	}
	network := &Network{
		Now: Start, Nodes: map[ident.DaemonID]*Host{}, Engines: map[ident.EngineID]*Engine{},
		Answers: map[string][]effect.Answer{}, ServiceCalls: map[string]int{}, Blocked: map[Direction]bool{},
		VMListLag: map[ident.DaemonID]clock.Millis{}, VMListUnavailable: map[ident.DaemonID]bool{},
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), snapshot: snapshot,
	}
	network.Service = newConfigService(network)
	if err := network.Service.Publish(options.Config); err != nil {
		return nil, err
	}
	network.publishVMs()
	for _, engine := range options.Config.Engines {
		network.Engines[engine.Name] = newEngine(network, engine, options.Engine)
	}
	for _, vm := range options.VMs {
		if vm.Role == members.EntryRole {
			network.Boot(vm)
		}
	}
	return network, nil
}

// Boot starts a daemon without any state on a VM of the list.
func (network *Network) Boot(vm members.VM) *Host {
	name := ident.DaemonID(vm.Name)
	options := network.options.Node
	options.Self, options.DataCentre, options.Region = name, vm.DataCentre, vm.Region
	options.StartedAt, options.Incarnation = network.Now, ident.Incarnation(network.Now)
	network.sequence++
	host := &Host{Name: name, Node: node.New(options), VM: vm, generation: network.sequence, streams: map[ident.StreamID]string{}}
	network.Nodes[name] = host
	if !network.options.UseConfigService {
		network.HandleEvent(host, node.ConfigRead{Snapshot: network.snapshot})
	}
	network.pollVMList(host)
	network.tick(host)
	return host
}

// publishVMs adds a version of the VM list.
func (network *Network) publishVMs() {
	version := uint64(len(network.listVersions) + 1)
	network.listVersions = append(network.listVersions, timedList{at: network.Now, list: members.List{
		Version: version, VMs: slices.Clone(network.options.VMs),
	}})
}

// VMs returns a copy of the latest VM list.
func (network *Network) VMs() []members.VM {
	return slices.Clone(network.options.VMs)
}

// SetVMs publishes a VM list. Daemons read it at once, unless their readings lag or
// fail.
func (network *Network) SetVMs(vms []members.VM) {
	network.options.VMs = vms
	network.publishVMs()
	for _, host := range network.hosts() {
		network.readVMList(host)
	}
}

// vmListInterval is the time between two readings of the VM list.
const vmListInterval = clock.Second

// pollVMList makes a daemon read the VM list now and every vmListInterval.
func (network *Network) pollVMList(host *Host) {
	network.readVMList(host)
	generation := host.generation
	network.after(vmListInterval, func() {
		if !host.Dead && host.generation == generation {
			network.pollVMList(host)
		}
	})
}

// readVMList makes a daemon read the VM list with its lag. A paused daemon and one
// whose reads fail read nothing.
func (network *Network) readVMList(host *Host) {
	if host.Paused || host.Dead || network.VMListUnavailable[host.Name] {
		return
	}
	list := network.listVersions[0].list
	for _, timed := range network.listVersions {
		if network.Now-timed.at >= network.VMListLag[host.Name] {
			list = timed.list
		}
	}
	network.HandleEvent(host, node.VMListRead{View: members.NewView(list, network.Now)})
}

// Kill ends a daemon without notice. Its peers detect the lost connections.
func (network *Network) Kill(name ident.DaemonID) {
	network.Nodes[name].Dead = true
	for _, host := range network.hosts() {
		network.reportLostLanes(host, name)
	}
}

func (network *Network) reportLostLanes(host *Host, peer ident.DaemonID) {
	for lane := range message.LaneCount {
		network.after(network.options.Delay, func() { network.HandleEvent(host, node.PeerLost{Peer: peer, Lane: lane}) })
	}
}

// Pause pauses a daemon. Events that arrive in the meantime are processed on Resume.
func (network *Network) Pause(name ident.DaemonID) {
	network.Nodes[name].Paused = true
}

// Resume ends a pause.
func (network *Network) Resume(name ident.DaemonID) {
	host := network.Nodes[name]
	host.Paused = false
	backlog := host.backlog
	host.backlog = nil
	for _, event := range backlog {
		network.HandleEvent(host, event)
	}
}

func (network *Network) tick(host *Host) {
	if !host.Paused {
		network.HandleEvent(host, node.Tick{})
	}
	generation := host.generation
	network.after(network.options.TickInterval, func() {
		if !host.Dead && host.generation == generation {
			network.tick(host)
		}
	})
}

// SendRequest sends a caller's request to a daemon.
func (network *Network) SendRequest(name ident.DaemonID, arrived node.RequestArrived) {
	host := network.Nodes[name]
	if network.options.PerfectKnowledge {
		network.sendEngineStates(host)
	}
	arrived.Stream = host.Node.NewStream()
	host.streams[arrived.Stream] = arrived.RequestID
	network.HandleEvent(host, arrived)
}

// DisconnectCaller closes the connection of a request's caller.
func (network *Network) DisconnectCaller(host *Host, request string) {
	for stream, id := range host.streams {
		if id == request {
			network.HandleEvent(host, node.CallerDisconnected{Stream: stream})
			return
		}
	}
}

// HandleEvent passes an event to a node and carries out its effects.
func (network *Network) HandleEvent(host *Host, event node.Event) {
	if host.Dead {
		return
	}
	if host.Paused {
		host.backlog = append(host.backlog, event)
		return
	}
	network.Steps++
	for _, next := range host.Node.Step(network.Now, event) {
		network.perform(host, next)
	}
}

func (network *Network) perform(host *Host, next effect.Effect) {
	switch next := next.(type) {
	case effect.Send:
		network.send(host, next)
	case effect.Answer:
		request := host.streams[next.Stream]
		delete(host.streams, next.Stream)
		network.Answers[request] = append(network.Answers[request], next)
		network.options.Observer.requestAnswered(network.Now, request, next)
	case effect.Rebind:
		host.streams[next.To] = host.streams[next.From]
		delete(host.streams, next.From)
	case effect.StartRun:
		network.Engines[next.Engine].start(host, next)
	case effect.CancelRun:
		network.Engines[next.Engine].cancel(host, next)
	case effect.Load:
		network.Engines[next.Engine].load(host, next)
	case effect.Unload:
		network.Engines[next.Engine].unload(host, next)
	case effect.ReadEngine:
		network.Engines[next.Engine].read(host, next)
	case effect.ReadVMList:
		network.after(network.options.Delay, func() { network.readVMList(host) })
	case effect.CallService:
		network.ServiceCalls[next.Service+"/"+host.streams[next.Stream]]++
		network.after(network.options.Delay, func() {
			network.HandleEvent(host, node.ServiceEnded{
				Stream: next.Stream, Outcome: outcome.Done(), Stored: &message.StoredAnswer{Status: 200},
			})
		})
	case effect.WatchConfig, effect.ReadConfigPart, effect.AssembleConfig:
		network.performConfigEffect(host, next)
	case effect.Audit:
		network.Audits = append(network.Audits, next)
	}
}

func (network *Network) send(from *Host, sent effect.Send) {
	if network.OnSend != nil {
		network.OnSend(from.Name, sent.To, sent.Message)
	}
	if network.Blocked[Direction{From: from.Name, To: sent.To}] || network.random.Float64() < network.DropShare {
		return
	}
	if to, known := network.Nodes[sent.To]; known && to.VM.Region != from.VM.Region {
		return // daemons connect within their region only
	}
	deliver := func() {
		if to, known := network.Nodes[sent.To]; known {
			network.HandleEvent(to, node.MessageReceived{From: from.Name, Message: sent.Message})
		}
	}
	network.after(network.transitTime(), deliver)
	if network.draw(network.DuplicateShare) {
		network.after(network.transitTime(), deliver)
	}
}

// draw reports true for the given share of calls. It draws no random number for a
// share of 0, so that a disabled fault does not change the other draws.
func (network *Network) draw(share float64) bool {
	return share > 0 && network.random.Float64() < share
}

func (network *Network) transitTime() clock.Millis {
	if network.draw(network.SlowShare) {
		return network.options.Delay + clock.Millis(network.random.Int64N(int64(network.MaxSlowDelay)+1))
	}
	if network.options.Jitter <= 0 {
		return network.options.Delay
	}
	return network.options.Delay + clock.Millis(network.random.Int64N(int64(network.options.Jitter)+1))
}

// Run advances the virtual time and processes the events that become due.
func (network *Network) Run(duration clock.Millis) {
	end := network.Now + duration
	for len(network.queue) > 0 && network.queue[0].at <= end {
		event := heap.Pop(&network.queue).(scheduledEvent)
		network.Now = event.at
		event.run()
	}
	network.Now = end
}

// RunUntil advances the virtual time until the condition holds or the duration
// has passed, and reports whether the condition holds.
func (network *Network) RunUntil(duration clock.Millis, condition func() bool) bool {
	end := network.Now + duration
	for !condition() {
		if len(network.queue) == 0 || network.queue[0].at > end {
			return false
		}
		event := heap.Pop(&network.queue).(scheduledEvent)
		network.Now = event.at
		event.run()
	}
	return true
}

// After calls a function once the duration has passed.
func (network *Network) After(duration clock.Millis, do func()) {
	network.after(duration, do)
}

func (network *Network) after(duration clock.Millis, do func()) {
	network.sequence++
	heap.Push(&network.queue, scheduledEvent{at: network.Now + duration, order: network.sequence, run: do})
}
