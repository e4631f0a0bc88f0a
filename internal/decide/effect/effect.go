// Package effect defines what decision machines ask the runtime to do, and the
// audit events that they report. A machine returns effects in order and does
// none of them itself.
package effect

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

// Effect is one thing for the runtime to carry out.
type Effect interface{ effect() }

// Send sends a message to a daemon; to itself it is delivered without a connection.
type Send struct {
	To      ident.DaemonID
	Message message.Message
}

// Answer ends a caller's request. The runtime delivers it at once.
type Answer struct {
	Stream  ident.StreamID
	Outcome outcome.Outcome
	Record  outcome.Record
	// Stored replaces the stream's own content, for a repeated idempotency key.
	Stored *message.StoredAnswer
}

// ForwardAnswer lets the answer of an attempt through to the caller.
type ForwardAnswer struct {
	Stream      ident.StreamID
	From        ident.DaemonID
	Lane        message.Lane
	Status      int
	ContentType string
}

// Rebind tells the runtime that a request goes on under another attempt.
type Rebind struct {
	From ident.StreamID
	To   ident.StreamID
}

// StartRun sends a run to an engine and pipes its chunks to the entry.
type StartRun struct {
	Stream   ident.StreamID
	Engine   ident.EngineID
	Entry    ident.DaemonID
	Fence    ident.Fence
	Request  message.Request
	Resume   bool
	Received uint64
	// ExpiresAt is when the leave to begin this run ends; a resume has no such end.
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
	// ExpiresAt is when the leave to give this order ends.
	ExpiresAt clock.Millis
}

// Unload orders an engine to unload an adapter.
type Unload struct {
	Engine  ident.EngineID
	Adapter ident.Adapter
	Fence   ident.Fence
	// ExpiresAt is when the leave to give this order ends.
	ExpiresAt clock.Millis
}

// ReadEngine asks for the engine's state report.
type ReadEngine struct {
	Engine ident.EngineID
	Fence  ident.Fence
	// At is when the report was asked for; its event carries it back.
	At clock.Millis
}

// ReadVMList asks for the VM list at once.
type ReadVMList struct{}

// CallService sends a request to a plain service.
type CallService struct {
	Stream  ident.StreamID
	Service string
	Address string
}

// Audit reports a change, with its cause.
type Audit struct {
	At     clock.Millis
	Kind   AuditKind
	Object string
	Cause  string
	Before string
	After  string
}

// AuditKind names what changed.
type AuditKind string

// Kinds of audited change.
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
