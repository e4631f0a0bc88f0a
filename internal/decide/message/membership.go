package message

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// Update is what a daemon tells the daemons of its region at intervals: that it
// lives, what it has accepted, and what is new at the engines that it owns. An
// engine that it lists is also a claim under the number given.
type Update struct {
	_           struct{} `cbor:",toarray"`
	From        ident.DaemonID
	Incarnation ident.Incarnation
	// SentAt is the sender's wall clock.
	SentAt        clock.Millis
	ConfigVersion uint64
	Leaving       bool
	// Relay asks the receiver to pass the update on within its data centre.
	Relay bool
	// Full says that every engine owned is listed, with its detail.
	Full bool
	// Digest sums up all engines owned, so that a receiver notices what it missed.
	Digest  uint64
	Engines []EngineDelta
	// Departing names engines that the sender itself has read to be leaving.
	Departing []ident.EngineID
}

// EngineDelta is what is new at one engine.
type EngineDelta struct {
	_       struct{} `cbor:",toarray"`
	Engine  ident.EngineID
	Fence   ident.Fence
	Version uint64
	// Residency rises with every change of what is loaded or wanted.
	Residency    uint64
	Queued       int
	Running      int
	LoadsWaiting int
	// Spare is as in EngineState; its slow decay alone is no news.
	Spare     float64
	ReportAge clock.Millis
	Flags     EngineFlags
	// Detail is left out while Residency is as in the update before.
	Detail *EngineDetail
}

// EngineFlags are yes-or-no facts on an engine.
type EngineFlags uint8

// Flags of EngineNews.
const (
	FlagQuarantined EngineFlags = 1 << iota
	FlagLeaving
)

// EngineDetail is what seldom changes at an engine.
type EngineDetail struct {
	_        struct{} `cbor:",toarray"`
	Resident []ident.Adapter
	Wanted   []ident.Adapter
	Boot     ident.BootID
}

// FullUpdateRequest asks a daemon for a full update, after a gap.
type FullUpdateRequest struct {
	_    struct{} `cbor:",toarray"`
	From ident.DaemonID
}

// HigherClaim tells a daemon that claims an engine of a claim with a higher number,
// which it may have missed.
type HigherClaim struct {
	_           struct{} `cbor:",toarray"`
	Engine      ident.EngineID
	Owner       ident.DaemonID
	Incarnation ident.Incarnation
	Fence       ident.Fence
}

// HandoverRequest asks an owner to pass an engine on: the sender has read a list
// that makes it the first candidate.
type HandoverRequest struct {
	_      struct{} `cbor:",toarray"`
	Engine ident.EngineID
}

// Handover passes an engine on: the sender gives it no more orders.
type Handover struct {
	Engine ident.EngineID
	Fence  ident.Fence
	// SentAt is the former owner's wall clock.
	SentAt clock.Millis
	Runs   []UnfinishedRun
	// Owner is the former owner, when another daemon passes its handover on.
	Owner ident.DaemonID
}

// RequestMoved tells an entry that its waiting request went on to another owner.
type RequestMoved struct {
	_      struct{} `cbor:",toarray"`
	Stream ident.StreamID
	Class  config.Class
	Owner  ident.DaemonID
}

// UnfinishedRun is an unfinished run, whose adapter stays pinned. The sender goes on
// relaying its answer.
type UnfinishedRun struct {
	_       struct{} `cbor:",toarray"`
	Stream  ident.StreamID
	Entry   ident.DaemonID
	Adapter ident.Adapter
}

// Lane implementations.
func (update Update) Lane() Lane             { return ControlLane }
func (ask FullUpdateRequest) Lane() Lane     { return ControlLane }
func (ask HandoverRequest) Lane() Lane       { return ControlLane }
func (higherClaim HigherClaim) Lane() Lane   { return ControlLane }
func (requestMoved RequestMoved) Lane() Lane { return LaneOf(requestMoved.Class) }
func (handover Handover) Lane() Lane         { return ControlLane }
