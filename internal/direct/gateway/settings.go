// Package gateway implements the daemon that sends callers' requests directly to backend
// servers. It connects the decisions of its sibling packages: it reads the platform's store,
// exchanges state with the other daemons, sends orders to the servers that it owns, and passes
// requests and answers on. The platform's own formats are hidden behind the interfaces in
// Platform.
package gateway

import (
	"reflect"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/demand"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/footprint"
	"teaselmoor/internal/direct/intake"
	"teaselmoor/internal/direct/lease"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/mirror"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/prefill"
	"teaselmoor/internal/direct/quarantine"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/reach"
	"teaselmoor/internal/direct/retry"
	"teaselmoor/internal/direct/shed"
	"teaselmoor/internal/direct/speed"
	"teaselmoor/internal/direct/upstream"
)

// Settings hold a daemon's identity, its addresses and the demands of the platform.
type Settings struct {
	Name           string
	DataCentre     string
	Region         string
	Regions        map[string]string // by data centre
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	Seeds          []string     // peer addresses; some may be stale or down
	MemoryMB       int64        // 0: unknown
	MaxFDs         int          // file descriptors; 0: unknown
	Capacity       int          // in thousandths of a core
	Fenced         bool         // servers check the fencing numbers of orders
	Lease          clock.Millis // time without orders before another daemon may send orders to a server
	Grace          clock.Millis // time between the signal to stop and the kill of the process
	Retry          retry.Limits
	Quota          quota.Tolerance // how far accounts may exceed their limits
}

// Check reports the first setting that is missing or invalid.
func (settings *Settings) Check() error {
	for name, value := range map[string]string{
		"name": settings.Name, "data centre": settings.DataCentre, "caller address": settings.CallerAddress,
		"ready address": settings.ReadyAddress, "peer address": settings.PeerAddress,
	} {
		if value == "" {
			return errors.Errorf("the %s is missing", name)
		}
	}
	if settings.Lease <= 0 || settings.Grace <= 0 || settings.Retry.Window <= 0 {
		return errors.New("lease, grace and retry window must be above 0")
	}
	if settings.Retry.Ratio < 0 || settings.Retry.Extra < 0 {
		return errors.New("the retry budget must not be below 0")
	}
	if settings.Quota.Window < 0 || settings.Quota.Over < 0 || settings.Quota.Slack < 0 {
		return errors.New("the tolerance of accounts' limits must not be below 0")
	}
	return nil
}

// Changes returns the names of the settings that differ from those in after.
func (settings Settings) Changes(after Settings) []string {
	var changed []string
	before, now := reflect.ValueOf(settings), reflect.ValueOf(after)
	for i := range before.NumField() {
		if !reflect.DeepEqual(before.Field(i).Interface(), now.Field(i).Interface()) {
			changed = append(changed, before.Type().Field(i).Name)
		}
	}
	return changed
}

// Reload applies the settings that may change at run time: seeds, the retry budget, the
// tolerance of accounts' limits and the grace period. It returns all changed settings, and those
// that need a restart.
func (gateway *Gateway) Reload(after Settings) (changed, needRestart []string) {
	core := gateway.core
	core.mutex.Lock()
	before := core.settings
	core.settings.Seeds, core.settings.Retry, core.settings.Grace = after.Seeds, after.Retry, after.Grace
	core.settings.Quota = after.Quota
	core.retryAllowance.SetLimits(after.Retry)
	for _, budget := range core.budgets {
		budget.SetLimits(after.Retry)
	}
	core.ledger.SetTolerance(after.Quota)
	needRestart = core.settings.Changes(after)
	core.mutex.Unlock()
	gateway.updateConnections()
	return before.Changes(after), needRestart
}

// Options are the daemon's own limits and intervals.
type Options struct {
	Fleet      fleet.Options
	Weights    choose.Weights
	Hold       choose.DelayPolicy
	Turns      prefill.Options
	Loading    loading.Options
	Mirror     mirror.Options
	Peers      peers.Options
	Membership membership.Options
	Tenure     claims.Options
	Upstream   upstream.Options
	Quarantine quarantine.Options
	Demand     demand.Options
	Links      reach.Options
	Refusals   Refusals
	Speeds     speed.Options
	Shed       shed.Options
	Intake     intake.Options
	Leases     lease.Options
	Footprint  footprint.Options

	// Short has requests with a short goal to plain services placed without the load counts of
	// other daemons at a site with hubs.
	Short bool

	// TellInterval is the time between two deltas with the requests in progress, which peers
	// need to place their own.
	TellInterval clock.Millis
	// ReadingInterval is the time between two messages on which prompts are being read.
	ReadingInterval clock.Millis
	// HubInterval replaces TellInterval on a hub. Between hubs, and from a hub to its group,
	// changes take up to two such intervals.
	HubInterval clock.Millis
	// WorkPause is the minimum time between two messages of a daemon to its hub on its own
	// work.
	WorkPause clock.Millis
	// UpdateInterval is the time between two updates, which show that a daemon is alive and
	// what it claims.
	UpdateInterval clock.Millis
	// Advertise is the address that peers connect to if it differs from the one listened on,
	// for instance behind a port mapping. Empty means the same address.
	Advertise string
	// VersionGrace is how long an older version of an adapter is still used after operators
	// named a new one. The platform allows 5 s.
	VersionGrace clock.Millis
	// LoadPatience is the share of the time until a caller is expected to give up that its
	// request may wait for an adapter. The rest is for the first event of the answer.
	LoadPatience float64
	// WantInterval is the time between two requests for the same adapter. It is requested again
	// in case the owner of the server has changed.
	WantInterval clock.Millis
	// RetryAfter is the time that a refused caller is told to wait before it retries, unless the
	// reason for the refusal implies another one.
	RetryAfter clock.Millis
	// AccountsAge is the age of the store's last answer, to this daemon or to the one that
	// reads the store for it, from which on an unknown key may belong to a newer configuration.
	AccountsAge clock.Millis
	// MostSends bounds the number of times that a request is sent to a server.
	MostSends int
	// LeaveSpan is how long a stopping daemon still accepts connections. The platform's load
	// balancer needs two checks, a second apart, to stop using it.
	LeaveSpan clock.Millis
	// ExitMargin is the part of the grace period that is left for the process to exit.
	ExitMargin clock.Millis
	// IdleTimeout is the time after which idle connections of callers are closed.
	IdleTimeout clock.Millis
	// BodyBytes bounds a caller's body if the configuration does not.
	BodyBytes int64
	// SparePeers is the minimum number of daemons that the fixed allowance of retries is divided by, so that
	// a daemon that knows few peers yet does not use more than its share.
	SparePeers int
	// LoneDaemons is the number of daemons that a daemon assumes in its site, when it splits
	// the limits of accounts, until it has met another one. Up to that many daemons that are
	// isolated when they start stay within the limits together.
	LoneDaemons int
	// LogLines is the number of log lines that may be queued for writing.
	LogLines int
	// Dropped returns the number of dropped log lines; nil if they are not counted.
	Dropped func() int64 `yaml:"-"`
}

// DefaultOptions returns the default options for the lease and the fencing in the settings.
func DefaultOptions(settings Settings) Options {
	return Options{
		Fleet: fleet.DefaultOptions(), Weights: choose.DefaultWeights(), Hold: choose.DefaultDelayPolicy(), Turns: prefill.DefaultOptions(), Loading: loading.DefaultOptions(),
		Mirror: mirror.DefaultOptions(), Peers: peers.DefaultOptions(), Membership: membership.DefaultOptions(), Tenure: claims.DefaultOptions(settings.Lease, settings.Fenced),
		Upstream: upstream.DefaultOptions(), Quarantine: quarantine.DefaultOptions(), Demand: demand.DefaultOptions(), Links: reach.DefaultOptions(),
		Speeds: speed.DefaultOptions(), Refusals: DefaultRefusals(), Shed: shed.DefaultOptions(), Intake: intake.DefaultOptions(), Leases: lease.DefaultOptions(), Footprint: footprint.DefaultOptions(),

		Short: true, TellInterval: 100, ReadingInterval: 20, HubInterval: 50, WorkPause: 30, UpdateInterval: 500, VersionGrace: 2500,
		LoadPatience: 0.8, WantInterval: 400,
		RetryAfter: 500, AccountsAge: 2500, MostSends: 4, LeaveSpan: 2500, ExitMargin: 400,
		IdleTimeout: 60 * clock.Second, BodyBytes: 4 << 20, SparePeers: 8, LoneDaemons: 64, LogLines: 1024,
	}
}
