package outcome

// Reason is the code of a reason, from the closed list below. Sentence returns its
// explanation.
type Reason string

// Reasons for outcomes. Callers and regulators see these codes, so the meaning of a
// code never changes.
const (
	Complete            Reason = "Complete"
	BadRequest          Reason = "BadRequest"
	BodyTooLarge        Reason = "BodyTooLarge"
	BodyTimeout         Reason = "BodyTimeout"
	UnsupportedType     Reason = "UnsupportedType"
	UnknownPath         Reason = "UnknownPath"
	WrongMethod         Reason = "WrongMethod"
	Unauthorized        Reason = "Unauthorized"
	UnknownModel        Reason = "UnknownModel"
	UnknownService      Reason = "UnknownService"
	NoRule              Reason = "NoRule"
	NoEngine            Reason = "NoEngine"
	NoOwner             Reason = "NoOwner"
	NoConfiguration     Reason = "NoConfiguration"
	OldConfiguration    Reason = "OldConfiguration"
	CallerLimit         Reason = "CallerLimit"
	QueueFull           Reason = "QueueFull"
	DeadlineUnreachable Reason = "DeadlineUnreachable"
	DeadlinePassed      Reason = "DeadlinePassed"
	LoadFailed          Reason = "LoadFailed"
	KeyMissing          Reason = "KeyMissing"
	KeyConflict         Reason = "KeyConflict"
	KeyInProgress       Reason = "KeyInProgress"
	KeyNotVouched       Reason = "KeyNotVouched"
	HomeUnreachable     Reason = "HomeUnreachable"
	HomeFull            Reason = "HomeFull"
	AnswerNotKept       Reason = "AnswerNotKept"
	EntryLost           Reason = "EntryLost"
	EngineRefused       Reason = "EngineRefused"
	EngineLost          Reason = "EngineLost"
	EngineRestarted     Reason = "EngineRestarted"
	WrongAdapter        Reason = "WrongAdapter"
	Truncated           Reason = "Truncated"
	OwnerLost           Reason = "OwnerLost"
	NotOwner            Reason = "NotOwner"
	ServiceLost         Reason = "ServiceLost"
	RetryBudget         Reason = "RetryBudget"
	CallerGone          Reason = "CallerGone"
	Cancelled           Reason = "Cancelled"
	ShuttingDown        Reason = "ShuttingDown"
	ServerFailed        Reason = "ServerFailed"
	AdapterLate         Reason = "AdapterLate"
	AnswerLate          Reason = "AnswerLate"
	InvalidAnswer       Reason = "InvalidAnswer"
	CrashesEngines      Reason = "CrashesEngines"
	EnginesLimited      Reason = "EnginesLimited"
	EnginesRest         Reason = "EnginesRest"
	ServiceOverloaded   Reason = "ServiceOverloaded"
	DaemonCrowded       Reason = "DaemonCrowded"
	DaemonFull          Reason = "DaemonFull"
	EnginesUnreachable  Reason = "EnginesUnreachable"
	StreamUnknown       Reason = "StreamUnknown"
	NoSoftwareVersion   Reason = "NoSoftwareVersion"
)

var sentences = map[Reason]string{
	Complete:            "The request was answered in full by the adapter and version it addressed.",
	BadRequest:          "The request was malformed and was not accepted.",
	BodyTooLarge:        "The request was larger than the limit and was not accepted.",
	BodyTimeout:         "The request did not arrive in full within the time allowed and was not accepted.",
	UnsupportedType:     "The request's content type is not supported and it was not accepted.",
	UnknownPath:         "The path addressed does not exist.",
	WrongMethod:         "The path addressed does not accept this method.",
	Unauthorized:        "The request carried no valid API key.",
	UnknownModel:        "The adapter or version addressed is not in the configuration in force.",
	UnknownService:      "The service addressed is not in the configuration in force.",
	NoRule:              "No rule of the configuration in force permits this request.",
	NoEngine:            "The rules permit this request on no engine that is in service.",
	NoOwner:             "No process was in a position to give orders to a permitted engine.",
	NoConfiguration:     "The process has not received a configuration yet.",
	OldConfiguration:    "The API key is not in the configuration that the process has, and the process could not find out whether there is a newer one.",
	CallerLimit:         "The caller exceeded its agreed rate of requests.",
	QueueFull:           "The queue for the permitted engines was full.",
	DeadlineUnreachable: "The answer could not have begun by its deadline, so the request was not queued.",
	DeadlinePassed:      "The deadline passed while the request was still waiting.",
	LoadFailed:          "The adapter could not be loaded.",
	KeyMissing:          "A request that must not be repeated needs an idempotency key.",
	KeyConflict:         "The idempotency key was used before for a different request.",
	KeyInProgress:       "The first attempt under this idempotency key is still in progress.",
	KeyNotVouched:       "No surviving record can show that this idempotency key is new, so this attempt was not run.",
	HomeUnreachable:     "The record of idempotency keys could not be reached, so this attempt was not run.",
	HomeFull:            "The record of idempotency keys was full, so this attempt was not run.",
	AnswerNotKept:       "The first attempt under this idempotency key was answered in full; its content is no longer kept.",
	EntryLost:           "The process that had accepted the first attempt was lost, and whether that attempt ran is not known.",
	EngineRefused:       "The engine refused the request before running it.",
	EngineLost:          "The connection to the engine was lost after the request was sent.",
	EngineRestarted:     "The engine restarted while it was running the request.",
	WrongAdapter:        "The engine answered with another adapter or version; that answer was discarded.",
	Truncated:           "The engine's answer ended before it was complete.",
	OwnerLost:           "The process in charge of the engine was lost after the request was handed to it.",
	NotOwner:            "The process addressed is not in charge of the engine.",
	ServiceLost:         "The connection to the service was lost after the request was sent.",
	RetryBudget:         "The attempt failed and the allowance for repeated attempts was used up.",
	CallerGone:          "The caller closed its connection.",
	Cancelled:           "The run was cancelled to make room for urgent work.",
	ShuttingDown:        "The process is shutting down and accepts no new requests.",
	ServerFailed:        "The server ran the request and reported a failure of its own, which was passed on.",
	AdapterLate:         "The adapter could not be made ready in time at any server.",
	AnswerLate:          "The time allowed ran out after the request was sent and before its answer was complete.",
	EnginesLimited:      "Each server that could take the request had named how many it takes in a second, and had got as many.",
	EnginesRest:         "Each server that could take the request had turned this daemon away of late and asked it for rest.",
	ServiceOverloaded:   "The service had more requests in progress than it could answer in time, so this one was refused at once.",
	DaemonFull:          "Callers made the process hold as much as its memory and descriptors allow, so the request was refused.",
	DaemonCrowded:       "The process could not send the request on in time, as it had too many others or had stood still, so it was refused.",
	EnginesUnreachable:  "The process had lost its links to all engines and services, and reached no other process that had not.",
	StreamUnknown:       "The caller asked for the rest of a stream, and no process knew which software version had begun it.",
	NoSoftwareVersion:   "The caller asked for the rest of a stream, and no engine in service ran the software version that had begun it.",
	CrashesEngines:      "Engines have ended while they ran requests with the same content or part of a prompt, so this one was not run.",
	InvalidAnswer:       "What came back was not an answer of the server to this request, and it was discarded.",
}

// Sentence explains the reason in one sentence that can be quoted in a letter.
func (reason Reason) Sentence() string {
	return sentences[reason]
}

// Reasons lists every reason, in no particular order.
func Reasons() []Reason {
	reasons := make([]Reason, 0, len(sentences))
	for reason := range sentences {
		reasons = append(reasons, reason)
	}
	return reasons
}
