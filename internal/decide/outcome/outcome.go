// Package outcome defines what a caller can be told about a request: exactly
// one of answered, not run, or unknown, with a reason from a closed list and a
// decision record that explains it without any other source.
package outcome

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Kind is the class of an outcome.
type Kind string

// Kinds of outcome.
const (
	// Answered: the complete answer of the addressed adapter version was delivered.
	Answered Kind = "Answered"
	// NotRun: nothing anywhere received the request.
	NotRun Kind = "NotRun"
	// Unknown: the request may have run; the system does not repeat it.
	Unknown Kind = "Unknown"
)

// Outcome is the final word on a request.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is the span after which coming back helps; 0 when it does not.
	RetryAfter clock.Millis
}

// Done returns the outcome of a request that was answered.
func Done() Outcome {
	return Outcome{Kind: Answered, Reason: Complete}
}

// Refused returns a not-run outcome.
func Refused(reason Reason, retryAfter clock.Millis) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// Lost returns an unknown outcome.
func Lost(reason Reason) Outcome {
	return Outcome{Kind: Unknown, Reason: reason}
}

// Candidate is one engine that was considered for a request.
type Candidate struct {
	Engine  ident.EngineID
	Verdict Verdict
	// Age is how old the knowledge was that the verdict rests on.
	Age clock.Millis
}

// Verdict says why a candidate was chosen or passed over.
type Verdict string

// Verdicts on candidates.
const (
	Chosen       Verdict = "Chosen"
	RankedLower  Verdict = "RankedLower"
	EngineAway   Verdict = "EngineLeaving"
	EngineSilent Verdict = "EngineSilent"
	OwnerUnknown Verdict = "OwnerUnknown"
	Quarantined  Verdict = "Quarantined"
	TriedBefore  Verdict = "TriedBefore"
	LoadsFail    Verdict = "LoadsFail"
	LoadsAdapter Verdict = "LoadsAdapter"
)

// Attempt is one submission of a request to an engine's owner or a service.
type Attempt struct {
	Stream string
	Engine ident.EngineID
	Owner  ident.DaemonID
	At     clock.Millis
	// Dispatched tells whether the entry knows that the engine received it.
	Dispatched bool
	Outcome    Outcome
}

// Record reconstructs a decision. It is complete in itself: VMs keep nothing.
type Record struct {
	Request       string
	Daemon        ident.DaemonID
	At            clock.Millis
	ConfigVersion uint64
	Caller        string
	Target        string
	// Detail says what was wrong with a malformed request. It holds no API key
	// and nothing of the body.
	Detail     string `json:",omitempty"`
	Rule       string
	Class      string
	Repeatable bool
	// Deadline is the point in time by which the answer had to begin.
	Deadline clock.Millis
	// Home is the daemon that granted a request under an idempotency key, and
	// HomeCopied whether a second daemon held the record then.
	Home       ident.DaemonID
	HomeCopied bool
	Candidates []Candidate
	Attempts   []Attempt
	Outcome    Outcome
}
