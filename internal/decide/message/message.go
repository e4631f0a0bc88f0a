// Package message defines the messages between daemons. The types are plain data;
// package link encodes and transports them.
package message

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// Lane is one of the connections between two daemons. Lanes have separate queues.
type Lane uint8

// Lanes between two daemons.
const (
	ControlLane Lane = iota
	UrgentLane
	RoutineLane
	// LaneCount is the number of lanes.
	LaneCount
)

// LaneOf returns the lane for requests of a class.
func LaneOf(class config.Class) Lane {
	if class == config.Urgent {
		return UrgentLane
	}
	return RoutineLane
}

// Message is a message between daemons.
type Message interface {
	// Lane returns the lane that carries the message.
	Lane() Lane
}

// Request is what a daemon needs to run a model request for another daemon.
type Request struct {
	ID         string
	Caller     string
	Adapter    ident.Adapter
	Class      config.Class
	Repeatable bool
	// Path is the engine's API path, for example /v1/completions.
	Path string
	// Streaming is set if the caller asked for server-sent events.
	Streaming bool
	Body      []byte
}

// Submit asks an engine's owner to run a request.
type Submit struct {
	Stream  ident.StreamID
	Engine  ident.EngineID
	Request Request
	// Budget is the time left until the answer must begin. It is relative, because
	// the daemons' clocks differ.
	Budget clock.Millis
	// Resume asks for the rest of a run that the engine may already have.
	Resume bool
	// Received is the number of chunks of the run already received.
	Received uint64
	// PriorFence and PriorBoot are the owner's fencing number and the engine's boot
	// id when the entry first submitted the attempt. They decide the outcome of a
	// resumed attempt that the engine does not know.
	PriorFence ident.Fence
	PriorBoot  ident.BootID
	// Entry is the request's entry; it is set if an owner forwards a waiting
	// request to the next owner.
	Entry ident.DaemonID
	// Hops is the number of times that the request was forwarded.
	Hops int
}

// Dispatched informs the entry that the owner has dispatched the run. From then on the
// engine may have it.
type Dispatched struct {
	Stream ident.StreamID
	Class  config.Class
	Fence  ident.Fence
}

// Ended informs the entry how an attempt ended.
type Ended struct {
	Stream  ident.StreamID
	Class   config.Class
	Outcome outcome.Outcome
	// Dispatched is set if the engine may have received the run.
	Dispatched bool
	// Chunks is the number of chunks sent, so that the entry detects missing ones.
	Chunks uint64
	// Owner is the engine's current owner, if the sender is not and knows it.
	Owner ident.DaemonID
}

// Cancel asks the owner to cancel an attempt.
type Cancel struct {
	Stream ident.StreamID
	Engine ident.EngineID
	Class  config.Class
}

// LoadRequest asks the broker of a weight store for permission to load an adapter.
// It replaces an earlier request for the same engine and adapter.
type LoadRequest struct {
	Store   string
	Engine  ident.EngineID
	Adapter ident.Adapter
	Class   config.Class
	// Budget is the time left until the load must have ended.
	Budget clock.Millis
	// Waiters is the number of requests that wait for the adapter.
	Waiters int
	// Withdraw is set if the load is no longer needed.
	Withdraw bool
}

// LoadGrant permits one load until the lease ends.
type LoadGrant struct {
	Store   string
	Engine  ident.EngineID
	Adapter ident.Adapter
	Lease   clock.Millis // duration
}

// LoadDecision is the broker's answer to a LoadRequest. A LoadGrant may follow it.
type LoadDecision struct {
	Store   string
	Engine  ident.EngineID
	Adapter ident.Adapter
	// Refused is set if the load cannot end within its budget.
	Refused bool
	// Wait is the expected time until the load ends, or for a refused load until
	// all loads that wait now have ended.
	Wait clock.Millis
}

// LoadDone returns the lease of a LoadGrant to the broker.
type LoadDone struct {
	Store   string
	Engine  ident.EngineID
	Adapter ident.Adapter
	Failed  bool
	// Unused is set if no load was started.
	Unused bool
}

// Heartbeat shows that a daemon is alive and which configuration it has accepted. It
// is not sent, as an Update carries the same. It stays defined because package link
// numbers the types of messages by their position in a list.
type Heartbeat struct {
	From          ident.DaemonID
	Incarnation   ident.Incarnation
	ConfigVersion uint64
	Leaving       bool
}

// EngineState is an owner's report on one of its engines, used for placement.
type EngineState struct {
	Engine  ident.EngineID
	Owner   ident.DaemonID
	Fence   ident.Fence
	Version uint64 // increases with every change at this owner
	// Resident lists adapters that are loaded or being loaded.
	Resident []ident.Adapter
	// Wanted lists adapters that requests wait for and that are in no slot.
	Wanted []ident.Adapter
	// Spare is the number of recent requests for the adapter that the engine would
	// evict next; 0 if a slot is empty.
	Spare   float64
	Queued  int
	Running int
	// LoadsWaiting is the number of loads that have not started.
	LoadsWaiting int
	// ReportAge is the age of the engine's own report when this message was sent.
	ReportAge   clock.Millis
	Quarantined bool
	// Leaving is set if the engine gets no new work.
	Leaving bool
	// Boot is the engine's boot id in the owner's last report.
	Boot ident.BootID
}

// Lane implementations of the request, load and engine state messages.
func (submit Submit) Lane() Lane             { return LaneOf(submit.Request.Class) }
func (dispatched Dispatched) Lane() Lane     { return LaneOf(dispatched.Class) }
func (ended Ended) Lane() Lane               { return LaneOf(ended.Class) }
func (cancel Cancel) Lane() Lane             { return LaneOf(cancel.Class) }
func (loadRequest LoadRequest) Lane() Lane   { return ControlLane }
func (grant LoadGrant) Lane() Lane           { return ControlLane }
func (loadDecision LoadDecision) Lane() Lane { return ControlLane }
func (done LoadDone) Lane() Lane             { return ControlLane }
func (heartbeat Heartbeat) Lane() Lane       { return ControlLane }
func (state EngineState) Lane() Lane         { return ControlLane }
