// Package gateway serves callers by sending their requests straight to backend
// servers. It runs the decisions of its sibling packages: it reads the platform's
// store, talks to the other daemons, gives orders to the servers that fall to it,
// and passes requests and answers on. What the platform calls things is behind
// the interfaces of package port.
package gateway

import (
	"reflect"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/mirror"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/quarantine"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/retry"
	"teaselmoor/internal/direct/upstream"
)

// Settings say who a daemon is, where it listens and what the platform demands.
type Settings struct {
	Name           string
	DataCentre     string
	Region         string
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	Seeds          []string // peer addresses; some may be stale or down
	MemoryMB       int64
	Capacity       int          // in thousandths of a core
	Fenced         bool         // servers check the fencing numbers of orders
	Lease          clock.Millis // quiet span between the orders of two daemons to one server
	Grace          clock.Millis // between the signal to stop and the kill
	Retry          retry.Limits
	Quota          quota.Tolerance // by how much accounts may exceed their limits
}

// Check reports the first setting that is missing or makes no sense.
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

// Changes names the settings that differ between two readings of the file.
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

// Reload takes over what may change while the daemon runs: seeds, the retry
// budget, the tolerance of accounts' limits, the grace span. It returns the settings that wait for a restart.
func (gateway *Gateway) Reload(after Settings) (changed, waiting []string) {
	core := gateway.core
	core.mutex.Lock()
	before := core.settings
	core.settings.Seeds, core.settings.Retry, core.settings.Grace = after.Seeds, after.Retry, after.Grace
	core.settings.Quota = after.Quota
	for _, budget := range core.budgets {
		budget.SetLimits(after.Retry)
	}
	core.ledger.SetTolerance(after.Quota)
	waiting = core.settings.Changes(after)
	core.mutex.Unlock()
	gateway.relink()
	return before.Changes(after), waiting
}

// Options are the project's own limits.
type Options struct {
	Fleet      fleet.Options
	Weights    choose.Weights
	Hold       choose.DelayPolicy
	Loading    loading.Options
	Mirror     mirror.Options
	Peers      peers.Options
	Membership membership.Options
	Tenure     claims.Options
	Upstream   upstream.Options
	Quarantine quarantine.Options

	// TellInterval is the time between two digests of the requests in progress, by
	// which peers place theirs.
	TellInterval clock.Millis
	// ReadingInterval is the time between two words on which prompts are being read.
	ReadingInterval clock.Millis
	// HubInterval is TellInterval of a hub: between hubs and from a hub news takes up to
	// two of them.
	HubInterval clock.Millis
	// WorkPause is the least time between two words of a daemon to its hub on its own work.
	WorkPause clock.Millis
	// UpdateInterval is the time between two updates, by which daemons hear of each
	// other and of claims.
	UpdateInterval clock.Millis
	// Advertise is the address that peers connect to, where it is not the one that is
	// listened on, as behind a port mapping; empty: the same.
	Advertise string
	// VersionGrace is how long after a new version of an adapter was named an
	// older one is still used. The platform allows 5 s.
	VersionGrace clock.Millis
	// LoadPatience is the part of a caller's patience that a request may wait for
	// its adapter; the rest is for the answer's first event.
	LoadPatience float64
	// WantInterval is the time between two asks for the same adapter, in case
	// the daemon that gives orders has changed.
	WantInterval clock.Millis
	// RetryAfter is what a refused caller is told to wait.
	RetryAfter clock.Millis
	// AccountsAge is how long after the store answered last, here or at the daemon that
	// reads it for this one, a key that is not known may be one of a newer configuration.
	AccountsAge clock.Millis
	// MostSends bounds the servers that one request is tried at.
	MostSends int
	// LeaveSpan is how long a stopping daemon still takes connections: the
	// platform's balancer needs two checks, a second apart, to pass it over.
	LeaveSpan clock.Millis
	// ExitMargin is left of the grace span for the process to end.
	ExitMargin clock.Millis
	// IdleTimeout closes callers' idle connections.
	IdleTimeout clock.Millis
	// BodyBytes bounds a caller's body while no configuration says so.
	BodyBytes int64
	// SparePeers is the least number of daemons among which the retry allowance
	// is divided, so that a daemon that knows few peers yet does not take more
	// than its part.
	SparePeers int
	// LoneDaemons is the number of daemons that a daemon that has not met any other one
	// takes a site to have when it parts the limits of accounts: of daemons that are cut
	// off when they start, so many use no more than the limit together.
	LoneDaemons int
	// LogLines is how many log lines may wait to be written.
	LogLines int
	// Dropped tells how many log lines were dropped; nil when nobody counts them.
	Dropped func() int64 `yaml:"-"`
}

// DefaultOptions returns the options for the settings' lease.
func DefaultOptions(settings Settings) Options {
	return Options{
		Fleet: fleet.DefaultOptions(), Weights: choose.DefaultWeights(), Hold: choose.DefaultDelayPolicy(), Loading: loading.DefaultOptions(),
		Mirror: mirror.DefaultOptions(), Peers: peers.DefaultOptions(), Membership: membership.DefaultOptions(), Tenure: claims.DefaultOptions(settings.Lease, settings.Fenced),
		Upstream: upstream.DefaultOptions(), Quarantine: quarantine.DefaultOptions(),

		TellInterval: 100, ReadingInterval: 20, HubInterval: 50, WorkPause: 30, UpdateInterval: 500, VersionGrace: 2500,
		LoadPatience: 0.8, WantInterval: 400,
		RetryAfter: 500, AccountsAge: 2500, MostSends: 4, LeaveSpan: 2500, ExitMargin: 400,
		IdleTimeout: 60 * clock.Second, BodyBytes: 4 << 20, SparePeers: 8, LoneDaemons: 64, LogLines: 1024,
	}
}
