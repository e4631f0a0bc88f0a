// Package message defines what daemons tell each other. The types are plain
// data; package link gives them their encoded form and carries them.
package message

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// Lane is the connection that a message travels on. Lanes never share a queue.
type Lane uint8

// Lanes of a connection set.
const (
	ControlLane Lane = iota
	UrgentLane
	RoutineLane
	// LaneCount is the number of lanes.
	LaneCount
)

// LaneOf returns the lane that carries requests of a class.
func LaneOf(class config.Class) Lane {
	if class == config.Urgent {
		return UrgentLane
	}
	return RoutineLane
}

// Message is one typed message between daemons.
type Message interface {
	// Lane says which connection carries the message.
	Lane() Lane
}

// Request is what a daemon needs to run a model request for another.
type Request struct {
	ID         string
	Caller     string
	Adapter    ident.Adapter
	Class      config.Class
	Repeatable bool
	// Path is the engine's API path, for example /v1/completions.
	Path string
	// Streaming says that the caller asked for server-sent events.
	Streaming bool
	Body      []byte
}

// Submit asks an engine's owner to run a request.
type Submit struct {
	Stream  ident.StreamID
	Engine  ident.EngineID
	Request Request
	// Budget is the span left until the answer must begin. A span, because
	// daemons' clocks differ.
	Budget clock.Millis
	// Resume asks for the rest of a run that the engine may already have.
	Resume bool
	// Received is the number of chunks of the run already delivered.
	Received uint64
	// PriorFence and PriorBoot are the owner's number and the engine's boot id
	// when the entry first handed the attempt on; a resumed attempt that the
	// engine does not know is judged by them.
	PriorFence ident.Fence
	PriorBoot  ident.BootID
	// Entry is set when an owner passes a waiting request on to the next one.
	Entry ident.DaemonID
	// Hops counts how often the request was passed on.
	Hops int
}

// Dispatched tells the entry that the engine has been sent the run.
type Dispatched struct {
	Stream ident.StreamID
	Class  config.Class
	Fence  ident.Fence
}

// Ended tells the entry how an attempt ended.
type Ended struct {
	Stream  ident.StreamID
	Class   config.Class
	Outcome outcome.Outcome
	// Dispatched tells whether the engine may have received the run.
	Dispatched bool
	// Chunks is the number of chunks sent in all, to detect a gap.
	Chunks uint64
	// Owner is the engine's present owner where a daemon that is not knows it.
	Owner ident.DaemonID
}

// Cancel asks the owner to give up an attempt.
type Cancel struct {
	Stream ident.StreamID
	Engine ident.EngineID
	Class  config.Class
}

// LoadRequest asks the broker of a weight store for leave to load.
type LoadRequest struct {
	Store    string
	Engine   ident.EngineID
	Adapter  ident.Adapter
	Class    config.Class
	Budget   clock.Millis
	Waiters  int
	Withdraw bool
}

// LoadGrant gives leave to load once, until the lease ends.
type LoadGrant struct {
	Store   string
	Engine  ident.EngineID
	Adapter ident.Adapter
	Lease   clock.Millis // span
}

// LoadDecision is the broker's answer to an ask.
type LoadDecision struct {
	Store   string
	Engine  ident.EngineID
	Adapter ident.Adapter
	// Refused says that the load cannot end within its budget.
	Refused bool
	// Wait is the span until the load ends; of a refused one, the span until the
	// loads that wait now are done.
	Wait clock.Millis
}

// LoadDone gives a lease back.
type LoadDone struct {
	Store   string
	Engine  ident.EngineID
	Adapter ident.Adapter
	Failed  bool
	// Unused says that no load was begun.
	Unused bool
}

// Heartbeat shows that a daemon lives, and what it has accepted.
type Heartbeat struct {
	From          ident.DaemonID
	Incarnation   ident.Incarnation
	ConfigVersion uint64
	Leaving       bool
}

// EngineState is an owner's word on one of its engines, for placement.
type EngineState struct {
	Engine  ident.EngineID
	Owner   ident.DaemonID
	Fence   ident.Fence
	Version uint64 // rises with every change at this owner
	// Resident lists adapters that are loaded or being loaded.
	Resident []ident.Adapter
	// Wanted lists adapters that requests wait for and no slot holds.
	Wanted []ident.Adapter
	// Spare is the number of requests that asked lately for the adapter that the
	// engine would evict next: 0 with an empty slot.
	Spare   float64
	Queued  int
	Running int
	// LoadsWaiting is the number of loads not begun yet.
	LoadsWaiting int
	// Reported is the age of the engine's own report when this was sent.
	ReportAge   clock.Millis
	Quarantined bool
	// Leaving says that the engine gets no new work.
	Leaving bool
	// Boot is the engine's boot id in the owner's last report.
	Boot ident.BootID
}

// Lane implementations.
func (submit Submit) Lane() Lane         { return LaneOf(submit.Request.Class) }
func (dispatched Dispatched) Lane() Lane { return LaneOf(dispatched.Class) }
func (ended Ended) Lane() Lane           { return LaneOf(ended.Class) }
func (cancel Cancel) Lane() Lane         { return LaneOf(cancel.Class) }
func (ask LoadRequest) Lane() Lane       { return ControlLane }
func (grant LoadGrant) Lane() Lane       { return ControlLane }
func (verdict LoadDecision) Lane() Lane  { return ControlLane }
func (done LoadDone) Lane() Lane         { return ControlLane }
func (heartbeat Heartbeat) Lane() Lane   { return ControlLane }
func (state EngineState) Lane() Lane     { return ControlLane }
