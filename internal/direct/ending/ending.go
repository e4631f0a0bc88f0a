// Package ending defines the messages with which a gateway logs the course of a request, the
// reasons for which a request ends, and what each means to the caller. It does not decide when a
// request ends. Messages and reasons are a log format that other programs read, so their texts
// must not change.
package ending

import "teaselmoor/internal/decide/outcome"

// Messages of log lines about a request.
const (
	MessageRequestSent      = "request sent"
	MessageRequestProxied   = "request sent to peer"
	MessagePeerUnusable     = "peer did not take request"
	MessageEntrySilent      = "entry silent"
	MessageStreamTakenUp    = "stream taken up"
	MessageAdapterRequested = "adapter asked for"
	MessageAdapterNotReady  = "adapter not ready"
	MessageServerDeclined   = "server declined"
	MessageServerFailed     = "server failed"
	MessageNoAnswer         = "no answer"
	MessageAnswerBroken     = "answer broken"
	MessageStreamBroken     = "stream broken"
	MessageStreamResumed    = "stream resumed"
	MessageProcessDeclined  = "process declined"
	MessageAccountOverLimit = "account over its limit"
	MessageRequestShed      = "request shed"
	MessageRequestEnded     = "request ended"
)

// Messages of log lines about a server and its requests.
const (
	MessageServerEnded      = "server ended"
	MessageServerLeaving    = "server leaving"
	MessageServerPaused     = "server rests"
	MessageBrittleAnnounced = "servers brittle"
	MessageBrittleLifted    = "servers no longer brittle"
	MessageCutOff           = "no server reached"
	MessageReached          = "servers reached again"
	MessageLimitAnnounced   = "server limit named"
	MessageLimitLifted      = "server limit lifted"
	MessageContentRefused   = "content refused"
	MessageSharesChanged    = "shares of daemons changed"
	MessageTrialGranted     = "trial granted"
)

// Reason is the reason why a request ended.
type Reason string

// Reasons for the end of a request.
const (
	Complete          Reason = "Complete"
	ServerFailure     Reason = "ServerFailure"      // the server's failure was passed on
	NoConfiguration   Reason = "NotReady"           // the daemon has no configuration yet
	NoRoute           Reason = "NoRoute"            // no route matches
	BadRequest        Reason = "BadRequest"         // headers or body cannot be read
	UnknownKey        Reason = "UnknownKey"         // the key is not in the configuration
	StaleAccounts     Reason = "AccountsOld"        // the key is unknown, but the configuration may be stale
	AccountLimit      Reason = "AccountLimit"       // the account's limit is used up
	TooLarge          Reason = "TooLarge"           // the body or the head exceeds the limit
	BodyTimeout       Reason = "BodyTimeout"        // the body had not come when the deadline passed
	NoServer          Reason = "NoServer"           // no server of the service can take the request
	ServersLimited    Reason = "ServersLimited"     // the rate limits of the servers that could take it are used up
	ServersPaused     Reason = "ServersRest"        // the servers that could take it asked this daemon to pause
	Unreachable       Reason = "ServersUnreachable" // this daemon reaches no server, and no peer that does
	ServersFull       Reason = "ServersFull"        // the servers that could take it are brittle and have no room
	Crowded           Reason = "Crowded"            // this daemon could not send it on in time, as it has too many others or stood still
	NoRoom            Reason = "NoRoom"             // callers make this daemon hold as much as its memory and descriptors allow
	Stopping          Reason = "Stopping"           // this daemon is stopping, and the answer would probably not end before it does
	Overloaded        Reason = "Overloaded"         // the service has more requests than it can answer in time
	AdapterNotReady   Reason = "AdapterNotReady"    // its adapter was not loaded in time
	Quarantined       Reason = "CrashesServers"     // servers crashed while they ran requests like it
	Suspected         Reason = "CrashSuspected"     // servers crashed that ran requests like it, and others like it were tried first
	RetryBudgetSpent  Reason = "RetryBudget"        // the budget for retries is used up
	TriesUsed         Reason = "TriesUsed"          // servers declined it in every try
	Deadline          Reason = "Deadline"           // the deadline passed before it was sent
	Timeout           Reason = "Timeout"            // the deadline passed after it was sent
	AnswerLost        Reason = "AnswerLost"         // it was sent, and no complete answer came
	InvalidAnswer     Reason = "InvalidAnswer"      // the answer is not a valid one of the server
	CallerLeft        Reason = "CallerLeft"
	StreamUnknown     Reason = "StreamUnknown"     // a stream is to go on, and what began it is not known
	NoSoftwareVersion Reason = "NoSoftwareVersion" // a stream is to go on, and no server of its software version can take it
	StreamBroken      Reason = "StreamBroken"      // a stream broke off and could not be resumed
)

// outcomeReasons maps each reason to the one that the caller's outcome shows.
var outcomeReasons = map[Reason]outcome.Reason{
	Complete: outcome.Complete, ServerFailure: outcome.ServerFailed, NoConfiguration: outcome.NoConfiguration,
	NoRoute: outcome.UnknownPath, BadRequest: outcome.BadRequest, TooLarge: outcome.BodyTooLarge,
	NoServer: outcome.NoEngine, AdapterNotReady: outcome.AdapterLate, RetryBudgetSpent: outcome.RetryBudget,
	TriesUsed: outcome.EngineRefused, Deadline: outcome.DeadlinePassed, Timeout: outcome.AnswerLate,
	AnswerLost: outcome.ServiceLost, InvalidAnswer: outcome.InvalidAnswer, CallerLeft: outcome.CallerGone,
	StreamBroken: outcome.Truncated, UnknownKey: outcome.Unauthorized, StaleAccounts: outcome.OldConfiguration,
	BodyTimeout: outcome.BodyTimeout, Crowded: outcome.DaemonCrowded, NoRoom: outcome.DaemonFull, Stopping: outcome.ShuttingDown,
	AccountLimit: outcome.CallerLimit, Quarantined: outcome.CrashesEngines, Suspected: outcome.CrashesEngines,
	ServersLimited: outcome.EnginesLimited, ServersPaused: outcome.EnginesRest,
	Overloaded: outcome.ServiceOverloaded, Unreachable: outcome.EnginesUnreachable, ServersFull: outcome.QueueFull,
	StreamUnknown: outcome.StreamUnknown, NoSoftwareVersion: outcome.NoSoftwareVersion,
}

// Reasons returns all reasons, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(outcomeReasons))
	for reason := range outcomeReasons {
		all = append(all, reason)
	}
	return all
}

// Ending describes how a request ended.
type Ending struct {
	Reason    Reason
	Status    int // 0: the connection was closed without a complete answer
	TimesSent int // number of times that the request was sent to a server
}

// Outcome returns what the ending means to the caller. It returns false for an unknown reason.
func (ending Ending) Outcome() (outcome.Outcome, bool) {
	reason, known := outcomeReasons[ending.Reason]
	result := outcome.Outcome{Kind: outcome.Unknown, Reason: reason}
	switch {
	case ending.Reason == Complete || ending.Reason == ServerFailure:
		result.Kind = outcome.Answered
	case ending.TimesSent == 0 || PromisesNotRun(ending.Status):
		result.Kind = outcome.NotRun
	}
	return result, known
}

// notRunStatuses are the statuses that promise that a request has not run and will not run.
var notRunStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// PromisesNotRun reports whether a status promises the caller that its request has not run.
func PromisesNotRun(status int) bool {
	return notRunStatuses[status]
}
