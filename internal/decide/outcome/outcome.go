// Package outcome defines the possible outcomes of a request: Answered, NotRun or
// Unknown, each with a reason from a closed list, and the decision record, which
// explains an outcome without any other source.
package outcome

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Kind is the class of an outcome.
type Kind string

// Kinds of outcome.
const (
	// Answered means that the complete answer of the addressed adapter version or service
	// was delivered.
	Answered Kind = "Answered"
	// NotRun means that no engine or service ran the request.
	NotRun Kind = "NotRun"
	// Unknown means that the request may have run. After such an attempt, only a
	// repeatable request is attempted again.
	Unknown Kind = "Unknown"
)

// Outcome is the result of a request, or of one attempt to run it.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is the time after which the request may succeed if the caller sends it
	// again, or 0 if that is of no use.
	RetryAfter clock.Millis
}

// Done returns the outcome Answered.
func Done() Outcome {
	return Outcome{Kind: Answered, Reason: Complete}
}

// Refused returns the outcome NotRun with a reason.
func Refused(reason Reason, retryAfter clock.Millis) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// MayHaveRun returns the outcome Unknown with a reason.
func MayHaveRun(reason Reason) Outcome {
	return Outcome{Kind: Unknown, Reason: reason}
}

// Candidate is one engine that was considered for a request.
type Candidate struct {
	Engine  ident.EngineID
	Verdict Verdict
	// Age is the age of the engine state on which the verdict is based.
	Age clock.Millis
}

// Verdict is the reason for which a candidate was chosen or not.
type Verdict string

// Verdicts on candidates.
const (
	Chosen Verdict = "Chosen"
	// RankedLower means that the engine could have run the request, but another one
	// ranked higher.
	RankedLower   Verdict = "RankedLower"
	EngineLeaving Verdict = "EngineLeaving"
	// EngineSilent means that the newest state of the engine was too old to rely on.
	EngineSilent Verdict = "EngineSilent"
	OwnerUnknown Verdict = "OwnerUnknown"
	Quarantined  Verdict = "Quarantined"
	// TriedBefore means that an earlier attempt at the engine failed.
	TriedBefore Verdict = "TriedBefore"
	// LoadsFail means that the engine failed to load the adapter.
	LoadsFail Verdict = "LoadsFail"
	// LoadsAdapter means that the engine was ordered to load the adapter.
	LoadsAdapter Verdict = "LoadsAdapter"
)

// Attempt describes one submission of a request to an engine's owner or to a service.
type Attempt struct {
	Stream string
	Engine ident.EngineID
	Owner  ident.DaemonID
	At     clock.Millis
	// Dispatched is set if the request was sent to the engine or service, which may have
	// received it.
	Dispatched bool
	Outcome    Outcome
}

// Record holds everything that is needed to explain the outcome of a request later.
// VMs store nothing else about it.
type Record struct {
	Request       string
	Daemon        ident.DaemonID
	At            clock.Millis
	ConfigVersion uint64
	Caller        string
	Target        string
	// Detail says what was wrong with a malformed request. It contains neither the API
	// key nor any part of the body.
	Detail string `json:",omitempty"`
	// Lateness is a sentence that says why an answer was late, if its cause is known.
	Lateness   string `json:",omitempty"`
	Rule       string
	Class      string
	Repeatable bool
	// Deadline is the time by which the answer had to begin.
	Deadline clock.Millis
	// Home is the daemon that granted a request under an idempotency key.
	Home ident.DaemonID
	// HomeCopied is set if a second daemon held the record of the key at the time of
	// the grant.
	HomeCopied bool
	Candidates []Candidate
	Attempts   []Attempt
	Outcome    Outcome
}
