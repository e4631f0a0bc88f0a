package ownership

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/lifecycle"
)

// State is where a daemon stands with one engine.
type State string

// States of a tenure.
const (
	// Idle: the engine is another daemon's, or nobody's.
	Idle State = ""
	// Waiting: this daemon is the first candidate and waits until no former
	// owner can act.
	Waiting State = "Waiting"
	// Owning: this daemon may give orders.
	Owning State = "Owning"
	// Yielding: this daemon gives no more orders, and hands over once those
	// under way have ended.
	Yielding State = "Yielding"
)

type tenureEvent string

const (
	wait     tenureEvent = "Wait"
	claim    tenureEvent = "Claim"
	yield    tenureEvent = "Yield"
	withdraw tenureEvent = "Withdraw"
)

var tenureTable = lifecycle.New("tenure", []lifecycle.Transition[State, tenureEvent]{
	{Event: wait, From: []State{Idle, Owning}, To: Waiting},
	{Event: claim, From: []State{Waiting}, To: Owning},
	{Event: yield, From: []State{Owning}, To: Yielding},
	{Event: withdraw, From: []State{Idle, Waiting, Owning, Yielding}, To: Idle},
})

// Action is what follows from a revision.
type Action int

// Actions.
const (
	Stay Action = iota
	// Claim: the daemon has become the owner.
	Claim
	// Yield: the daemon is to hand over.
	Yield
)

// Facts are what a daemon knows about one engine at a revision.
type Facts struct {
	// First says that the daemon is the first candidate.
	First bool
	// ChecksFencing says that the engine refuses old fencing numbers.
	ChecksFencing bool
	// Fresh says that the view of the VM list is young enough to act on.
	Fresh bool
	// Occupied says that another daemon owns the engine and is heard from. It
	// counts only for engines that check fencing numbers.
	Occupied bool
	// ListReadAt is when the list that First rests on was read.
	ListReadAt clock.Millis
	// Asked says that the first candidate has asked for the engine.
	Asked bool
	// HandedOver says that the former owner has passed the engine on within the
	// handover span.
	HandedOver bool
}

// Tenure decides whether a daemon owns one engine.
type Tenure struct {
	state State
	since clock.Millis // begin of the wait
	// firstAt is when the last list was read that named this daemon first.
	firstAt clock.Millis
	// notBefore delays a claim after this daemon has been outbid.
	notBefore clock.Millis
	options   Options
}

// New returns the tenure of an engine that the daemon does not own. A claim is
// not made before the given time, so that a new daemon first listens.
func New(options Options, notBefore clock.Millis) *Tenure {
	return &Tenure{options: options, notBefore: notBefore}
}

// State returns where the daemon stands.
func (tenure *Tenure) State() State {
	return tenure.state
}

// Revise takes in what is known now and returns what follows.
func (tenure *Tenure) Revise(now clock.Millis, facts Facts) Action {
	if !facts.First {
		return tenure.notFirst(now, facts)
	}
	tenure.firstAt = max(tenure.firstAt, facts.ListReadAt)
	if tenure.state == Idle {
		tenureTable.Must(&tenure.state, wait)
		tenure.since = now
	}
	if tenure.state == Waiting && facts.Fresh && tenure.due(now, facts) {
		tenureTable.Must(&tenure.state, claim)
		return Claim
	}
	return Stay
}

// notFirst gives up a wait at once, and an engine when its first candidate asks
// for it or the time is over for which the last list may be acted on. The first
// candidate may read its list later than this daemon.
func (tenure *Tenure) notFirst(now clock.Millis, facts Facts) Action {
	switch tenure.state {
	case Waiting:
		tenureTable.Must(&tenure.state, withdraw)
	case Owning:
		if facts.Asked || now >= tenure.OrdersUntil() {
			tenureTable.Must(&tenure.state, yield)
			return Yield
		}
	}
	return Stay
}

// OrdersUntil returns when the leave to give orders ends that rests on the last
// list that named this daemon first. It binds at engines that ignore fencing
// numbers.
func (tenure *Tenure) OrdersUntil() clock.Millis {
	return tenure.firstAt + tenure.options.ViewAge
}

// due reports whether no former owner can act any more, or the engine itself
// would refuse one.
func (tenure *Tenure) due(now clock.Millis, facts Facts) bool {
	switch {
	case facts.HandedOver:
		return true
	case now < tenure.notBefore:
		return false
	case facts.ChecksFencing:
		return !facts.Occupied || now-tenure.since >= tenure.options.HoldDown()
	default:
		return now-tenure.since >= tenure.options.HoldDown()
	}
}

// Interrupt starts the wait anew: what happened since the last list is unknown.
// It reports whether the daemon was the owner.
func (tenure *Tenure) Interrupt(now clock.Millis) bool {
	owned := tenure.state == Owning
	if owned {
		tenureTable.Must(&tenure.state, wait)
	}
	if tenure.state == Waiting {
		tenure.since = now
	}
	return owned
}

// Withdraw ends the tenure: the handover is done, the engine is no longer
// configured, or a higher number has been seen.
func (tenure *Tenure) Withdraw(now clock.Millis, outbid bool) {
	tenureTable.Must(&tenure.state, withdraw)
	if outbid {
		tenure.notBefore = now + tenure.options.HoldDown()
	}
}

// Heard is the highest claim of an engine that a daemon has heard of.
type Heard struct {
	Owner       ident.DaemonID
	Incarnation ident.Incarnation
	Fence       ident.Fence
}
