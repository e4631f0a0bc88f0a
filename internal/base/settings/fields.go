package settings

import "teaselmoor/internal/base/clock"

// Settings are the settings of one daemon. The tags give the allowed values: min and max
// are bounds of a number, oneof lists the allowed words, and want is the kind of text
// (text or address).
type Settings struct {
	// Name of the VM in the VM list.
	Name string `yaml:"Name" want:"text"`
	// Data centre of the VM.
	DataCentre string `yaml:"DataCentre" want:"text"`
	// Region of the data centre.
	Region string `yaml:"Region" want:"text"`
	// Address at which the daemon listens for callers (IP:port).
	CallerAddress string `yaml:"CallerAddress" want:"address"`
	// Address at which the daemon listens for other daemons (IP:port). The VM list
	// publishes it.
	InnerAddress string `yaml:"InnerAddress" want:"address"`
	// Address at which the daemon listens for operators and metrics collectors
	// (IP:port). Connections to it are not authenticated: do not make it reachable
	// from the callers' network.
	OperatorAddress string `yaml:"OperatorAddress" want:"address"`
	// Address of the platform's configuration service (IP:port).
	ConfigAddress string `yaml:"ConfigAddress" want:"address"`
	// Address of the platform's VM list (IP:port).
	VMListAddress string `yaml:"VMListAddress" want:"address"`

	Callers   Callers   `yaml:"Callers"`
	Operators Operators `yaml:"Operators"`
	Runtime   Runtime   `yaml:"Runtime"`
	Platform  Platform  `yaml:"Platform"`
	Rollout   Rollout   `yaml:"Rollout"`
	Peers     Peers     `yaml:"Peers"`
	Ownership Ownership `yaml:"Ownership"`
	Engines   Engines   `yaml:"Engines"`
	Services  Services  `yaml:"Services"`
	Queue     Queue     `yaml:"Queue"`
	Loads     Loads     `yaml:"Loads"`
	Keys      Keys      `yaml:"Keys"`
	Placement Placement `yaml:"Placement"`
}

// Callers limits the size of callers' requests and the time that they may take.
type Callers struct {
	// Maximum size of a request body, in bytes.
	MaxBodyBytes int64 `yaml:"MaxBodyBytes" min:"1024" max:"67108864"`
	// Maximum size of a request's headers, in bytes.
	MaxHeaderBytes int `yaml:"MaxHeaderBytes" min:"1024" max:"1048576"`
	// Maximum length of an idempotency key, in bytes.
	MaxKeyBytes int `yaml:"MaxKeyBytes" min:"36" max:"1024"`
	// Maximum number of open connections. Further connections wait to be accepted.
	MaxConnections int `yaml:"MaxConnections" min:"1" max:"1000000"`
	// Maximum wait for the headers of a request, in milliseconds.
	HeaderTimeoutMillis clock.Millis `yaml:"HeaderTimeoutMillis" min:"100" max:"600000"`
	// Maximum wait for the body of a request, in milliseconds. It does not limit the
	// time of the answer.
	BodyTimeoutMillis clock.Millis `yaml:"BodyTimeoutMillis" min:"100" max:"600000"`
	// Time after which a connection without a request is closed, in milliseconds.
	IdleTimeoutMillis clock.Millis `yaml:"IdleTimeoutMillis" min:"1000" max:"3600000"`
}

// Operators configures logging, the audit trail and the operators' address.
type Operators struct {
	// Minimum level of the lines that are logged. The audit trail is written at every
	// level.
	LogLevel string `yaml:"LogLevel" oneof:"Debug Info Warn Error"`
	// Whether profiles of the process are served under /debug/pprof/ at the operators'
	// address.
	Profiling bool `yaml:"Profiling"`
	// Maximum number of changes kept in memory for the audit command.
	AuditChanges int `yaml:"AuditChanges" min:"16" max:"1000000"`
	// Maximum number of refusals kept in memory for the audit and explain commands.
	AuditRefusals int `yaml:"AuditRefusals" min:"16" max:"1000000"`
	// Maximum number of lines of the audit trail that wait to be written. Further
	// lines are dropped.
	AuditPending int `yaml:"AuditPending" min:"16" max:"1000000"`
	// Maximum number of open connections. Further connections wait to be accepted.
	MaxConnections int `yaml:"MaxConnections" min:"1" max:"10000"`
}

// Runtime configures the daemon's workers, ticks, shutdown and retries.
type Runtime struct {
	// Number of goroutines that run the daemon's decision logic.
	Workers int `yaml:"Workers" min:"1" max:"1024"`
	// Interval between two ticks of the decision logic, in milliseconds.
	TickIntervalMillis clock.Millis `yaml:"TickIntervalMillis" min:"1" max:"1000"`
	// Maximum wait at shutdown for requests in progress, in milliseconds.
	DrainTimeoutMillis clock.Millis `yaml:"DrainTimeoutMillis" min:"0" max:"86400000"`
	// Maximum number of repeated attempts per first attempt, on average.
	RetryShare float64 `yaml:"RetryShare" min:"0" max:"1"`
}

// Platform configures reads from the platform's services.
type Platform struct {
	// Maximum wait for an answer from the platform, in milliseconds.
	TimeoutMillis clock.Millis `yaml:"TimeoutMillis" min:"100" max:"60000"`
	// Interval between two reads of the VM list, in milliseconds.
	ListIntervalMillis clock.Millis `yaml:"ListIntervalMillis" min:"100" max:"60000"`
}

// Rollout configures how published configurations are received and distributed.
type Rollout struct {
	// Number of daemons in a data centre that watch the configuration service.
	Watchers int `yaml:"Watchers" min:"1" max:"100"`
	// Maximum wait of one watch call, in milliseconds.
	WatchWaitMillis clock.Millis `yaml:"WatchWaitMillis" min:"100" max:"60000"`
	// Time after which a watcher repeats a failed call, in milliseconds.
	RetryIntervalMillis clock.Millis `yaml:"RetryIntervalMillis" min:"10" max:"60000"`
	// Maximum time between the calls of a daemon that watches only because the
	// watchers are silent, in milliseconds.
	MaxRetryIntervalMillis clock.Millis `yaml:"MaxRetryIntervalMillis" min:"10" max:"600000"`
	// Interval between two reads by a daemon that does not watch, in milliseconds.
	PollIntervalMillis clock.Millis `yaml:"PollIntervalMillis" min:"1000" max:"3600000"`
	// Time without messages from any watcher of the data centre after which other
	// daemons watch, in milliseconds.
	ContactTimeoutMillis clock.Millis `yaml:"ContactTimeoutMillis" min:"100" max:"60000"`
	// Interval between two offers of the configuration to other daemons, in
	// milliseconds.
	OfferIntervalMillis clock.Millis `yaml:"OfferIntervalMillis" min:"10" max:"60000"`
	// Time after which a part of a configuration that has not arrived is requested
	// from another source, in milliseconds.
	FetchTimeoutMillis clock.Millis `yaml:"FetchTimeoutMillis" min:"10" max:"60000"`
	// Maximum time for which a new daemon waits for offers from its peers, in
	// milliseconds.
	InquirySpanMillis clock.Millis `yaml:"InquirySpanMillis" min:"10" max:"60000"`
}

// Peers configures the connections between daemons.
type Peers struct {
	// Minimum interval between two pings on a connection, in milliseconds. It is
	// longer if the daemon has many connections.
	PingMillis clock.Millis `yaml:"PingMillis" min:"10" max:"60000"`
	// Minimum time without any message, ping or pong after which a connection to a
	// peer counts as lost, in milliseconds. The time used is at least three times the
	// interval between pings.
	SilenceMillis clock.Millis `yaml:"SilenceMillis" min:"20" max:"600000"`
	// Time between two attempts to connect to a peer, in milliseconds.
	RedialMillis clock.Millis `yaml:"RedialMillis" min:"10" max:"60000"`
}

// Ownership configures which daemon owns an engine, that is, sends it orders.
// ListLagMillis, ClockMarginMillis, OrderSpanMillis and ReportLagMillis are assumptions
// about the platform. For engines that do not check fencing numbers, exclusive ownership
// is guaranteed only while they hold.
type Ownership struct {
	// Maximum age of the VM list at which an owner sends orders, in milliseconds.
	ViewAgeMillis clock.Millis `yaml:"ViewAgeMillis" min:"100" max:"600000"`
	// Maximum delay until the VM list shows a change, in milliseconds.
	ListLagMillis clock.Millis `yaml:"ListLagMillis" min:"0" max:"600000"`
	// Maximum difference between the clocks of two VMs, in milliseconds.
	ClockMarginMillis clock.Millis `yaml:"ClockMarginMillis" min:"0" max:"600000"`
	// Maximum age at which a handover from the former owner replaces the waiting period
	// of the new one, in milliseconds.
	HandoverSpanMillis clock.Millis `yaml:"HandoverSpanMillis" min:"10" max:"60000"`
	// Maximum time from the decision to send an order until it arrives at the engine,
	// in milliseconds.
	OrderSpanMillis clock.Millis `yaml:"OrderSpanMillis" min:"10" max:"60000"`
	// Maximum time by which an engine's report is older than its stated age, in
	// milliseconds.
	ReportLagMillis clock.Millis `yaml:"ReportLagMillis" min:"0" max:"60000"`
	// Time without messages after which a daemon is skipped as owner of engines that
	// check fencing numbers, in milliseconds.
	SuspicionMillis clock.Millis `yaml:"SuspicionMillis" min:"100" max:"600000"`
	// Maximum time between two steps of the decision logic, in milliseconds. A longer
	// time counts as a pause of the process.
	PauseMillis clock.Millis `yaml:"PauseMillis" min:"100" max:"60000"`
}

// Engines configures calls to model engines.
type Engines struct {
	// Maximum wait for a connection, in milliseconds.
	DialTimeoutMillis clock.Millis `yaml:"DialTimeoutMillis" min:"10" max:"60000"`
	// Maximum wait for the headers of a run's answer, in milliseconds. An answer that
	// is not streamed has them only at its end.
	HeadTimeoutMillis clock.Millis `yaml:"HeadTimeoutMillis" min:"100" max:"3600000"`
	// Maximum wait for the end of a load or unload order, in milliseconds.
	LoadTimeoutMillis clock.Millis `yaml:"LoadTimeoutMillis" min:"100" max:"3600000"`
	// Maximum wait for an engine's answer to a cancel, in milliseconds.
	CancelTimeoutMillis clock.Millis `yaml:"CancelTimeoutMillis" min:"100" max:"60000"`
	// Maximum wait for an engine's report, in milliseconds.
	ReportTimeoutMillis clock.Millis `yaml:"ReportTimeoutMillis" min:"100" max:"60000"`
	// Maximum number of idle connections kept per engine.
	MaxIdleConnections int `yaml:"MaxIdleConnections" min:"0" max:"10000"`
	// Maximum size of an answer that is not streamed, in bytes. A larger answer counts
	// as truncated.
	MaxAnswerBytes int64 `yaml:"MaxAnswerBytes" min:"1024" max:"67108864"`
	// Interval between two reads of an owned engine's report, in milliseconds.
	ReportIntervalMillis clock.Millis `yaml:"ReportIntervalMillis" min:"10" max:"60000"`
	// Minimum interval between two updates to other daemons on the state of owned
	// engines, in milliseconds.
	StateIntervalMillis clock.Millis `yaml:"StateIntervalMillis" min:"10" max:"60000"`
}

// Services configures calls to plain services.
type Services struct {
	// Maximum wait for a connection, in milliseconds.
	DialTimeoutMillis clock.Millis `yaml:"DialTimeoutMillis" min:"10" max:"60000"`
	// Maximum wait for a whole answer, in milliseconds.
	TimeoutMillis clock.Millis `yaml:"TimeoutMillis" min:"100" max:"3600000"`
	// Maximum number of idle connections kept per address.
	MaxIdleConnections int `yaml:"MaxIdleConnections" min:"0" max:"10000"`
	// Maximum size of an answer, in bytes. A larger answer counts as lost.
	MaxAnswerBytes int64 `yaml:"MaxAnswerBytes" min:"1024" max:"67108864"`
}

// Queue configures the requests that wait at the owner of an engine.
type Queue struct {
	// Maximum number of waiting urgent requests.
	UrgentLength int `yaml:"UrgentLength" min:"1" max:"1000000"`
	// Maximum number of waiting routine requests.
	RoutineLength int `yaml:"RoutineLength" min:"1" max:"1000000"`
	// Number of concurrent runs of each engine that are reserved for urgent requests.
	UrgentReserveRuns int `yaml:"UrgentReserveRuns" min:"0" max:"1024"`
	// Number of urgent runs dispatched in a row after which a routine run that is
	// ready goes next.
	RoutineFloor int `yaml:"RoutineFloor" min:"1" max:"10000"`
	// Time that a routine request waits for an idle slot before a slot gets no further
	// runs so that it becomes idle, in milliseconds. With 0, no slot yields in this
	// way.
	RoomWaitMillis clock.Millis `yaml:"RoomWaitMillis" min:"0" max:"600000"`
	// Number of times that a run is resumed after its connection to the engine was
	// lost.
	ResumeTries int `yaml:"ResumeTries" min:"0" max:"100"`
	// Time after which an unconfirmed cancel is repeated, in milliseconds.
	CancelIntervalMillis clock.Millis `yaml:"CancelIntervalMillis" min:"10" max:"60000"`
}

// Loads configures loads of adapters from weight stores.
type Loads struct {
	// Maximum number of loads granted at the same time at each weight store.
	Parallel int `yaml:"Parallel" min:"1" max:"64"`
	// Time after which a grant that was not returned goes to another load, in
	// milliseconds.
	LeaseMillis clock.Millis `yaml:"LeaseMillis" min:"100" max:"600000"`
	// Time for which an adapter is not loaded again after a failed load, in
	// milliseconds. It doubles with each consecutive failure.
	BackoffMillis clock.Millis `yaml:"BackoffMillis" min:"10" max:"600000"`
	// Number of consecutive failed loads after which the waiting requests are refused
	// or sent to another engine.
	Tries int `yaml:"Tries" min:"1" max:"100"`
	// Time after which a use of an adapter counts half when an adapter is chosen for
	// eviction, in milliseconds.
	HalfLifeMillis clock.Millis `yaml:"HalfLifeMillis" min:"1000" max:"86400000"`
	// Assumed duration of a load until durations have been measured at the store, in
	// milliseconds.
	SpanMillis clock.Millis `yaml:"SpanMillis" min:"1" max:"600000"`
	// Time kept free before each deadline in the schedule of loads, in milliseconds.
	MarginMillis clock.Millis `yaml:"MarginMillis" min:"0" max:"60000"`
	// Time without an answer from the load broker after which a daemon loads at its
	// own share of the store's rate, in milliseconds.
	BrokerSilenceMillis clock.Millis `yaml:"BrokerSilenceMillis" min:"100" max:"600000"`
	// Time after which a request for a load that the broker has not granted is
	// repeated, in milliseconds.
	AskIntervalMillis clock.Millis `yaml:"AskIntervalMillis" min:"10" max:"60000"`
	// Number of urgent loads in a row after which a routine load goes next, unless an
	// urgent load would then be late.
	RoutineFloor int `yaml:"RoutineFloor" min:"1" max:"10000"`
}

// Keys configures the records of idempotency keys at their home, the daemon that decides
// whether a request with the key may run.
type Keys struct {
	// Time for which a finished attempt is remembered, in milliseconds.
	RetentionMillis clock.Millis `yaml:"RetentionMillis" min:"1000" max:"604800000"`
	// Maximum difference between the clocks of two daemons, and between theirs and the
	// clock that a key's issue time comes from, in milliseconds.
	ClockMarginMillis clock.Millis `yaml:"ClockMarginMillis" min:"0" max:"600000"`
	// Maximum age of the VM list at which a daemon acts as a home, in milliseconds.
	ViewAgeMillis clock.Millis `yaml:"ViewAgeMillis" min:"100" max:"600000"`
	// Maximum time for which a grant waits until its record is copied to a second
	// daemon, in milliseconds.
	CopySpanMillis clock.Millis `yaml:"CopySpanMillis" min:"1" max:"60000"`
	// Time after which an unconfirmed copy is sent again, in milliseconds.
	CopyIntervalMillis clock.Millis `yaml:"CopyIntervalMillis" min:"10" max:"60000"`
	// Maximum number of keys remembered, including copies for other homes.
	MaxRecords int `yaml:"MaxRecords" min:"16" max:"10000000"`
	// Maximum total size of the answers kept for repeated requests, in bytes.
	MaxStoredBytes int `yaml:"MaxStoredBytes" min:"0" max:"1073741824"`
	// Maximum size of an answer that is kept, in bytes. Of a larger answer, only the
	// outcome is remembered.
	MaxAnswerBytes int `yaml:"MaxAnswerBytes" min:"0" max:"67108864"`
}

// Placement weighs the costs by which the engine for a request is chosen.
type Placement struct {
	// Cost of loading the adapter into another engine while one that holds it has a
	// queue, in full batches queued there. A higher cost avoids loads.
	LoadCost float64 `yaml:"LoadCost" min:"0" max:"10000"`
	// Cost of each recent request for the adapter that would be evicted. The other
	// costs are relative to it.
	SpareCost float64 `yaml:"SpareCost" min:"0" max:"10000"`
	// Gain of loading an adapter into an engine with a full batch instead of an idle
	// one, in requests for the adapter that would be evicted. A higher gain fills
	// engine steps; 0 keeps load stalls shortest.
	BatchGain float64 `yaml:"BatchGain" min:"0" max:"10000"`
	// Cost of each position in an adapter's order of engines after the first. It
	// breaks ties in the same way at all daemons.
	AffinityCost float64 `yaml:"AffinityCost" min:"0" max:"10000"`
	// Number of engines that an adapter may be loaded into: the first in its order of
	// engines.
	SetSize int `yaml:"SetSize" min:"1" max:"10000"`
	// Age from which an engine's state is not used, in milliseconds.
	SilenceMillis clock.Millis `yaml:"SilenceMillis" min:"100" max:"600000"`
}

// Default returns the settings used where a file sets none. Identity and addresses have
// no default.
func Default() Settings {
	return Settings{
		Callers: Callers{
			MaxBodyBytes: 4 << 20, MaxHeaderBytes: 64 << 10, MaxKeyBytes: 255, MaxConnections: 4096,
			HeaderTimeoutMillis: 10 * clock.Second, BodyTimeoutMillis: 30 * clock.Second, IdleTimeoutMillis: 2 * clock.Minute,
		},
		Operators: Operators{LogLevel: "Info", AuditChanges: 4096, AuditRefusals: 1024, AuditPending: 1024, MaxConnections: 64},
		Runtime: Runtime{
			Workers: 8, TickIntervalMillis: 50 * clock.Millisecond,
			DrainTimeoutMillis: 2 * clock.Minute, RetryShare: 0.1,
		},
		Platform: Platform{TimeoutMillis: 5 * clock.Second, ListIntervalMillis: clock.Second},
		Rollout: Rollout{
			Watchers: 2, WatchWaitMillis: 5 * clock.Second, RetryIntervalMillis: clock.Second,
			MaxRetryIntervalMillis: 10 * clock.Second, PollIntervalMillis: clock.Minute,
			ContactTimeoutMillis: 2500 * clock.Millisecond, OfferIntervalMillis: clock.Second,
			FetchTimeoutMillis: 400 * clock.Millisecond, InquirySpanMillis: clock.Second,
		},
		Peers: Peers{
			PingMillis: clock.Second, SilenceMillis: 3 * clock.Second, RedialMillis: 250 * clock.Millisecond,
		},
		Ownership: Ownership{
			ViewAgeMillis: 2 * clock.Second, ListLagMillis: clock.Second, ClockMarginMillis: 250 * clock.Millisecond,
			HandoverSpanMillis: 250 * clock.Millisecond, OrderSpanMillis: 250 * clock.Millisecond,
			ReportLagMillis: 500 * clock.Millisecond, SuspicionMillis: 2 * clock.Second, PauseMillis: 500 * clock.Millisecond,
		},
		Engines: Engines{
			DialTimeoutMillis: 2 * clock.Second, HeadTimeoutMillis: 2 * clock.Minute, MaxIdleConnections: 64, MaxAnswerBytes: 32 << 20,
			LoadTimeoutMillis: 30 * clock.Second, CancelTimeoutMillis: 5 * clock.Second, ReportTimeoutMillis: 2 * clock.Second,
			ReportIntervalMillis: clock.Second, StateIntervalMillis: 250 * clock.Millisecond,
		},
		Services: Services{
			DialTimeoutMillis: 2 * clock.Second, TimeoutMillis: 30 * clock.Second, MaxIdleConnections: 64, MaxAnswerBytes: 8 << 20,
		},
		Queue: Queue{
			UrgentLength: 256, RoutineLength: 1024, UrgentReserveRuns: 1, RoutineFloor: 16, RoomWaitMillis: 2 * clock.Second,
			ResumeTries: 2, CancelIntervalMillis: clock.Second,
		},
		Loads: Loads{
			Parallel: 1, LeaseMillis: 5 * clock.Second, BackoffMillis: 500, Tries: 3,
			HalfLifeMillis: 5 * clock.Minute, SpanMillis: 500 * clock.Millisecond, MarginMillis: 100 * clock.Millisecond,
			BrokerSilenceMillis: 2 * clock.Second, AskIntervalMillis: 3 * clock.Second, RoutineFloor: 7,
		},
		Keys: Keys{
			RetentionMillis: clock.Hour, ClockMarginMillis: clock.Second, ViewAgeMillis: 3 * clock.Second,
			CopySpanMillis: 150 * clock.Millisecond, CopyIntervalMillis: 500 * clock.Millisecond,
			MaxRecords: 50_000, MaxStoredBytes: 24 << 20, MaxAnswerBytes: 256 << 10,
		},
		Placement: Placement{
			LoadCost: 4, SpareCost: 1, BatchGain: 0.25, AffinityCost: 0.01, SetSize: 9, SilenceMillis: 10 * clock.Second,
		},
	}
}
