// Package node combines the decision state machines of one daemon: entry, owner,
// home and load broker. A Node does no I/O, reads no clock and starts no goroutine:
// Step takes the time and an event and returns the effects to carry out, so that a
// test can drive many nodes on virtual time. docs/DESIGN.md describes this
// interface.
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
	// Placement returns the placement policy; nil means the default policy with
	// Weights.
	Placement func() placement.Policy
	Ownership ownership.Options
	// RetryShare is the number of repeated attempts allowed per first attempt.
	RetryShare float64
	// MinUpdateInterval is the minimum time between two updates to other daemons.
	MinUpdateInterval clock.Millis
	// EngineReadInterval is the time between two reads of an owned engine's report.
	EngineReadInterval clock.Millis
}

// DefaultOptions returns options with default limits. The daemon fills in its
// identity.
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
	config   *config.Snapshot // accepted by rollout
	rollout  *rollout.Rollout
	vms      *members.View

	requests           map[ident.StreamID]*request       // entry role
	pendingFinishes    map[ident.StreamID]*pendingFinish // by the request's first stream
	orphans            []orphan                          // runs to cancel at their engine's next owner
	retries            retryBudget
	limits             limiter[string] // by caller
	ownerRole          ownerRole
	submitHistory      submitHistory
	peers              *members.Peers
	updates            updateState
	views              *placement.Views
	policy             placement.Policy
	home               *home.Home               // home role
	brokers            map[string]*loads.Broker // load broker role, by weight store
	nextFallbackLoadAt map[string]clock.Millis  // earliest next load without the broker, by weight store

	// regionNames are the region's live daemons. remoteNames are those of each
	// other data centre. localNames are those of this data centre, including
	// leaving ones.
	regionNames []ident.DaemonID
	localNames  []ident.DaemonID
	remoteNames map[string][]ident.DaemonID

	draining bool
	// drainingSince is when the shutdown began; lastBusyAt is when work was last in
	// progress since then.
	drainingSince, lastBusyAt clock.Millis
	// enginesKnown is set once the state of every engine of the region is known, or
	// the warm-up has timed out.
	enginesKnown  bool
	localMessages []message.Message // messages to this daemon itself, not delivered yet
	effects       []effect.Effect
}

// New returns the node of a daemon that has no configuration, VM list or engine
// states yet.
func New(options Options) *Node {
	return &Node{
		options:            options,
		rollout:            rollout.New(options.Self, options.Rollout),
		requests:           map[ident.StreamID]*request{},
		pendingFinishes:    map[ident.StreamID]*pendingFinish{},
		limits:             newLimiter[string](),
		retries:            retryBudget{share: options.RetryShare},
		ownerRole:          newOwnerRole(),
		submitHistory:      newSubmitHistory(),
		peers:              members.NewPeers(options.StartedAt),
		updates:            newUpdateState(),
		views:              placement.NewViews(),
		policy:             options.policy(),
		home:               home.New(options.Self, options.Home),
		brokers:            map[string]*loads.Broker{},
		nextFallbackLoadAt: map[string]clock.Millis{},
	}
}

func (options *Options) policy() placement.Policy {
	if options.Placement != nil {
		return options.Placement()
	}
	return placement.New(options.Weights)
}

// NewStream returns a new stream id for an arriving request.
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

// Step processes one event and returns the effects in order.
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
		node.requestArrived(event)
	case CallerDisconnected:
		node.callerDisconnected(event.Stream)
	case AnswerStarted:
		node.answerStarted(event)
	case ServiceEnded:
		node.serviceEnded(event)
	case AnswerReceived:
		node.answerReceived(event)
	case MessageReceived:
		node.messageReceived(event.From, event.Message)
	case PeerLost:
		node.peers.MarkDisconnected(event.Peer)
		node.views.MarkOwnerLost(event.Peer)
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
		node.configEffects(node.rollout.HandleWatchResult(node.now, event.Result))
	case ConfigPartRead:
		node.configEffects(node.rollout.HandlePartRead(node.now, event.Name, event.Body, event.Failed))
	case ConfigAssembled:
		node.configEffects(node.rollout.HandleAssembled(node.now, event.Mark, event.Snapshot, event.Cause))
	case VMListRead:
		node.vmListRead(event.View)
	case Tick:
		node.tick()
	case Shutdown:
		node.shutdown()
	}
}

// messageReceived dispatches a message to the role that handles it.
func (node *Node) messageReceived(from ident.DaemonID, received message.Message) {
	node.peers.RecordContact(node.now, from)
	switch received := received.(type) {
	case message.Submit:
		node.submitReceived(from, received)
	case message.Cancel:
		node.cancelReceived(received)
	case message.Dispatched:
		node.attemptDispatched(received)
	case message.Ended:
		node.attemptEnded(from, received)
	case message.HomeBegin:
		node.homeEffects(node.home.Begin(node.now, received))
	case message.HomeDecision:
		node.homeDecided(from, received)
	case message.HomeFinish:
		node.homeEffects(node.home.Finish(node.now, received))
	case message.HomeFinished:
		node.homeFinished(received)
	case message.HomeCopy:
		node.homeEffects(node.home.StoreCopy(node.now, received))
	case message.HomeCopyAck:
		node.homeEffects(node.home.ConfirmCopy(received))
	case message.HomeCopyDelete:
		node.homeEffects(node.home.DeleteCopy(received))
	case message.LoadRequest:
		node.loadRequested(from, received)
	case message.LoadGrant:
		node.loadGranted(received)
	case message.LoadDecision:
		node.loadDecided(received)
	case message.LoadDone:
		node.leaseReturned(received)
	case message.EngineState:
		node.updateEngineView(received)
	case message.ConfigOffer:
		node.configEffects(node.rollout.HandleOffer(node.now, from, received))
	case message.ConfigFetch:
		node.configEffects(node.rollout.HandleFetch(node.now, from, received))
	case message.ConfigPart:
		node.configEffects(node.rollout.HandlePart(node.now, received))
	case message.Update:
		node.updateReceived(received)
	case message.FullUpdateRequest:
		node.fullUpdateRequested(received)
	case message.HandoverRequest:
		node.handoverRequested(from, received)
	case message.HigherClaim:
		node.higherClaimReceived(received)
	case message.RequestMoved:
		node.requestMoved(received)
	case message.Handover:
		node.handoverReceived(from, received)
	}
}

func (node *Node) emit(next ...effect.Effect) {
	node.effects = append(node.effects, next...)
}

// send emits a message. A message to this daemon is delivered within the same step.
func (node *Node) send(to ident.DaemonID, message message.Message) {
	if to == node.options.Self {
		node.localMessages = append(node.localMessages, message)
		return
	}
	node.emit(effect.Send{To: to, Message: message})
}

func (node *Node) deliverLocal() {
	for len(node.localMessages) > 0 {
		next := node.localMessages[0]
		node.localMessages = node.localMessages[1:]
		node.messageReceived(node.options.Self, next)
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
		owned := node.ownerRole.owned[engine]
		node.tickOwned(engine, owned)
		node.tickYield(engine, owned)
	}
	node.expireEarlySubmits()
	node.refreshOwnViews()
	node.tickUpdates()
	node.tickFallback()
	node.tickRequests()
	node.tickShutdown()
}
