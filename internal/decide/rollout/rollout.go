// Package rollout decides which published configuration a daemon accepts, from where it
// fetches the parts, and whether it watches the configuration service.
//
// A few daemons of each data centre, the watchers, watch the service. They offer the
// configurations that they accept to the other daemons, which fetch the parts from
// them. Every daemon also offers its configuration to a few others at intervals, so
// that a version spreads while the service is down or returns stale values. A version
// is accepted as a whole or not at all, and only a higher one can replace it:
// publications are ordered by version number and, if two have the same number, by the
// digest of the manifest.
//
// The state machine does no I/O. The methods that handle an event take the current
// time and return the effects to carry out.
package rollout

import (
	"strconv"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
)

// Options are the timing and limits of a rollout.
type Options struct {
	// Watchers is the number of daemons in each data centre that watch the service.
	Watchers int
	// WatchWait is how long a watch call waits for a change.
	WatchWait clock.Millis
	// RetryInterval is the time after which a watcher repeats a failed call. It is also
	// the first backoff interval of other daemons' calls and of failed fetches.
	RetryInterval clock.Millis
	// MaxRetryInterval is the maximum backoff interval of failed fetches and of the
	// calls of daemons that are not watchers.
	MaxRetryInterval clock.Millis
	// PollInterval is the interval at which daemons read the service without watching.
	PollInterval clock.Millis
	// ContactTimeout is the time after which other daemons watch if no watcher of the
	// data centre has had contact with the service.
	ContactTimeout clock.Millis
	// OfferInterval is the interval of the offers to other daemons.
	OfferInterval clock.Millis
	// FetchTimeout is the time after which a part is requested from another source.
	FetchTimeout clock.Millis
	// InquiryTimeout is the maximum time for which a new daemon waits for offers of its
	// peers.
	InquiryTimeout clock.Millis
}

// DefaultOptions returns the limits that apply if the settings do not set any.
func DefaultOptions() Options {
	return Options{
		Watchers:         2,
		WatchWait:        5 * clock.Second,
		RetryInterval:    clock.Second,
		MaxRetryInterval: 10 * clock.Second,
		PollInterval:     clock.Minute,
		ContactTimeout:   2500 * clock.Millisecond,
		OfferInterval:    clock.Second,
		FetchTimeout:     400 * clock.Millisecond,
		InquiryTimeout:   clock.Second,
	}
}

// Rollout is the state of a daemon's configuration rollout.
type Rollout struct {
	options Options
	self    ident.DaemonID
	now     clock.Millis

	inForce    acceptedConfig
	candidates map[config.Mark]*candidate
	fetching   *fetch
	// leftoverParts holds the parts of the last abandoned fetch, so that a retry requests
	// only the missing ones.
	leftoverParts map[string][]byte
	watch         watch
	peers         peers
	effects       []effect.Effect
}

// acceptedConfig is an accepted configuration, with the manifest and the parts that
// other daemons fetch.
type acceptedConfig struct {
	mark     config.Mark
	snapshot *config.Snapshot
	manifest []byte
	parts    map[string][]byte
}

// New returns the rollout of a daemon without a configuration.
func New(self ident.DaemonID, options Options) *Rollout {
	return &Rollout{options: options, self: self, candidates: map[config.Mark]*candidate{}}
}

func (rollout *Rollout) emit(next effect.Effect) {
	rollout.effects = append(rollout.effects, next)
}

func (rollout *Rollout) send(to ident.DaemonID, sent message.Message) {
	rollout.emit(effect.Send{To: to, Message: sent})
}

// takeEffects returns the effects collected since the last call.
func (rollout *Rollout) takeEffects() []effect.Effect {
	effects := rollout.effects
	rollout.effects = nil
	return effects
}

// Mark returns the mark of the configuration in force.
func (rollout *Rollout) Mark() config.Mark {
	return rollout.inForce.mark
}

// Snapshot returns the configuration in force, or nil if there is none.
func (rollout *Rollout) Snapshot() *config.Snapshot {
	return rollout.inForce.snapshot
}

// Ready reports whether the daemon has a configuration and has asked its peers for a
// higher one.
func (rollout *Rollout) Ready() bool {
	return rollout.inForce.snapshot != nil && rollout.peers.inquiryDone(rollout.now, rollout.options)
}

// Tick sends the calls, offers and requests for parts that are due.
func (rollout *Rollout) Tick(now clock.Millis) []effect.Effect {
	rollout.now = now
	rollout.offerPeriodically()
	rollout.callIfDue()
	rollout.advanceFetch()
	return rollout.takeEffects()
}

// Adopt puts a complete snapshot in force if its version is higher than the one in
// force. Other daemons cannot fetch it from this daemon.
func (rollout *Rollout) Adopt(now clock.Millis, snapshot *config.Snapshot) []effect.Effect {
	rollout.now = now
	if snapshot.Version() > rollout.inForce.mark.Version {
		rollout.accept(acceptedConfig{mark: config.Mark{Version: snapshot.Version()}, snapshot: snapshot}, "handed in")
	}
	return rollout.takeEffects()
}

// accept puts a configuration in force and offers it to other daemons.
func (rollout *Rollout) accept(next acceptedConfig, cause string) {
	before := rollout.inForce.mark
	invariant.Check(next.mark.Compare(before) > 0, "an accepted configuration never reverts",
		"%v after %v", next.mark, before)
	if next.mark.Version == before.Version {
		cause += "; a second publication under this version number"
	}
	rollout.inForce = next
	rollout.leftoverParts = nil
	rollout.dropObsolete()
	rollout.emit(effect.Audit{
		At: rollout.now, Kind: effect.ConfigAccepted, Object: "configuration", Cause: cause,
		Before: versionText(before), After: versionText(next.mark),
	})
	rollout.offerAccepted()
}

func (rollout *Rollout) auditRefusal(mark config.Mark, cause string) {
	rollout.emit(effect.Audit{
		At: rollout.now, Kind: effect.ConfigRefused, Object: "configuration", Cause: cause,
		Before: versionText(rollout.inForce.mark), After: versionText(mark),
	})
}

func versionText(mark config.Mark) string {
	return strconv.FormatUint(mark.Version, 10)
}
