package gateway

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/brittle"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/demand"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/outage"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/prefill"
	"teaselmoor/internal/direct/quarantine"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/reach"
	"teaselmoor/internal/direct/retry"
	"teaselmoor/internal/direct/retryafter"
	"teaselmoor/internal/direct/throttle"
	"teaselmoor/internal/direct/versions"
)

// core holds the state that all goroutines of a daemon share. One mutex guards it: every step
// under the mutex is short and does no I/O. To avoid deadlock, locks of the peer network and the
// connection pool may be taken while it is held, but not the other way round.
type core struct {
	settings Settings
	options  Options
	decoder  platformapi.Decoder
	now      clock.Source // monotonic
	wall     clock.Source
	log      *slog.Logger

	incarnation int64      // wall clock at the start, in milliseconds
	random      *rand.Rand // guarded by mutex
	mutex       sync.Mutex // guards the fields below

	// State read from the store.
	catalog  *catalog.Catalog
	store    *storeCopy
	versions map[platformapi.Adapter]versions.History

	// Use of callers' accounts.
	ledger           *quota.Ledger
	usageReports     map[string]usageReport // by daemon that sent it
	lastHub          string                 // the last hub of this daemon
	accountsPrunedAt clock.Millis           // when unused accounts were last removed
	promises         *retryafter.Schedule   // to callers refused for their accounts' limits

	// Backend servers and their work.
	fleet             *fleet.Fleet
	work              *inflight.Tracker
	budgets           map[string]*retry.Budget             // by service
	retryAllowance    *retry.Allowance                     // share of the fixed allowance of retries
	readRate          *choose.ReadRate                     // of engines
	slotTime          choose.SlotTime                      // of engines
	loadAverage       *choose.LoadAverage                  // of plain services' servers
	shedding          loadShedding                         // at plain services
	crowdPromises     *retryafter.Schedule                 // to callers refused as this daemon is crowded
	loadRate          *loading.LoadRate                    // of adapter loads from the weight store
	promptBuckets     *choose.PromptBucket                 // prompt tokens recently sent to each server by all daemons of a mesh
	requestedAt       map[platformapi.Adapter]clock.Millis // when callers last requested an adapter here
	reportRequestedAt map[string]clock.Millis              // when a server's report was last requested because its table is unknown
	ordersWatchedAt   map[string]clock.Millis              // by server: when it was last asked for the count of its orders, if it has not answered
	quarantine        *quarantine.List                     // requests that servers have crashed on
	trials            *quarantine.Examiner                 // those that this daemon has granted as the site's examiner
	examined          map[content.ID]int                   // lost requests whose servers are being probed, by key
	trialCount        int64                                // trials that this daemon has asked for
	trialsRequestedAt map[content.ID]clock.Millis          // when this daemon last asked for a trial, by key
	lostRequests      map[string]*serverLosses             // by server, recent ones
	serverLimits      *throttle.Limits                     // request rates that servers have announced
	callerDemand      *demand.Table                        // how many requests each daemon receives
	sharers           []string                             // daemons that share what all of them may use
	serverRanks       map[string]int                       // of this daemon among the sharers, by server
	brittle           *brittle.Servers                     // servers that must not turn many requests away
	links             *reach.Monitor                       // whether this daemon reaches any server
	outages           *outage.Monitor                      // whether the store is away
	refresh           *storeRefresh                        // calls of the store that requests wait for
	handedOver        bool                                 // this daemon has given up its servers as it reaches none
	linksProbed       chan struct{}                        // closed at the end of the round of probes that is running
	origins           *origins                             // of streams
	proxies           *proxies                             // peers that take requests while it reaches none
	turns             *promptTurns                         // prompts that wait to be admitted at engines
	holdingsChanged   chan struct{}                        // closed and replaced when holdings change
	speeds            serverSpeeds                         // of engines

	// Ownership of servers, and the servers that this daemon owns.
	claims                 *claims.Registry
	orderWorkers           map[string]*orderWorker   // by server that this daemon owns
	modelTurns             map[string]*loading.Turns // base model loads, by service
	owners                 map[string]string         // by server: as received from this daemon's hub, or as a hub sends them
	relayedAdapterRequests map[string]waitingPeers   // by server: peers for which this hub has forwarded a request to the owner
	copiesRequested        map[platformapi.Adapter]requestedCopies
	ordersSent             int64

	// Other daemons.
	members       *membership.Membership
	hub           string            // whose aggregated counts are used; empty: each daemon sends its own
	lastHubAt     clock.Millis      // when this daemon last had a hub, or its start if it never had one
	peerNames     map[string]string // names of the daemons that connections are kept to, by address
	seedAddresses map[string]bool   // seed addresses that connections are kept to
	leaving       bool              // this daemon is stopping
	endsAt        clock.Millis      // when requests in progress are cut off then

	// Work of other daemons as they report it.
	snapshots map[string]peers.DaemonShare       // by daemon, this one included
	groups    map[string]groupSnapshot           // of other hubs
	sums      map[string]map[string]inflight.Sum // work of all other daemons, by reporting hub and server

	// State of what peers have been sent.
	sent          map[string]*sentState // by address
	groupSnapshot groupSnapshot         // of this daemon's group if it is a hub
	groupChanges  inflight.Share        // difference to the previous group snapshot
	ownersVersion int64                 // incremented when owners or learnedRates change on this daemon as a hub
	learnedRates  loading.RateEstimate  // of the weight store, as this daemon sends them as a hub
	sentReading   map[string]int        // prompt tokens being read, by server, as last sent to peers
	sentTokens    map[string]int        // prompt tokens of requests sent, by server, not yet reported to peers
	workChanged   chan struct{}         // holds a token when this daemon's work has changed
	usageChanged  chan struct{}         // holds a token when the use of accounts has changed
	deltaDue      chan struct{}         // holds a token when a delta should be sent soon
}

// orderWorker sends orders to one server that this daemon owns.
type orderWorker struct {
	planner     *loading.Planner
	serverStart int64
	fence       int64
	wake        chan struct{} // holds a token when an order may be due
	stop        func()
	waiting     waitingPeers
	prompts     *prefill.Queue
}

func newCore(settings Settings, options Options, decoder platformapi.Decoder, now, wall clock.Source, log *slog.Logger) *core {
	core := &core{
		settings:    settings,
		options:     options,
		decoder:     decoder,
		now:         now,
		wall:        wall,
		log:         log,
		incarnation: int64(wall()),

		store:    newStoreCopy(),
		versions: make(map[platformapi.Adapter]versions.History),

		ledger:       quota.New(now(), settings.Quota),
		usageReports: make(map[string]usageReport),
		promises:     retryafter.New(retryafter.DefaultOptions()),

		fleet:             fleet.New(options.Fleet),
		work:              inflight.New(),
		budgets:           make(map[string]*retry.Budget),
		retryAllowance:    retry.NewAllowance(settings.Retry, now(), options.SparePeers),
		readRate:          choose.NewReadRate(),
		loadRate:          loading.NewLoadRate(),
		promptBuckets:     choose.NewPromptBucket(),
		loadAverage:       choose.NewLoadAverage(),
		shedding:          newLoadShedding(),
		crowdPromises:     newCrowdPromises(),
		requestedAt:       make(map[platformapi.Adapter]clock.Millis),
		reportRequestedAt: make(map[string]clock.Millis),
		ordersWatchedAt:   make(map[string]clock.Millis),
		lostRequests:      make(map[string]*serverLosses),
		quarantine:        quarantine.New(options.Quarantine),
		trials:            quarantine.NewExaminer(),
		examined:          make(map[content.ID]int),
		trialsRequestedAt: make(map[content.ID]clock.Millis),
		serverLimits:      throttle.New(settings.Name),
		callerDemand:      demand.New(options.Demand, settings.Name, int64(wall())),
		sharers:           []string{settings.Name},
		serverRanks:       make(map[string]int),
		brittle:           brittle.New(),
		links:             reach.New(options.Links),
		outages:           outage.New(outage.DefaultOptions()),
		refresh:           newStoreRefresh(),
		origins:           newOrigins(now()),
		proxies:           newProxies(),
		turns:             newPromptTurns(options.Turns, int64(wall())),
		holdingsChanged:   make(chan struct{}),
		speeds:            newServerSpeeds(settings.Name, options.Speeds),

		claims:                 claims.New(options.Tenure, settings.Name, now(), wall, newRandom()),
		orderWorkers:           make(map[string]*orderWorker),
		modelTurns:             make(map[string]*loading.Turns),
		owners:                 make(map[string]string),
		relayedAdapterRequests: make(map[string]waitingPeers),
		copiesRequested:        make(map[platformapi.Adapter]requestedCopies),

		peerNames:     make(map[string]string),
		seedAddresses: make(map[string]bool),

		snapshots: make(map[string]peers.DaemonShare),
		groups:    make(map[string]groupSnapshot),
		sums:      make(map[string]map[string]inflight.Sum),

		sent:         make(map[string]*sentState),
		sentReading:  make(map[string]int),
		sentTokens:   make(map[string]int),
		workChanged:  make(chan struct{}, 1),
		usageChanged: make(chan struct{}, 1),
		deltaDue:     make(chan struct{}, 1),
	}
	core.random = newRandom()
	core.ledger.SetReserveShare(options.Refusals.ReserveShare)
	core.lastHubAt = now()
	core.members = membership.New(options.Membership, core.self(), core.lastHubAt, core.incarnation, core.hasOtherSeeds())
	return core
}

// newRandom returns a source of random numbers that differ from those of all other daemons and starts.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// hasOtherSeeds reports whether the seeds include other daemons.
func (core *core) hasOtherSeeds() bool {
	return slices.ContainsFunc(core.settings.Seeds, func(seed string) bool { return seed != core.settings.PeerAddress })
}

// wakeWaitingRequests wakes the requests that wait for holdings to change. The mutex must be
// held.
func (core *core) wakeWaitingRequests() {
	close(core.holdingsChanged)
	core.holdingsChanged = make(chan struct{})
}

// requestDelta requests that peers be sent a delta soon. The mutex must be held.
func (core *core) requestDelta() {
	select {
	case core.deltaDue <- struct{}{}:
	default:
	}
}

// markWorkChanged records that this daemon's requests in progress have changed. The mutex must
// be held.
func (core *core) markWorkChanged() {
	select {
	case core.workChanged <- struct{}{}:
	default:
	}
}

// isReady reports whether the daemon can take new requests: it has a configuration and the
// store's items, and is not stopping.
func (core *core) isReady() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.catalog != nil && core.store.revision > 0 && !core.leaving
}

// callerLimits returns the limits on callers' requests of the configuration in force; the zero Limits without one.
func (core *core) callerLimits() catalog.Limits {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.catalog == nil {
		return catalog.Limits{}
	}
	return core.catalog.Limits
}

// newestVersion returns the newest version of an adapter that operators named, or 0 if there is
// none. The mutex must be held.
func (core *core) newestVersion(adapter platformapi.Adapter) int {
	return core.versions[adapter].Newest()
}

// requiredVersion returns the lowest version of an adapter that may be used now, or 0 for any. The mutex must be
// held.
func (core *core) requiredVersion(now clock.Millis, adapter platformapi.Adapter) int {
	return core.versions[adapter].Required(now, core.options.VersionGrace)
}

// learnVersion records that operators named a version, and reports whether it is a newer one. The mutex must be held.
func (core *core) learnVersion(now clock.Millis, named platformapi.AdapterVersion) bool {
	history, newer := core.versions[named.Adapter].Add(now, named.Version, core.options.VersionGrace)
	core.versions[named.Adapter] = history
	return newer
}

// adapterHash returns the hash by which the preferred servers of an adapter are chosen. All
// daemons must compute the same value.
func adapterHash(adapter platformapi.Adapter) uint64 {
	return xxhash.Sum64String(adapter.Model + "/" + adapter.Name)
}

// choose selects a server. The mutex must be held.
func (core *core) choose(query choose.Query, hash uint64) (choose.Choice, bool) {
	return core.weights().Choose(query, hash, core.fleet, core.work)
}

// weights returns the weights for choosing a server, adjusted to observed rates and times. The
// mutex must be held.
func (core *core) weights() choose.Weights {
	weights := core.options.Weights.WithObserved(core.readRate.TokensPerMS(), core.loadRate.LoadTime(), core.loadRate.RecentLoadTime())
	weights.Slot = core.slotTime.Millis()
	return weights
}
