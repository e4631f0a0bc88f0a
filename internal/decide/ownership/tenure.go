package ownership

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/lifecycle"
)

// State is a daemon's ownership state for one engine.
type State string

// Ownership states.
const (
	// Idle: this daemon neither owns the engine nor waits to own it.
	Idle State = ""
	// Waiting: this daemon is the first candidate and waits until no former owner can
	// send orders.
	Waiting State = "Waiting"
	// Owning: this daemon may send orders.
	Owning State = "Owning"
	// Yielding: this daemon starts nothing more and hands over once its unload orders in
	// progress have ended.
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

// Action is what a daemon must do after Revise.
type Action int

// Actions of a daemon.
const (
	NoAction Action = iota
	// Claim: the daemon has become the owner.
	Claim
	// Yield: the daemon must hand over the engine.
	Yield
)

// Facts are what a daemon knows about one engine when Revise is called.
type Facts struct {
	// First is set if the daemon is the first candidate.
	First bool
	// ChecksFencing is set if the engine refuses old fencing numbers.
	ChecksFencing bool
	// ListFresh is set if the VM list was read recently enough to act on it.
	ListFresh bool
	// OwnedByLiveDaemon is set if another daemon owns the engine and is not silent. It is
	// used only for engines that check fencing numbers.
	OwnedByLiveDaemon bool
	// ListReadAt is when the VM list that First is based on was read.
	ListReadAt clock.Millis
	// HandoverRequested is set if the first candidate has requested a handover.
	HandoverRequested bool
	// HandedOver is set if the former owner has handed over the engine recently enough
	// to replace the hold-down.
	HandedOver bool
}

// Tenure decides whether a daemon owns one engine.
type Tenure struct {
	state        State
	waitingSince clock.Millis // start of the wait
	// lastFirstAt is when the last VM list that made this daemon the first candidate
	// was read.
	lastFirstAt clock.Millis
	// notBefore is the earliest time of a claim without a handover. It is set at creation
	// and after another daemon's claim with a higher fencing number.
	notBefore clock.Millis
	options   Options
}

// New returns the tenure of an engine that the daemon does not own. Without a handover,
// the daemon does not claim the engine before the given time, so that a new daemon first
// receives the claims of others.
func New(options Options, notBefore clock.Millis) *Tenure {
	return &Tenure{options: options, notBefore: notBefore}
}

// State returns the ownership state.
func (tenure *Tenure) State() State {
	return tenure.state
}

// Revise updates the state from what is known now and returns the resulting action.
func (tenure *Tenure) Revise(now clock.Millis, facts Facts) Action {
	if !facts.First {
		return tenure.reviseNotFirst(now, facts)
	}
	tenure.lastFirstAt = max(tenure.lastFirstAt, facts.ListReadAt)
	if tenure.state == Idle {
		tenureTable.MustApply(&tenure.state, wait)
		tenure.waitingSince = now
	}
	if tenure.state == Waiting && facts.ListFresh && tenure.mayClaim(now, facts) {
		tenureTable.MustApply(&tenure.state, claim)
		return Claim
	}
	return NoAction
}

// reviseNotFirst ends a wait at once. It yields an owned engine when the first candidate
// requests it or when the last list that made this daemon the first candidate may no
// longer be acted on. It does not yield earlier, because the first candidate may read
// its list later than this daemon.
func (tenure *Tenure) reviseNotFirst(now clock.Millis, facts Facts) Action {
	switch tenure.state {
	case Waiting:
		tenureTable.MustApply(&tenure.state, withdraw)
	case Owning:
		if facts.HandoverRequested || now >= tenure.OrdersUntil() {
			tenureTable.MustApply(&tenure.state, yield)
			return Yield
		}
	}
	return NoAction
}

// OrdersUntil returns when the permission to send orders ends, which is based on the
// last VM list that made this daemon the first candidate. It must be obeyed for
// engines that ignore fencing numbers.
func (tenure *Tenure) OrdersUntil() clock.Millis {
	return tenure.lastFirstAt + tenure.options.MaxListAge
}

// mayClaim reports whether no former owner can send orders any more, or the engine
// itself would refuse them. An engine that checks fencing numbers is not taken from a
// live owner before the hold-down has passed.
func (tenure *Tenure) mayClaim(now clock.Millis, facts Facts) bool {
	switch {
	case facts.HandedOver:
		return true
	case now < tenure.notBefore:
		return false
	case facts.ChecksFencing:
		return !facts.OwnedByLiveDaemon || now-tenure.waitingSince >= tenure.options.HoldDown()
	default:
		return now-tenure.waitingSince >= tenure.options.HoldDown()
	}
}

// Interrupt turns an ownership into a wait and restarts a wait that is in progress,
// because the VM list was not read for too long: another daemon may have owned the
// engine meanwhile. It reports whether the daemon was the owner.
func (tenure *Tenure) Interrupt(now clock.Millis) bool {
	owned := tenure.state == Owning
	if owned {
		tenureTable.MustApply(&tenure.state, wait)
	}
	if tenure.state == Waiting {
		tenure.waitingSince = now
	}
	return owned
}

// Withdraw ends the ownership or the wait: the handover is done, the engine is no
// longer configured, or another daemon has claimed it with a higher fencing number
// (outbid). After being outbid, the daemon does not claim the engine again for the
// duration of HoldDown.
func (tenure *Tenure) Withdraw(now clock.Millis, outbid bool) {
	tenureTable.MustApply(&tenure.state, withdraw)
	if outbid {
		tenure.notBefore = now + tenure.options.HoldDown()
	}
}

// EngineClaim is the claim to an engine with the highest fencing number that a daemon
// has received or made itself.
type EngineClaim struct {
	Owner       ident.DaemonID
	Incarnation ident.Incarnation
	Fence       ident.Fence
}
