// Package ending names what a gateway's log says of a request, the ways in which
// one ends, and what each means to its caller. The names are the log's format.
package ending

import "teaselmoor/internal/decide/outcome"

// Messages of the log lines that speak of a request.
const (
	MessageRequestSent      = "request sent"
	MessageAdapterRequested = "adapter asked for"
	MessageAdapterNotReady  = "adapter not ready"
	MessageServerDeclined   = "server declined"
	MessageServerFailed     = "server failed"
	MessageNoAnswer         = "no answer"
	MessageAnswerBroken     = "answer broken"
	MessageStreamBroken     = "stream broken"
	MessageAccountOverLimit = "account over its limit"
	MessageRequestEnded     = "request ended"
)

// Messages of log lines that speak of a server and the requests there.
const (
	MessageServerEnded    = "server ended"
	MessageServerLeaving  = "server leaving"
	MessageServerRests    = "server rests"
	MessageLimitNamed     = "server limit named"
	MessageLimitLifted    = "server limit lifted"
	MessageContentRefused = "content refused"
)

// Reason says why a request ended as it did.
type Reason string

// Reasons.
const (
	Complete        Reason = "Complete"
	ServerFailure   Reason = "ServerFailure"   // the server's own failure was passed on
	NotReady        Reason = "NotReady"        // the daemon knows no configuration yet
	NoRoute         Reason = "NoRoute"         // no route matches
	BadRequest      Reason = "BadRequest"      // headers or body cannot be read
	UnknownKey      Reason = "UnknownKey"      // the key is none of the configuration
	OldAccounts     Reason = "AccountsOld"     // the key is not known, but the configuration may be an old one
	AccountLimit    Reason = "AccountLimit"    // the account has used up its limit
	TooLarge        Reason = "TooLarge"        // the body is over the limit
	NoServer        Reason = "NoServer"        // no server of the service can take it
	Limited         Reason = "ServersLimited"  // the limits of those that could take it are used up
	Resting         Reason = "ServersRest"     // those that could take it want nothing from this daemon for a while
	AdapterNotReady Reason = "AdapterNotReady" // its adapter did not arrive in time
	Quarantined     Reason = "CrashesServers"  // servers have ended under requests with its content
	NoBudget        Reason = "RetryBudget"     // the budget for repeats is used up
	Tries           Reason = "TriesUsed"       // all tries were refused by servers
	Deadline        Reason = "Deadline"        // the time ran out before it was sent
	Timeout         Reason = "Timeout"         // the time ran out after it was sent
	Lost            Reason = "AnswerLost"      // it was sent, and no whole answer came
	Invalid         Reason = "InvalidAnswer"   // the answer is not one of the server
	CallerLeft      Reason = "CallerLeft"
	StreamBroke     Reason = "StreamBroken" // a stream broke off and could not go on
)

// reasons are what a caller's record calls the reasons.
var reasons = map[Reason]outcome.Reason{
	Complete: outcome.Complete, ServerFailure: outcome.ServerFailed, NotReady: outcome.NoConfiguration,
	NoRoute: outcome.UnknownPath, BadRequest: outcome.BadRequest, TooLarge: outcome.BodyTooLarge,
	NoServer: outcome.NoEngine, AdapterNotReady: outcome.AdapterLate, NoBudget: outcome.RetryBudget,
	Tries: outcome.EngineRefused, Deadline: outcome.DeadlinePassed, Timeout: outcome.AnswerLate,
	Lost: outcome.ServiceLost, Invalid: outcome.InvalidAnswer, CallerLeft: outcome.CallerGone,
	StreamBroke: outcome.Truncated, UnknownKey: outcome.Unauthorized, OldAccounts: outcome.OldConfiguration,
	AccountLimit: outcome.CallerLimit, Quarantined: outcome.CrashesEngines,
	Limited: outcome.EnginesLimited, Resting: outcome.EnginesRest,
}

// Reasons lists every reason, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(reasons))
	for reason := range reasons {
		all = append(all, reason)
	}
	return all
}

// Ending is how a request ended.
type Ending struct {
	Reason    Reason
	Status    int // 0: the connection was broken off
	TimesSent int // times that the request was sent to a server
}

// Outcome returns what the ending means to the caller, and false for a reason that
// has no name here.
func (ending Ending) Outcome() (outcome.Outcome, bool) {
	reason, known := reasons[ending.Reason]
	result := outcome.Outcome{Kind: outcome.Unknown, Reason: reason}
	switch {
	case ending.Reason == Complete || ending.Reason == ServerFailure:
		result.Kind = outcome.Answered
	case ending.TimesSent == 0 || PromisesNotRun(ending.Status):
		result.Kind = outcome.NotRun
	}
	return result, known
}

// notRun are the statuses that promise that a request has not run and never will.
var notRun = map[int]bool{408: true, 421: true, 429: true, 503: true}

// PromisesNotRun reports whether a status tells callers that a request has not run.
func PromisesNotRun(status int) bool {
	return notRun[status]
}
