package message

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// Update is sent to the daemons of the region at intervals. It shows that the
// sender is alive and which configuration it has accepted, and carries the changes
// of the engines that it owns. Listing an engine also claims it under the given
// fencing number.
type Update struct {
	_           struct{} `cbor:",toarray"`
	From        ident.DaemonID
	Incarnation ident.Incarnation
	// SentAt is the sender's wall-clock time.
	SentAt        clock.Millis
	ConfigVersion uint64
	Leaving       bool
	// Relay asks the receiver to forward the update within its data centre.
	Relay bool
	// Full is set if every owned engine is listed with its detail.
	Full bool
	// Digest covers all owned engines, so that a receiver detects missed updates.
	Digest  uint64
	Engines []EngineDelta
	// Departing lists the region's engines that are leaving according to the VM list
	// that the sender has read, so that owners that cannot read the list know it too.
	Departing []ident.EngineID
}

// EngineDelta is the changed state of one engine.
type EngineDelta struct {
	_       struct{} `cbor:",toarray"`
	Engine  ident.EngineID
	Fence   ident.Fence
	Version uint64
	// Residency increases with every change of the resident or wanted adapters.
	Residency    uint64
	Queued       int
	Running      int
	LoadsWaiting int
	// Spare is as in EngineState. Its slow decay alone does not cause an update.
	Spare     float64
	ReportAge clock.Millis
	Flags     EngineFlags
	// Detail is omitted if Fence and Residency are the same as in the previous update.
	Detail *EngineDetail
}

// EngineFlags are boolean properties of an engine.
type EngineFlags uint8

// Flags of an engine.
const (
	FlagQuarantined EngineFlags = 1 << iota
	FlagLeaving
)

// EngineDetail is the state of an engine that changes rarely.
type EngineDetail struct {
	_        struct{} `cbor:",toarray"`
	Resident []ident.Adapter
	Wanted   []ident.Adapter
	Boot     ident.BootID
}

// FullUpdateRequest asks a daemon for a full update after missed ones.
type FullUpdateRequest struct {
	_    struct{} `cbor:",toarray"`
	From ident.DaemonID
}

// HigherClaim informs a daemon that claims an engine about another daemon's claim with
// a higher fencing number, which the first daemon may have missed.
type HigherClaim struct {
	_           struct{} `cbor:",toarray"`
	Engine      ident.EngineID
	Owner       ident.DaemonID
	Incarnation ident.Incarnation
	Fence       ident.Fence
}

// HandoverRequest asks an owner to hand over an engine to the sender, which is the
// first candidate by the VM list that it has read.
type HandoverRequest struct {
	_      struct{} `cbor:",toarray"`
	Engine ident.EngineID
}

// Handover hands over an engine. The sender gives it no more orders.
type Handover struct {
	Engine ident.EngineID
	Fence  ident.Fence
	// SentAt is the former owner's wall-clock time.
	SentAt clock.Millis
	Runs   []UnfinishedRun
	// Owner is the former owner. It is set only if another daemon forwards the
	// handover.
	Owner ident.DaemonID
}

// RequestMoved informs an entry that its waiting request was forwarded to another owner.
type RequestMoved struct {
	_      struct{} `cbor:",toarray"`
	Stream ident.StreamID
	Class  config.Class
	Owner  ident.DaemonID
}

// UnfinishedRun is a run that was in progress at a handover. Its adapter stays pinned,
// and the former owner continues to relay its answer.
type UnfinishedRun struct {
	_       struct{} `cbor:",toarray"`
	Stream  ident.StreamID
	Entry   ident.DaemonID
	Adapter ident.Adapter
}

// Lane implementations of the membership and ownership messages.
func (update Update) Lane() Lane                       { return ControlLane }
func (fullUpdateRequest FullUpdateRequest) Lane() Lane { return ControlLane }
func (handoverRequest HandoverRequest) Lane() Lane     { return ControlLane }
func (higherClaim HigherClaim) Lane() Lane             { return ControlLane }
func (requestMoved RequestMoved) Lane() Lane           { return LaneOf(requestMoved.Class) }
func (handover Handover) Lane() Lane                   { return ControlLane }
