// Package node joins the decision machines of one daemon: entry, owner, home
// and load broker. A Node does no I/O, reads no clock and starts no goroutine:
// Step takes the time and an event, and returns the effects to carry out. A
// bench can therefore drive many nodes on virtual time; docs/DESIGN.md
// describes this surface.
//
// A Node is not safe for concurrent use.
package node

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/home"
	"teaselmoor/internal/decide/loads"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/owner"
	"teaselmoor/internal/decide/ownership"
	"teaselmoor/internal/decide/placement"
	"teaselmoor/internal/decide/rollout"
)

// Options are a daemon's identity and limits.
type Options struct {
	Self        ident.DaemonID
	Incarnation ident.Incarnation
	DataCentre  string
	Region      string
	StartedAt   clock.Millis
	Owner       owner.Options
	Home        home.Options
	Loads       loads.Options
	Weights     placement.Weights
	Rollout     rollout.Options
	// Placement makes the placement policy; nil makes the product's own, from Weights.
	Placement func() placement.Policy
	Ownership ownership.Options
	// RetryShare is the number of repeated attempts allowed per first attempt.
	RetryShare float64
	// MinUpdateInterval is the shortest span between two updates to other daemons.
	MinUpdateInterval clock.Millis
	// EngineReadInterval is the span between two reads of an owned engine's report.
	EngineReadInterval clock.Millis
}

// DefaultOptions returns options with every limit set, for a daemon to complete.
func DefaultOptions() Options {
	return Options{
		Owner:              owner.DefaultOptions(),
		Home:               home.DefaultOptions(),
		Loads:              loads.DefaultOptions(),
		Weights:            placement.DefaultWeights(),
		Rollout:            rollout.DefaultOptions(),
		Ownership:          ownership.DefaultOptions(),
		RetryShare:         0.1,
		MinUpdateInterval:  250 * clock.Millisecond,
		EngineReadInterval: clock.Second,
	}
}

// Node is the decision state of one daemon.
type Node struct {
	options  Options
	now      clock.Millis
	sequence uint64
	config   *config.Snapshot // what rollout has accepted
	rollout  *rollout.Rollout
	vms      *members.View

	requests map[ident.StreamID]*request // entry role
	finishes map[ident.StreamID]*finish  // by a request's first stream
	orphans  []orphan
	retries  retryBudget
	limits   limiter[string] // by caller
	owning   owning          // owner role
	repeats  repeats
	peers    *members.Peers
	news     news
	views    *placement.Views
	policy   placement.Policy
	home     *home.Home               // home role
	brokers  map[string]*loads.Broker // load broker role, by weight store
	fallback map[string]clock.Millis  // next load without the broker, by weight store

	// regionNames are the region's live daemons, and remoteNames those of each
	// other data centre; localNames are those of the own one, leaving ones too.
	regionNames []ident.DaemonID
	localNames  []ident.DaemonID
	remoteNames map[string][]ident.DaemonID

	draining bool
	// drainingSince is when the graceful end began, busyAt when anything was last
	// in progress since.
	drainingSince, busyAt clock.Millis
	// informed says that every engine of the region was heard of once.
	informed bool
	local    []message.Message // sent to itself, not delivered yet
	effects  []effect.Effect
}

// New returns the node of a daemon that knows nothing yet.
func New(options Options) *Node {
	return &Node{
		options:  options,
		rollout:  rollout.New(options.Self, options.Rollout),
		requests: map[ident.StreamID]*request{},
		finishes: map[ident.StreamID]*finish{},
		limits:   newLimiter[string](),
		retries:  retryBudget{share: options.RetryShare},
		owning:   newOwning(),
		repeats:  newRepeats(),
		peers:    members.NewPeers(options.StartedAt),
		news:     newNews(),
		views:    placement.NewViews(),
		policy:   options.policy(),
		home:     home.New(options.Self, options.Home),
		brokers:  map[string]*loads.Broker{},
		fallback: map[string]clock.Millis{},
	}
}

func (options *Options) policy() placement.Policy {
	if options.Placement != nil {
		return options.Placement()
	}
	return placement.New(options.Weights)
}

// NewStream returns an id for an arriving request.
func (node *Node) NewStream() ident.StreamID {
	node.sequence++
	return ident.StreamID{
		Daemon:      node.options.Self,
		Incarnation: node.options.Incarnation,
		Sequence:    node.sequence,
	}
}

// Config returns the configuration in force, nil before the first.
func (node *Node) Config() *config.Snapshot {
	return node.config
}

// Step takes in one event and returns the effects, in order.
func (node *Node) Step(now clock.Millis, event Event) []effect.Effect {
	node.now = now
	node.checkPause()
	node.handle(event)
	node.deliverLocal()
	effects := node.effects
	node.effects = nil
	return effects
}

func (node *Node) handle(event Event) {
	switch event := event.(type) {
	case RequestArrived:
		node.arrived(event)
	case CallerDisconnected:
		node.callerDisconnected(event.Stream)
	case AnswerStarted:
		node.answerStarted(event)
	case ServiceEnded:
		node.serviceEnded(event)
	case AnswerReceived:
		node.answerReceived(event)
	case MessageReceived:
		node.received(event.From, event.Message)
	case PeerLost:
		node.peers.Lost(event.Peer)
		node.views.LoseOwner(event.Peer)
		node.peerLost(event)
	case RunEnded:
		node.runEnded(event)
	case LoadEnded:
		node.loadEnded(event)
	case UnloadEnded:
		node.unloadEnded(event)
	case EngineReported:
		node.engineReported(event)
	case ConfigRead:
		node.configEffects(node.rollout.Adopt(node.now, event.Snapshot))
	case ConfigWatched:
		node.configEffects(node.rollout.Watched(node.now, event.Result))
	case ConfigPartRead:
		node.configEffects(node.rollout.PartRead(node.now, event.Name, event.Body, event.Failed))
	case ConfigAssembled:
		node.configEffects(node.rollout.Assembled(node.now, event.Mark, event.Snapshot, event.Cause))
	case VMListRead:
		node.vmListRead(event.View)
	case Tick:
		node.tick()
	case Shutdown:
		node.shutdown()
	}
}

// received routes a message to the role that it is for.
func (node *Node) received(from ident.DaemonID, received message.Message) {
	node.peers.Touch(node.now, from)
	switch received := received.(type) {
	case message.Submit:
		node.submitArrived(from, received)
	case message.Cancel:
		node.cancelled(received)
	case message.Dispatched:
		node.dispatched(received)
	case message.Ended:
		node.attemptEnded(from, received)
	case message.HomeBegin:
		node.homeEffects(node.home.Begin(node.now, received))
	case message.HomeDecision:
		node.homeVerdict(from, received)
	case message.HomeFinish:
		node.homeEffects(node.home.Finish(node.now, received))
	case message.HomeFinished:
		node.homeFinished(received)
	case message.HomeCopy:
		node.homeEffects(node.home.Copied(node.now, received))
	case message.HomeCopyAck:
		node.homeEffects(node.home.CopyConfirmed(received))
	case message.HomeCopyDelete:
		node.homeEffects(node.home.Forgotten(received))
	case message.LoadRequest:
		node.loadAsk(from, received)
	case message.LoadGrant:
		node.loadGrant(received)
	case message.LoadDecision:
		node.loadVerdict(received)
	case message.LoadDone:
		node.loadDone(received)
	case message.EngineState:
		node.engineState(received)
	case message.ConfigOffer:
		node.configEffects(node.rollout.Offered(node.now, from, received))
	case message.ConfigFetch:
		node.configEffects(node.rollout.Fetched(node.now, from, received))
	case message.ConfigPart:
		node.configEffects(node.rollout.Part(node.now, received))
	case message.Update:
		node.updated(received)
	case message.FullUpdateRequest:
		node.updateAsked(received)
	case message.HandoverRequest:
		node.handoverAsked(from, received)
	case message.HigherClaim:
		node.outbidHeard(received)
	case message.RequestMoved:
		node.moved(received)
	case message.Handover:
		node.handedOver(from, received)
	}
}

func (node *Node) emit(next ...effect.Effect) {
	node.effects = append(node.effects, next...)
}

// send sends a message; one to itself is delivered within the same step.
func (node *Node) send(to ident.DaemonID, sent message.Message) {
	if to == node.options.Self {
		node.local = append(node.local, sent)
		return
	}
	node.emit(effect.Send{To: to, Message: sent})
}

func (node *Node) deliverLocal() {
	for len(node.local) > 0 {
		next := node.local[0]
		node.local = node.local[1:]
		node.received(node.options.Self, next)
	}
}

func (node *Node) tick() {
	node.configEffects(node.rollout.Tick(node.now))
	node.homeEffects(node.home.Tick(node.now))
	for _, store := range slices.Sorted(maps.Keys(node.brokers)) {
		node.sendReplies(node.brokers[store].Tick(node.now))
	}
	node.reviseOwnership()
	for _, engine := range node.ownedInOrder() {
		held := node.owning.owned[engine]
		node.tickOwned(engine, held)
		node.tickYield(engine, held)
	}
	node.expireEarly()
	node.viewOwn()
	node.tickNews()
	node.tickFallback()
	node.tickRequests()
	node.tickShutdown()
}
