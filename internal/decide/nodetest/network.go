// Package nodetest drives several nodes of the decision machines in one
// goroutine on virtual time, joined by a small network and served by fake
// engines and a fake weight store. It is for tests and replays: everything it
// does follows from its seed.
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

// Start is the point in virtual time at which every network begins.
const Start clock.Millis = 1_000_000_000

// Options describe a network.
type Options struct {
	Seed uint64
	// Delay is the span that a message takes; Jitter is added at random.
	Delay  clock.Millis
	Jitter clock.Millis
	// TickInterval is the span between two ticks of a node.
	TickInterval clock.Millis
	Config       config.Config
	VMs          []members.VM
	Engine       EngineOptions
	// UseConfigService says that daemons learn the configuration from the network's
	// configuration service; otherwise it is handed to each at its start.
	UseConfigService bool
	// Node completes the options of each node; identity is set by the network.
	Node node.Options
	// Observer is told what happens.
	Observer Observer
	// PerfectKnowledge gives every daemon the present state of every engine before each
	// arrival: the perfect knowledge that baselines of a replay have.
	PerfectKnowledge bool
}

// Network is a set of nodes with everything around them.
type Network struct {
	Now     clock.Millis
	Nodes   map[ident.DaemonID]*Host
	Engines map[ident.EngineID]*Engine
	Service *ConfigService
	// Answers holds what callers were told, by request id.
	Answers map[string][]effect.Answer
	// Audits holds every audited change, in order.
	Audits []effect.Audit
	// ServiceCalls counts the calls that plain services ran, by stream.
	ServiceCalls map[string]int
	// Blocked lists directions in which nothing arrives.
	Blocked map[Direction]bool
	// DropShare is the share of messages that are lost, from 0 to 1.
	DropShare float64
	// DuplicateShare is the share of messages that arrive twice, and SlowShare the
	// share that takes up to SlowSpan longer, overtaken by later ones.
	DuplicateShare float64
	SlowShare      float64
	MaxSlowDelay   clock.Millis
	// VMListLag is how old the VM list is that a daemon reads; ListDown lists the
	// daemons that cannot read it.
	VMListLag         map[ident.DaemonID]clock.Millis
	VMListUnavailable map[ident.DaemonID]bool
	// Steps counts the events that nodes have taken in.
	Steps int
	// OnSend sees every message that one daemon sends to another.
	OnSend func(from, to ident.DaemonID, sent message.Message)

	options  Options
	random   *rand.Rand
	queue    timeline
	sequence uint64
	store    store
	snapshot *config.Snapshot
	lists    []timedList // every version of the VM list, in order
}

type timedList struct {
	at   clock.Millis
	list members.List
}

// Direction is one way between two daemons.
type Direction struct{ From, To ident.DaemonID }

// Host is one daemon's place in the network.
type Host struct {
	Name ident.DaemonID
	Node *node.Node
	// Paused hosts keep what arrives until they are resumed.
	Paused bool
	Dead   bool
	VM     members.VM

	life    uint64
	backlog []node.Event
	streams map[ident.StreamID]string // request ids by present stream
}

// New returns a network whose nodes have read the configuration and VM list.
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

// Boot starts a daemon that knows nothing, on a VM of the list.
func (network *Network) Boot(vm members.VM) *Host {
	name := ident.DaemonID(vm.Name)
	options := network.options.Node
	options.Self, options.DataCentre, options.Region = name, vm.DataCentre, vm.Region
	options.StartedAt, options.Incarnation = network.Now, ident.Incarnation(network.Now)
	network.sequence++
	host := &Host{Name: name, Node: node.New(options), VM: vm, life: network.sequence, streams: map[ident.StreamID]string{}}
	network.Nodes[name] = host
	if !network.options.UseConfigService {
		network.HandleEvent(host, node.ConfigRead{Snapshot: network.snapshot})
	}
	network.readLists(host)
	network.tick(host)
	return host
}

// publishVMs adds a version of the VM list.
func (network *Network) publishVMs() {
	version := uint64(len(network.lists) + 1)
	network.lists = append(network.lists, timedList{at: network.Now, list: members.List{
		Version: version, VMs: slices.Clone(network.options.VMs),
	}})
}

// VMs returns a copy of the VM list as last published.
func (network *Network) VMs() []members.VM {
	return slices.Clone(network.options.VMs)
}

// SetVMs publishes a VM list. Daemons read it at once, unless their reading lags
// or fails.
func (network *Network) SetVMs(vms []members.VM) {
	network.options.VMs = vms
	network.publishVMs()
	for _, host := range network.hosts() {
		network.readList(host)
	}
}

// listInterval is the span between two readings of the VM list.
const listInterval = clock.Second

func (network *Network) readLists(host *Host) {
	network.readList(host)
	life := host.life
	network.after(listInterval, func() {
		if !host.Dead && host.life == life {
			network.readLists(host)
		}
	})
}

// readList lets a daemon read the VM list, as old as its lag makes it. A paused
// daemon reads nothing.
func (network *Network) readList(host *Host) {
	if host.Paused || host.Dead || network.VMListUnavailable[host.Name] {
		return
	}
	shown := network.lists[0].list
	for _, version := range network.lists {
		if network.Now-version.at >= network.VMListLag[host.Name] {
			shown = version.list
		}
	}
	network.HandleEvent(host, node.VMListRead{View: members.NewView(shown, network.Now)})
}

// Kill ends a daemon without a word. Its peers notice the lost connections.
func (network *Network) Kill(name ident.DaemonID) {
	network.Nodes[name].Dead = true
	for _, host := range network.hosts() {
		network.loseLanes(host, name)
	}
}

func (network *Network) loseLanes(host *Host, peer ident.DaemonID) {
	for lane := range message.LaneCount {
		network.after(network.options.Delay, func() { network.HandleEvent(host, node.PeerLost{Peer: peer, Lane: lane}) })
	}
}

// Pause freezes a daemon; Resume lets it go on with what arrived meanwhile.
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
	life := host.life
	network.after(network.options.TickInterval, func() {
		if !host.Dead && host.life == life {
			network.tick(host)
		}
	})
}

// SendRequest brings a caller's request to a daemon.
func (network *Network) SendRequest(name ident.DaemonID, arrived node.RequestArrived) {
	host := network.Nodes[name]
	if network.options.PerfectKnowledge {
		network.refresh(host)
	}
	arrived.Stream = host.Node.NewStream()
	host.streams[arrived.Stream] = arrived.RequestID
	network.HandleEvent(host, arrived)
}

// DisconnectCaller closes the connection of the caller of a request.
func (network *Network) DisconnectCaller(host *Host, request string) {
	for stream, id := range host.streams {
		if id == request {
			network.HandleEvent(host, node.CallerDisconnected{Stream: stream})
			return
		}
	}
}

// HandleEvent steps a node with an event and carries out what follows.
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
		network.after(network.options.Delay, func() { network.readList(host) })
	case effect.CallService:
		network.ServiceCalls[next.Service+"/"+host.streams[next.Stream]]++
		network.after(network.options.Delay, func() {
			network.HandleEvent(host, node.ServiceEnded{
				Stream: next.Stream, Outcome: outcome.Done(), Stored: &message.StoredAnswer{Status: 200},
			})
		})
	case effect.WatchConfig, effect.ReadConfigPart, effect.AssembleConfig:
		network.performConfig(host, next)
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
	network.after(network.transit(), deliver)
	if network.chance(network.DuplicateShare) {
		network.after(network.transit(), deliver)
	}
}

// chance draws only for shares above zero, so that a fault that is off does not
// change what others draw.
func (network *Network) chance(share float64) bool {
	return share > 0 && network.random.Float64() < share
}

func (network *Network) transit() clock.Millis {
	if network.chance(network.SlowShare) {
		return network.options.Delay + clock.Millis(network.random.Int64N(int64(network.MaxSlowDelay)+1))
	}
	if network.options.Jitter <= 0 {
		return network.options.Delay
	}
	return network.options.Delay + clock.Millis(network.random.Int64N(int64(network.options.Jitter)+1))
}

// Run lets virtual time pass.
func (network *Network) Run(span clock.Millis) {
	end := network.Now + span
	for len(network.queue) > 0 && network.queue[0].at <= end {
		next := heap.Pop(&network.queue).(happening)
		network.Now = next.at
		next.do()
	}
	network.Now = end
}

// RunUntil lets time pass until the condition holds or the span has passed, and
// reports whether it holds.
func (network *Network) RunUntil(span clock.Millis, condition func() bool) bool {
	end := network.Now + span
	for !condition() {
		if len(network.queue) == 0 || network.queue[0].at > end {
			return false
		}
		next := heap.Pop(&network.queue).(happening)
		network.Now = next.at
		next.do()
	}
	return true
}

// After does something once the span has passed.
func (network *Network) After(span clock.Millis, do func()) {
	network.after(span, do)
}

func (network *Network) after(span clock.Millis, do func()) {
	network.sequence++
	heap.Push(&network.queue, happening{at: network.Now + span, order: network.sequence, do: do})
}
