// Package rollout decides which published configuration a daemon accepts, where
// it fetches the parts, and whether it watches the configuration service.
//
// Few daemons of each data centre watch; they offer what they accept to the
// others, which fetch the parts from them. Every daemon also offers its
// configuration to a few others at an interval, so that a version spreads while
// the service is down or stale. A version is accepted as a whole or not at all,
// and an accepted one is only ever followed by a higher one: publications are
// ordered by version number, and by the manifest's digest where two carry the
// same number.
//
// The machine does no I/O. Every method takes the current time and returns the
// effects to carry out.
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

// Options are the limits of a rollout.
type Options struct {
	// Watchers is the number of daemons of a data centre that watch the service.
	Watchers int
	// WatchWait is how long one watch call waits.
	WatchWait clock.Millis
	// RetryInterval is the span after which a watcher repeats a failed call.
	RetryInterval clock.Millis
	// MaxRetryInterval is the longest span between the calls of a daemon that
	// watches only because the watchers are silent.
	MaxRetryInterval clock.Millis
	// PollInterval is the span between two reads by daemons that do not watch.
	PollInterval clock.Millis
	// ContactTimeout is the silence of all watchers of the data centre after
	// which others watch.
	ContactTimeout clock.Millis
	// OfferInterval is the span between two offers to other daemons.
	OfferInterval clock.Millis
	// FetchTimeout is the span after which a part is asked for elsewhere.
	FetchTimeout clock.Millis
	// InquirySpan is how long a new daemon waits for its peers' offers.
	InquirySpan clock.Millis
}

// DefaultOptions returns the limits used when settings name none.
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
		InquirySpan:      clock.Second,
	}
}

// Rollout is the state of one daemon's configuration.
type Rollout struct {
	options Options
	self    ident.DaemonID
	now     clock.Millis

	inForce    accepted
	candidates map[config.Mark]*candidate
	fetching   *fetch
	// spare holds the parts of the last candidate that was given up, so that a
	// retry asks only for what is missing.
	spare   map[string][]byte
	watch   watch
	peers   peers
	effects []effect.Effect
}

// accepted is the configuration in force, with what other daemons fetch.
type accepted struct {
	mark     config.Mark
	snapshot *config.Snapshot
	manifest []byte
	parts    map[string][]byte
}

// New returns the rollout of a daemon that has no configuration.
func New(self ident.DaemonID, options Options) *Rollout {
	return &Rollout{options: options, self: self, candidates: map[config.Mark]*candidate{}}
}

func (rollout *Rollout) emit(next effect.Effect) {
	rollout.effects = append(rollout.effects, next)
}

func (rollout *Rollout) send(to ident.DaemonID, sent message.Message) {
	rollout.emit(effect.Send{To: to, Message: sent})
}

// take returns the effects gathered since the last call.
func (rollout *Rollout) take() []effect.Effect {
	effects := rollout.effects
	rollout.effects = nil
	return effects
}

// Mark identifies the configuration in force.
func (rollout *Rollout) Mark() config.Mark {
	return rollout.inForce.mark
}

// Snapshot returns the configuration in force, nil before the first.
func (rollout *Rollout) Snapshot() *config.Snapshot {
	return rollout.inForce.snapshot
}

// Ready reports whether the daemon has a configuration and has asked its peers
// whether they know a later one.
func (rollout *Rollout) Ready() bool {
	return rollout.inForce.snapshot != nil && rollout.peers.asked(rollout.now, rollout.options)
}

// Tick repeats calls and offers that are due and goes on fetching.
func (rollout *Rollout) Tick(now clock.Millis) []effect.Effect {
	rollout.now = now
	rollout.offerInTurn()
	rollout.tickWatch()
	rollout.tickFetch()
	return rollout.take()
}

// Adopt puts a snapshot in force that was handed in as a whole, unless a later
// one is. Other daemons cannot fetch it from here.
func (rollout *Rollout) Adopt(now clock.Millis, snapshot *config.Snapshot) []effect.Effect {
	rollout.now = now
	if snapshot.Version() > rollout.inForce.mark.Version {
		rollout.accept(accepted{mark: config.Mark{Version: snapshot.Version()}, snapshot: snapshot}, "handed in")
	}
	return rollout.take()
}

// accept puts a configuration in force and offers it.
func (rollout *Rollout) accept(next accepted, cause string) {
	before := rollout.inForce.mark
	invariant.Check(next.mark.Compare(before) > 0, "an accepted configuration never reverts",
		"%v after %v", next.mark, before)
	if next.mark.Version == before.Version {
		cause += "; a second publication under this version number"
	}
	rollout.inForce = next
	rollout.spare = nil
	rollout.dropCandidates()
	rollout.emit(effect.Audit{
		At: rollout.now, Kind: effect.ConfigAccepted, Object: "configuration", Cause: cause,
		Before: versionText(before), After: versionText(next.mark),
	})
	rollout.offerNow()
}

func (rollout *Rollout) refuse(mark config.Mark, cause string) {
	rollout.emit(effect.Audit{
		At: rollout.now, Kind: effect.ConfigRefused, Object: "configuration", Cause: cause,
		Before: versionText(rollout.inForce.mark), After: versionText(mark),
	})
}

func versionText(mark config.Mark) string {
	return strconv.FormatUint(mark.Version, 10)
}
