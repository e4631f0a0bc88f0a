package settings

import "teaselmoor/internal/base/clock"

// Settings are one daemon's settings. The tags state the values allowed: min and
// max bound numbers, oneof lists words, want names a form.
type Settings struct {
	// The VM's name, as in the VM list.
	Name string `yaml:"Name" want:"text"`
	// The data centre that the VM stands in.
	DataCentre string `yaml:"DataCentre" want:"text"`
	// The region that the data centre belongs to.
	Region string `yaml:"Region" want:"text"`
	// Where the daemon listens for callers (IP:port).
	CallerAddress string `yaml:"CallerAddress" want:"address"`
	// Where the daemon listens for other daemons (IP:port); the VM list publishes it.
	InnerAddress string `yaml:"InnerAddress" want:"address"`
	// Where the daemon listens for operators and for metrics collectors (IP:port).
	// Nothing is asked of who connects there: keep it off the callers' network.
	OperatorAddress string `yaml:"OperatorAddress" want:"address"`
	// The platform's configuration service (IP:port).
	ConfigAddress string `yaml:"ConfigAddress" want:"address"`
	// The platform's VM list (IP:port).
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

// Callers bounds what callers may send and how long they may take.
type Callers struct {
	// Largest body of a request, in bytes.
	MaxBodyBytes int64 `yaml:"MaxBodyBytes" min:"1024" max:"67108864"`
	// Largest head of a request, in bytes.
	MaxHeaderBytes int `yaml:"MaxHeaderBytes" min:"1024" max:"1048576"`
	// Longest idempotency key, in bytes.
	MaxKeyBytes int `yaml:"MaxKeyBytes" min:"36" max:"1024"`
	// Connections open at once; further ones wait to be accepted.
	MaxConnections int `yaml:"MaxConnections" min:"1" max:"1000000"`
	// Longest wait for the head of a request, in milliseconds.
	HeaderTimeoutMillis clock.Millis `yaml:"HeaderTimeoutMillis" min:"100" max:"600000"`
	// Longest wait for the whole of a request, in milliseconds. Answers are not bounded by it.
	BodyTimeoutMillis clock.Millis `yaml:"BodyTimeoutMillis" min:"100" max:"600000"`
	// Span after which a connection without a request is closed, in milliseconds.
	IdleTimeoutMillis clock.Millis `yaml:"IdleTimeoutMillis" min:"1000" max:"3600000"`
}

// Operators is about what operators see of the daemon.
type Operators struct {
	// Least level of the lines logged. The audit trail is written at every level.
	LogLevel string `yaml:"LogLevel" oneof:"Debug Info Warn Error"`
	// Serve profiles of the process under /debug/pprof/ at the operators' address.
	Profiling bool `yaml:"Profiling"`
	// Changes kept in memory for the audit command.
	AuditChanges int `yaml:"AuditChanges" min:"16" max:"1000000"`
	// Refusals kept in memory for the audit and explain commands.
	AuditRefusals int `yaml:"AuditRefusals" min:"16" max:"1000000"`
	// Lines of the audit trail that may wait to be written; further ones are dropped.
	AuditPending int `yaml:"AuditPending" min:"16" max:"1000000"`
	// Connections open at once; further ones wait to be accepted.
	MaxConnections int `yaml:"MaxConnections" min:"1" max:"10000"`
}

// Runtime is about the daemon's own work.
type Runtime struct {
	// Goroutines that step the decision machines.
	Workers int `yaml:"Workers" min:"1" max:"1024"`
	// Span between two ticks of the decision machines, in milliseconds.
	TickIntervalMillis clock.Millis `yaml:"TickIntervalMillis" min:"1" max:"1000"`
	// Longest wait at shutdown for the requests in progress, in milliseconds.
	DrainTimeoutMillis clock.Millis `yaml:"DrainTimeoutMillis" min:"0" max:"86400000"`
	// Repeated attempts allowed for each first attempt, on average.
	RetryShare float64 `yaml:"RetryShare" min:"0" max:"1"`
}

// Platform is about reading the platform's services.
type Platform struct {
	// Longest wait for an answer of the platform, in milliseconds.
	TimeoutMillis clock.Millis `yaml:"TimeoutMillis" min:"100" max:"60000"`
	// Span between two reads of the VM list, in milliseconds.
	ListIntervalMillis clock.Millis `yaml:"ListIntervalMillis" min:"100" max:"60000"`
}

// Rollout is about taking in published configurations.
type Rollout struct {
	// Daemons of a data centre that watch the configuration service.
	Watchers int `yaml:"Watchers" min:"1" max:"100"`
	// Longest wait of one watch call, in milliseconds.
	WatchWaitMillis clock.Millis `yaml:"WatchWaitMillis" min:"100" max:"60000"`
	// Span after which a watcher repeats a failed call, in milliseconds.
	RetryIntervalMillis clock.Millis `yaml:"RetryIntervalMillis" min:"10" max:"60000"`
	// Longest span between the calls of a daemon that watches only because the
	// watchers are silent, in milliseconds.
	MaxRetryIntervalMillis clock.Millis `yaml:"MaxRetryIntervalMillis" min:"10" max:"600000"`
	// Span between two reads by daemons that do not watch, in milliseconds.
	PollIntervalMillis clock.Millis `yaml:"PollIntervalMillis" min:"1000" max:"3600000"`
	// Silence of all watchers of the data centre after which others watch, in milliseconds.
	ContactTimeoutMillis clock.Millis `yaml:"ContactTimeoutMillis" min:"100" max:"60000"`
	// Span between two offers to other daemons, in milliseconds.
	OfferIntervalMillis clock.Millis `yaml:"OfferIntervalMillis" min:"10" max:"60000"`
	// Span after which a part is asked for elsewhere, in milliseconds.
	FetchTimeoutMillis clock.Millis `yaml:"FetchTimeoutMillis" min:"10" max:"60000"`
	// Longest wait of a new daemon for its peers' offers, in milliseconds.
	InquirySpanMillis clock.Millis `yaml:"InquirySpanMillis" min:"10" max:"60000"`
}

// Peers is about the connections between daemons.
type Peers struct {
	// Span between two pings, in milliseconds.
	PingMillis clock.Millis `yaml:"PingMillis" min:"10" max:"60000"`
	// Span without any word after which a peer counts as lost, in milliseconds.
	SilenceMillis clock.Millis `yaml:"SilenceMillis" min:"20" max:"600000"`
	// Span between two tries to connect, in milliseconds.
	RedialMillis clock.Millis `yaml:"RedialMillis" min:"10" max:"60000"`
}

// Ownership is about which daemon gives orders to an engine. ListLagMillis,
// ClockMarginMillis, OrderSpanMillis and ReportLagMillis are assumptions about
// the platform: of engines that ignore fencing numbers, exclusive ownership holds
// only while they do.
type Ownership struct {
	// Age of the VM list up to which an owner gives orders, in milliseconds.
	ViewAgeMillis clock.Millis `yaml:"ViewAgeMillis" min:"100" max:"600000"`
	// Longest span by which the VM list lags behind the truth, in milliseconds.
	ListLagMillis clock.Millis `yaml:"ListLagMillis" min:"0" max:"600000"`
	// Largest difference between the clocks of two VMs, in milliseconds.
	ClockMarginMillis clock.Millis `yaml:"ClockMarginMillis" min:"0" max:"600000"`
	// Age up to which a handover replaces the waiting period, in milliseconds.
	HandoverSpanMillis clock.Millis `yaml:"HandoverSpanMillis" min:"10" max:"60000"`
	// Longest span from the decision to give an order to its arrival at the
	// engine, in milliseconds.
	OrderSpanMillis clock.Millis `yaml:"OrderSpanMillis" min:"10" max:"60000"`
	// Longest span by which an engine's report is older than it says, in milliseconds.
	ReportLagMillis clock.Millis `yaml:"ReportLagMillis" min:"0" max:"60000"`
	// Silence after which a daemon is passed over for engines that check fencing
	// numbers, in milliseconds.
	SuspicionMillis clock.Millis `yaml:"SuspicionMillis" min:"100" max:"600000"`
	// Gap between two steps that counts as a pause of the process, in milliseconds.
	PauseMillis clock.Millis `yaml:"PauseMillis" min:"100" max:"60000"`
}

// Engines is about calls to model engines.
type Engines struct {
	// Longest wait for a connection, in milliseconds.
	DialTimeoutMillis clock.Millis `yaml:"DialTimeoutMillis" min:"10" max:"60000"`
	// Longest wait for the head of a run's answer, in milliseconds; one that is not streamed has it only at its end.
	HeadTimeoutMillis clock.Millis `yaml:"HeadTimeoutMillis" min:"100" max:"3600000"`
	// Longest wait for the end of a load or unload order, in milliseconds.
	LoadTimeoutMillis clock.Millis `yaml:"LoadTimeoutMillis" min:"100" max:"3600000"`
	// Longest wait for an engine's word on a cancel, in milliseconds.
	CancelTimeoutMillis clock.Millis `yaml:"CancelTimeoutMillis" min:"100" max:"60000"`
	// Longest wait for an engine's report, in milliseconds.
	ReportTimeoutMillis clock.Millis `yaml:"ReportTimeoutMillis" min:"100" max:"60000"`
	// Idle connections kept to each engine.
	MaxIdleConnections int `yaml:"MaxIdleConnections" min:"0" max:"10000"`
	// Largest answer that is not streamed, in bytes; a larger one counts as truncated.
	MaxAnswerBytes int64 `yaml:"MaxAnswerBytes" min:"1024" max:"67108864"`
	// Span between two reads of an engine's report, in milliseconds.
	ReportIntervalMillis clock.Millis `yaml:"ReportIntervalMillis" min:"10" max:"60000"`
	// Span between two words to other daemons on an owned engine, in milliseconds.
	StateIntervalMillis clock.Millis `yaml:"StateIntervalMillis" min:"10" max:"60000"`
}

// Services is about calls to plain services.
type Services struct {
	// Longest wait for a connection, in milliseconds.
	DialTimeoutMillis clock.Millis `yaml:"DialTimeoutMillis" min:"10" max:"60000"`
	// Longest wait for a whole answer, in milliseconds.
	TimeoutMillis clock.Millis `yaml:"TimeoutMillis" min:"100" max:"3600000"`
	// Idle connections kept to each address.
	MaxIdleConnections int `yaml:"MaxIdleConnections" min:"0" max:"10000"`
	// Largest answer, in bytes; a larger one counts as lost.
	MaxAnswerBytes int64 `yaml:"MaxAnswerBytes" min:"1024" max:"67108864"`
}

// Queue is about requests that wait for an engine, at its owner.
type Queue struct {
	// Urgent requests that may wait.
	UrgentLength int `yaml:"UrgentLength" min:"1" max:"1000000"`
	// Routine requests that may wait.
	RoutineLength int `yaml:"RoutineLength" min:"1" max:"1000000"`
	// Runs of each engine kept free for urgent requests.
	UrgentReserveRuns int `yaml:"UrgentReserveRuns" min:"0" max:"1024"`
	// Urgent runs dispatched in a row after which a routine one that is ready goes next.
	RoutineFloor int `yaml:"RoutineFloor" min:"1" max:"10000"`
	// Span that a routine request waits for an idle slot before a slot takes no
	// further runs for its sake, in milliseconds; 0 lets no slot yield.
	RoomWaitMillis clock.Millis `yaml:"RoomWaitMillis" min:"0" max:"600000"`
	// Times that a lost run is resumed at its engine.
	ResumeTries int `yaml:"ResumeTries" min:"0" max:"100"`
	// Span after which an unconfirmed cancel is repeated, in milliseconds.
	CancelIntervalMillis clock.Millis `yaml:"CancelIntervalMillis" min:"10" max:"60000"`
}

// Loads is about loading adapters from weight stores.
type Loads struct {
	// Loads granted at once at each weight store.
	Parallel int `yaml:"Parallel" min:"1" max:"64"`
	// Span after which a grant that was not returned goes to another load, in milliseconds.
	LeaseMillis clock.Millis `yaml:"LeaseMillis" min:"100" max:"600000"`
	// Span during which an adapter is not loaded again after a failed load, in
	// milliseconds; doubled with each failure in a row.
	BackoffMillis clock.Millis `yaml:"BackoffMillis" min:"10" max:"600000"`
	// Failed loads after which the waiting requests are refused or go to another engine.
	Tries int `yaml:"Tries" min:"1" max:"100"`
	// Span after which a use of an adapter counts half when a slot is needed, in milliseconds.
	HalfLifeMillis clock.Millis `yaml:"HalfLifeMillis" min:"1000" max:"86400000"`
	// Span that a load is taken to last until the store has shown it, in milliseconds.
	SpanMillis clock.Millis `yaml:"SpanMillis" min:"1" max:"600000"`
	// Span kept free before each deadline when loads are put in order, in milliseconds.
	MarginMillis clock.Millis `yaml:"MarginMillis" min:"0" max:"60000"`
	// Silence of the load broker after which a daemon loads at its own share of the
	// store's rate, in milliseconds.
	BrokerSilenceMillis clock.Millis `yaml:"BrokerSilenceMillis" min:"100" max:"600000"`
	// Span after which the broker is asked again for a load that it has not
	// granted, in milliseconds.
	AskIntervalMillis clock.Millis `yaml:"AskIntervalMillis" min:"10" max:"60000"`
	// Urgent loads in a row after which a routine one goes next, unless an urgent
	// one would then be late.
	RoutineFloor int `yaml:"RoutineFloor" min:"1" max:"10000"`
}

// Keys is about idempotency keys, at their home.
type Keys struct {
	// Span for which a finished attempt is remembered, in milliseconds.
	RetentionMillis clock.Millis `yaml:"RetentionMillis" min:"1000" max:"604800000"`
	// Largest difference between two daemons' clocks, and between theirs and the
	// clock that a key's issue time comes from, in milliseconds.
	ClockMarginMillis clock.Millis `yaml:"ClockMarginMillis" min:"0" max:"600000"`
	// Age of the VM list up to which a daemon acts as home, in milliseconds.
	ViewAgeMillis clock.Millis `yaml:"ViewAgeMillis" min:"100" max:"600000"`
	// Longest wait of a grant for the copy of its record, in milliseconds.
	CopySpanMillis clock.Millis `yaml:"CopySpanMillis" min:"1" max:"60000"`
	// Span after which an unconfirmed copy is sent again, in milliseconds.
	CopyIntervalMillis clock.Millis `yaml:"CopyIntervalMillis" min:"10" max:"60000"`
	// Keys remembered at most, copies for other homes included.
	MaxRecords int `yaml:"MaxRecords" min:"16" max:"10000000"`
	// Largest sum of the answers kept for callers that ask again, in bytes.
	MaxStoredBytes int `yaml:"MaxStoredBytes" min:"0" max:"1073741824"`
	// Largest answer kept, in bytes; of a larger one only the outcome is remembered.
	MaxAnswerBytes int `yaml:"MaxAnswerBytes" min:"0" max:"67108864"`
}

// Placement weighs what an engine costs a request.
type Placement struct {
	// Cost of loading the adapter at a further engine while one that holds it has
	// a queue, in full batches queued there. A higher one avoids loads.
	LoadCost float64 `yaml:"LoadCost" min:"0" max:"10000"`
	// Cost of each request that asked lately for the adapter that would be evicted.
	// The other costs are measured against it.
	SpareCost float64 `yaml:"SpareCost" min:"0" max:"10000"`
	// Gain of loading an adapter into an engine with a full batch against an idle
	// one, in requests for the adapter evicted. A higher one fills engine steps; 0
	// keeps load stalls shortest.
	BatchGain float64 `yaml:"BatchGain" min:"0" max:"10000"`
	// Cost of each step down an adapter's order of engines; it settles ties alike
	// at all daemons.
	AffinityCost float64 `yaml:"AffinityCost" min:"0" max:"10000"`
	// Engines that an adapter may be loaded into, the first in its order of engines.
	SetSize int `yaml:"SetSize" min:"1" max:"10000"`
	// Age from which an engine's state is not relied on, in milliseconds.
	SilenceMillis clock.Millis `yaml:"SilenceMillis" min:"100" max:"600000"`
}

// Default returns the settings used where a file names none. Identity and
// addresses have no default.
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
