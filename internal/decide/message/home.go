package message

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// HomeBegin asks the home of an idempotency key for leave to run. The entry
// repeats it until it has a verdict.
type HomeBegin struct {
	Key    string
	Caller string
	// Region is the caller's region, empty when the configuration names none.
	Region     string
	BodyHash   string
	Stream     ident.StreamID
	IssuedAt   clock.Millis
	RequestID  string
	EntryClass config.Class
}

// HomeDecision is the home's answer.
type HomeDecision struct {
	Key     string
	Stream  ident.StreamID
	Granted bool
	// Copied says that a second daemon holds the record of a granted attempt.
	Copied bool
	// Outcome is what the caller is told when leave was not granted.
	Outcome outcome.Outcome
	// Stored is the body of the first attempt's answer, when there is one.
	Stored *StoredAnswer
}

// StoredAnswer is a complete answer kept for a caller's retry.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// HomeFinish records the outcome of a granted attempt. The entry repeats it
// until HomeFinished arrives.
type HomeFinish struct {
	Key     string
	Stream  ident.StreamID
	Outcome outcome.Outcome
	Stored  *StoredAnswer
}

// HomeFinished confirms a HomeFinish.
type HomeFinished struct {
	Key    string
	Stream ident.StreamID
}

// HomeCopy hands a record to the daemon that would be home next.
type HomeCopy struct {
	From     ident.DaemonID
	Key      string
	Caller   string
	Region   string
	BodyHash string
	Stream   ident.StreamID
	Finished bool
	Outcome  outcome.Outcome
	Stored   *StoredAnswer
}

// HomeCopyAck confirms a HomeCopy.
type HomeCopyAck struct {
	From     ident.DaemonID
	Key      string
	Stream   ident.StreamID
	Finished bool
}

// HomeCopyDelete withdraws the copy of a record whose attempt did not run.
type HomeCopyDelete struct {
	Key    string
	Stream ident.StreamID
}

// Lane implementations.
func (begin HomeBegin) Lane() Lane       { return ControlLane }
func (verdict HomeDecision) Lane() Lane  { return ControlLane }
func (finish HomeFinish) Lane() Lane     { return ControlLane }
func (finished HomeFinished) Lane() Lane { return ControlLane }
func (copied HomeCopy) Lane() Lane       { return ControlLane }
func (ack HomeCopyAck) Lane() Lane       { return ControlLane }
func (forget HomeCopyDelete) Lane() Lane { return ControlLane }
