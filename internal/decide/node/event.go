package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/owner"
)

// Event is something that happened outside the decision machines.
type Event interface{ event() }

// RequestArrived is a caller's request.
type RequestArrived struct {
	Stream    ident.StreamID // from NewStream
	RequestID string
	APIKey    string
	// Model addresses an adapter version; empty for a service call.
	Model string
	// Service names a plain service; empty for a model request.
	Service   string
	Path      string
	Streaming bool
	Body      []byte
	// BodyHash identifies the request's content, for idempotency keys.
	BodyHash string
	// Key is the idempotency key, if the caller sent one.
	Key string
	// KeyIssuedAt is when the caller made the key.
	KeyIssuedAt clock.Millis
	// NotRepeatable is the caller's wish for a stricter treatment than the rule's.
	NotRepeatable bool
}

// CallerDisconnected says that the caller's connection closed before the answer ended.
type CallerDisconnected struct{ Stream ident.StreamID }

// AnswerStarted says that an attempt's answer has begun. Only an Open effect lets
// it through to the caller.
type AnswerStarted struct {
	Stream      ident.StreamID
	From        ident.DaemonID
	Status      int
	ContentType string
}

// MessageReceived is a message from another daemon.
type MessageReceived struct {
	From    ident.DaemonID
	Message message.Message
}

// PeerLost says that a lane to a daemon broke: what was in flight on it is lost.
type PeerLost struct {
	Peer ident.DaemonID
	Lane message.Lane
}

// RunEnded is the end of an engine call that StartRun or CancelRun began.
type RunEnded struct {
	Engine ident.EngineID
	Result owner.RunResult
}

// LoadEnded is the end of a Load order.
type LoadEnded struct {
	Engine  ident.EngineID
	Adapter ident.Adapter
	Failed  bool
	// Fenced says that the engine refused the order for its old number.
	Fenced bool
}

// UnloadEnded is the end of an Unload order.
type UnloadEnded struct {
	Engine  ident.EngineID
	Adapter ident.Adapter
	Failed  bool
	// Fenced says that the engine refused the order for its old number.
	Fenced bool
}

// EngineReported is an engine's state report.
type EngineReported struct {
	Engine ident.EngineID
	Report owner.Report
	// AskedAt is the time in the ReadEngine effect; zero means now.
	AskedAt clock.Millis
}

// ServiceEnded is the end of a CallService.
type ServiceEnded struct {
	Stream  ident.StreamID
	Outcome outcome.Outcome
	// Stored is the answer, kept for a caller's retry of a non-repeatable call.
	Stored *message.StoredAnswer
}

// AnswerReceived says what this entry has of an answer, just before the word
// that the attempt has ended.
type AnswerReceived struct {
	Stream ident.StreamID
	// Chunks is the number of chunks that arrived.
	Chunks uint64
	// Stored is the content, kept for requests with an idempotency key.
	Stored *message.StoredAnswer
}

// ConfigRead is a configuration that validated whole.
type ConfigRead struct{ Snapshot *config.Snapshot }

// VMListRead is a reading of the VM list.
type VMListRead struct{ View *members.View }

// Tick lets time pass.
type Tick struct{}

// Shutdown begins a graceful end.
type Shutdown struct{}

func (RequestArrived) event()     {}
func (CallerDisconnected) event() {}
func (AnswerStarted) event()      {}
func (MessageReceived) event()    {}
func (PeerLost) event()           {}
func (RunEnded) event()           {}
func (LoadEnded) event()          {}
func (UnloadEnded) event()        {}
func (EngineReported) event()     {}
func (ServiceEnded) event()       {}
func (AnswerReceived) event()     {}
func (ConfigRead) event()         {}
func (VMListRead) event()         {}
func (Tick) event()               {}
func (Shutdown) event()           {}
