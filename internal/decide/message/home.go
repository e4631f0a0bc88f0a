package message

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/outcome"
)

// HomeBegin asks the home of an idempotency key for permission to run the request.
// The entry repeats it until the home has answered.
type HomeBegin struct {
	Key    string
	Caller string
	// Region is the caller's region; empty if the configuration names none.
	Region     string
	BodyHash   string
	Stream     ident.StreamID
	IssuedAt   clock.Millis
	RequestID  string
	EntryClass config.Class
}

// HomeDecision is the answer to a HomeBegin.
type HomeDecision struct {
	Key     string
	Stream  ident.StreamID
	Granted bool
	// Copied is set if a second daemon holds the record of the granted attempt.
	Copied bool
	// Outcome is the outcome for the caller if the request was not granted.
	Outcome outcome.Outcome
	// Stored is the body of the first attempt's answer, if there is one.
	Stored *StoredAnswer
}

// StoredAnswer is a complete answer kept for a caller's retry.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// HomeFinish records the outcome of a granted attempt. The entry repeats it until a
// HomeFinished arrives.
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

// HomeCopy replicates a record to the daemon that would be the next home.
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

// HomeCopyDelete deletes the copy of a record whose attempt did not run.
type HomeCopyDelete struct {
	Key    string
	Stream ident.StreamID
}

// Lane implementations of the messages about idempotency keys.
func (begin HomeBegin) Lane() Lane               { return ControlLane }
func (homeDecision HomeDecision) Lane() Lane     { return ControlLane }
func (finish HomeFinish) Lane() Lane             { return ControlLane }
func (finished HomeFinished) Lane() Lane         { return ControlLane }
func (copied HomeCopy) Lane() Lane               { return ControlLane }
func (ack HomeCopyAck) Lane() Lane               { return ControlLane }
func (homeCopyDelete HomeCopyDelete) Lane() Lane { return ControlLane }
