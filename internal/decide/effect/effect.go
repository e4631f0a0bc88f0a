// Package effect defines the effects that the decision state machines ask the
// runtime to carry out, and the audit events that they report. The types are plain
// data. A state machine returns effects in order and carries out none of them itself.
package effect

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// Effect is an action for the runtime to carry out.
type Effect interface{ effect() }

// Send sends a message to a daemon. A message to the daemon itself is delivered
// without a connection.
type Send struct {
	To      ident.DaemonID
	Message message.Message
}

// Answer ends a caller's request. The runtime sends the answer at once.
type Answer struct {
	Stream  ident.StreamID
	Outcome outcome.Outcome
	Record  outcome.Record
	// Stored, if set, is the whole answer, and nothing is forwarded from a stream: the
	// answer of a service, or the stored answer for a repeated idempotency key.
	Stored *message.StoredAnswer
}

// ForwardAnswer starts to forward the answer of an attempt to the caller.
type ForwardAnswer struct {
	Stream      ident.StreamID
	From        ident.DaemonID
	Lane        message.Lane
	Status      int
	ContentType string
}

// Rebind informs the runtime that a request continues under the stream id of
// another attempt.
type Rebind struct {
	From ident.StreamID
	To   ident.StreamID
}

// StartRun sends a run to an engine and relays its chunks to the entry.
type StartRun struct {
	Stream   ident.StreamID
	Engine   ident.EngineID
	Entry    ident.DaemonID
	Fence    ident.Fence
	Request  message.Request
	Resume   bool
	Received uint64
	// ExpiresAt is the time after which the run must not be sent. It is not set for a
	// resume.
	ExpiresAt clock.Millis
}

// CancelRun asks the engine to end a run and to confirm it.
type CancelRun struct {
	Stream ident.StreamID
	Engine ident.EngineID
	Fence  ident.Fence
}

// Load orders an engine to load an adapter.
type Load struct {
	Engine  ident.EngineID
	Adapter ident.Adapter
	Fence   ident.Fence
	// ExpiresAt is the time after which the order must not be sent.
	ExpiresAt clock.Millis
}

// Unload orders an engine to unload an adapter.
type Unload struct {
	Engine  ident.EngineID
	Adapter ident.Adapter
	Fence   ident.Fence
	// ExpiresAt is the time after which the order must not be sent.
	ExpiresAt clock.Millis
}

// ReadEngine requests an engine's state report.
type ReadEngine struct {
	Engine ident.EngineID
	Fence  ident.Fence
	// At is when the report was requested. The EngineReported event returns it as
	// AskedAt.
	At clock.Millis
}

// ReadVMList asks for the VM list to be read without delay.
type ReadVMList struct{}

// CallService sends a request to a service that is not a model engine.
type CallService struct {
	Stream  ident.StreamID
	Service string
	Address string
}

// Audit reports an event for the audit record, with its cause.
type Audit struct {
	At     clock.Millis
	Kind   AuditKind
	Object string
	Cause  string
	Before string
	After  string
}

// AuditKind names the kind of an audit event.
type AuditKind string

// Kinds of audit events.
const (
	ConfigAccepted    AuditKind = "ConfigAccepted"
	ConfigRefused     AuditKind = "ConfigRefused"
	OwnershipClaimed  AuditKind = "OwnershipClaimed"
	OwnershipReleased AuditKind = "OwnershipReleased"
	MemberChanged     AuditKind = "MemberChanged"
	AdapterLoaded     AuditKind = "AdapterLoaded"
	AdapterEvicted    AuditKind = "AdapterEvicted"
	LoadFailed        AuditKind = "LoadFailed"
	EngineQuarantined AuditKind = "EngineQuarantined"
	EngineRestarted   AuditKind = "EngineRestarted"
	RequestRefused    AuditKind = "RequestRefused"
	PauseDetected     AuditKind = "PauseDetected"
	ShutdownStarted   AuditKind = "ShutdownStarted"
)

func (Send) effect()          {}
func (Answer) effect()        {}
func (ForwardAnswer) effect() {}
func (Rebind) effect()        {}
func (StartRun) effect()      {}
func (CancelRun) effect()     {}
func (Load) effect()          {}
func (Unload) effect()        {}
func (ReadEngine) effect()    {}
func (ReadVMList) effect()    {}
func (CallService) effect()   {}
func (Audit) effect()         {}
