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

// Event is something that happened outside the decision state machines.
type Event interface{ event() }

// RequestArrived is a new request from a caller.
type RequestArrived struct {
	Stream    ident.StreamID // returned by NewStream
	RequestID string
	APIKey    string
	// Model is the address of an adapter version; empty for a service call.
	Model string
	// Service is the name of a service that is not a model engine; empty for a
	// model request.
	Service   string
	Path      string
	Streaming bool
	Body      []byte
	// BodyHash is a hash of the request's content. A reused idempotency key must
	// come with the same content.
	BodyHash string
	// Key is the idempotency key; empty if the caller sent none.
	Key string
	// KeyIssuedAt is when the caller issued the key.
	KeyIssuedAt clock.Millis
	// NotRepeatable is set if the caller forbids repeated attempts that the rule
	// would allow.
	NotRepeatable bool
}

// CallerDisconnected reports that the caller's connection closed before the answer was
// complete.
type CallerDisconnected struct{ Stream ident.StreamID }

// AnswerStarted reports that the answer of an attempt has begun. The runtime forwards
// it to the caller only after a ForwardAnswer effect.
type AnswerStarted struct {
	Stream      ident.StreamID
	From        ident.DaemonID
	Status      int
	ContentType string
}

// MessageReceived is a message received from another daemon.
type MessageReceived struct {
	From    ident.DaemonID
	Message message.Message
}

// PeerLost reports that the connection of a lane to a daemon broke. Messages in
// flight on it are lost.
type PeerLost struct {
	Peer ident.DaemonID
	Lane message.Lane
}

// RunEnded reports the end of an engine call made for a StartRun or CancelRun
// effect.
type RunEnded struct {
	Engine ident.EngineID
	Result owner.RunResult
}

// LoadEnded reports the end of a Load order.
type LoadEnded struct {
	Engine  ident.EngineID
	Adapter ident.Adapter
	Failed  bool
	// Fenced is set if the engine rejected the order because of its old fencing
	// number.
	Fenced bool
}

// UnloadEnded reports the end of an Unload order.
type UnloadEnded struct {
	Engine  ident.EngineID
	Adapter ident.Adapter
	Failed  bool
	// Fenced is set if the engine rejected the order because of its old fencing
	// number.
	Fenced bool
}

// EngineReported carries an engine's state report.
type EngineReported struct {
	Engine ident.EngineID
	Report owner.Report
	// AskedAt is the time when the report was requested, as given in the ReadEngine
	// effect; zero means the time of the step.
	AskedAt clock.Millis
}

// ServiceEnded reports the end of a CallService effect.
type ServiceEnded struct {
	Stream  ident.StreamID
	Outcome outcome.Outcome
	// Stored is the service's answer. It is sent to the caller and kept for a caller's
	// retry of a non-repeatable call.
	Stored *message.StoredAnswer
}

// AnswerReceived reports what the entry has received of an answer. It precedes the
// message that the attempt has ended.
type AnswerReceived struct {
	Stream ident.StreamID
	// Chunks is the number of chunks received.
	Chunks uint64
	// Stored is the content received, kept for requests with an idempotency key.
	Stored *message.StoredAnswer
}

// ConfigRead carries a configuration that passed validation.
type ConfigRead struct{ Snapshot *config.Snapshot }

// VMListRead carries a reading of the VM list.
type VMListRead struct{ View *members.View }

// Tick reports that time has passed.
type Tick struct{}

// Shutdown asks the daemon to shut down gracefully.
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
