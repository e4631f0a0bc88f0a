package rollout

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
)

// If the watchers of a data centre have no contact with the service, the other daemons
// start to watch one after another, in the watch order.
const (
	// substituteStep is how much longer each daemon waits than the one before it.
	substituteStep = 250 * clock.Millisecond
	// maxSubstituteSteps is the maximum number of steps that a daemon waits.
	maxSubstituteSteps = 8
)

// minCallInterval is the minimum time between a change and the next call. It prevents a
// tight loop of calls if the service answers every watch at once.
const minCallInterval = 100 * clock.Millisecond

// watch is the state of the calls to the configuration service.
type watch struct {
	calling      bool   // a call is in progress
	valueVersion uint64 // version of the service's value, as last read
	failures     int    // consecutive failed calls
	// connected is set if this daemon watches and its last call succeeded.
	connected bool
	// nextCallAt is the earliest time of the next call.
	nextCallAt clock.Millis
	polledAt   clock.Millis // time of the last read without watching
	// lastContactAt is the time of the last offer from a watcher of the data centre that
	// was in contact with the service, or of the first VM list.
	lastContactAt clock.Millis
	// lastUnreadable is the last value that could not be parsed.
	lastUnreadable string
}

// callIfDue calls the service if a call is due. Watchers watch it, and all daemons read
// it once per PollInterval without watching. A read returns the value even if the
// service's own version numbers have gone back.
func (rollout *Rollout) callIfDue() {
	watch := &rollout.watch
	if watch.calling || rollout.now < watch.nextCallAt || !rollout.peers.known {
		return
	}
	if rollout.now-watch.polledAt >= rollout.options.PollInterval {
		watch.polledAt = rollout.now
		rollout.callService(0, 0)
		return
	}
	if rollout.shouldWatch() {
		rollout.callService(watch.valueVersion, rollout.options.WatchWait)
		return
	}
	watch.connected = false
}

// callService starts a call to the service that waits for a version after the given one.
func (rollout *Rollout) callService(after uint64, wait clock.Millis) {
	rollout.watch.calling = true
	rollout.emit(effect.WatchConfig{After: after, Wait: wait})
}

// shouldWatch reports whether this daemon is one of the watchers, or has to watch in
// their place because none of them has been in contact with the service for too long.
func (rollout *Rollout) shouldWatch() bool {
	rank := rollout.peers.rank
	if rank < rollout.options.Watchers {
		return true
	}
	steps := min(rank-rollout.options.Watchers, maxSubstituteSteps)
	silence := rollout.options.ContactTimeout + clock.Millis(steps)*substituteStep
	return rollout.now-rollout.watch.lastContactAt >= silence
}

// WatchResult is the result of a WatchConfig effect.
type WatchResult struct {
	// Version is the version of the service's value.
	Version uint64
	Body    []byte
	Changed bool
	// Cause says why the call failed. It is empty if the call succeeded.
	Cause string
}

// HandleWatchResult handles the result of a call to the service.
func (rollout *Rollout) HandleWatchResult(now clock.Millis, result WatchResult) []effect.Effect {
	rollout.now = now
	rollout.watch.calling = false
	if result.Cause != "" {
		rollout.watchFailed()
		return rollout.takeEffects()
	}
	rollout.watch.failures = 0
	rollout.watch.connected = rollout.shouldWatch()
	if result.Changed {
		rollout.watch.nextCallAt = now + minCallInterval
		rollout.watch.valueVersion = result.Version
		rollout.addPublished(result.Body)
	}
	rollout.advanceFetch()
	rollout.callIfDue()
	return rollout.takeEffects()
}

// watchFailed schedules the next call after a failed one, with exponential backoff
// unless this daemon is one of the watchers.
func (rollout *Rollout) watchFailed() {
	watch := &rollout.watch
	interval := rollout.options.RetryInterval
	if rollout.peers.rank >= rollout.options.Watchers {
		interval = min(interval<<min(watch.failures, 8), rollout.options.MaxRetryInterval)
	}
	watch.failures++
	watch.connected = false
	watch.nextCallAt = rollout.now + interval
}

// addPublished adds a manifest returned by the service as a candidate. A manifest that
// cannot be parsed is audited once.
func (rollout *Rollout) addPublished(text []byte) {
	manifest, err := config.ParseManifest(text)
	if err != nil {
		if rollout.watch.lastUnreadable != string(text) {
			rollout.watch.lastUnreadable = string(text)
			rollout.auditRefusal(config.Mark{}, err.Error())
		}
		return
	}
	candidate := rollout.candidateFor(config.MarkOf(manifest, text))
	if candidate == nil {
		return
	}
	candidate.published = true
	candidate.manifest = slices.Clone(text)
}
