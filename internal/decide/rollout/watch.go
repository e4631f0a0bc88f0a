package rollout

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
)

// substituteStep is the further silence that each daemon down the order waits
// for before it watches in the watchers' place; maxSubstituteSteps bounds it.
const (
	substituteStep     = 250 * clock.Millisecond
	maxSubstituteSteps = 8
)

// minCallInterval keeps a service that answers every watch at once from being
// called in a loop.
const minCallInterval = 100 * clock.Millisecond

// watch is the state of the calls to the configuration service.
type watch struct {
	calling  bool
	after    uint64 // version of the service's value
	failures int
	// contact says that this daemon watches and its last call did not fail.
	contact bool
	// notBefore is the earliest time of the next call.
	notBefore clock.Millis
	polledAt  clock.Millis
	// heardAt is when a watcher of the data centre last had contact.
	heardAt clock.Millis
	// garbled is the last value that could not be read.
	garbled string
}

// tickWatch calls the service when a call is due. Daemons that do not watch
// read it once in a long while, also against a service whose own version
// numbers went back.
func (rollout *Rollout) tickWatch() {
	watch := &rollout.watch
	if watch.calling || rollout.now < watch.notBefore || !rollout.peers.known {
		return
	}
	if rollout.now-watch.polledAt >= rollout.options.PollInterval {
		watch.polledAt = rollout.now
		rollout.call(0, 0)
		return
	}
	if rollout.watches() {
		rollout.call(watch.after, rollout.options.WatchWait)
		return
	}
	watch.contact = false
}

func (rollout *Rollout) call(after uint64, wait clock.Millis) {
	rollout.watch.calling = true
	rollout.emit(effect.WatchConfig{After: after, Wait: wait})
}

// watches reports whether this daemon is one of the watchers, or takes their
// place because none of them has had contact for long.
func (rollout *Rollout) watches() bool {
	rank := rollout.peers.rank
	if rank < rollout.options.Watchers {
		return true
	}
	steps := min(rank-rollout.options.Watchers, maxSubstituteSteps)
	silence := rollout.options.ContactTimeout + clock.Millis(steps)*substituteStep
	return rollout.now-rollout.watch.heardAt >= silence
}

// WatchResult is the end of a WatchConfig call.
type WatchResult struct {
	// Version is the version of the service's value.
	Version uint64
	Body    []byte
	Changed bool
	// Cause is why the call failed, empty when it did not.
	Cause string
}

// Watched takes in the end of a call to the service.
func (rollout *Rollout) Watched(now clock.Millis, result WatchResult) []effect.Effect {
	rollout.now = now
	rollout.watch.calling = false
	if result.Cause != "" {
		rollout.watchFailed()
		return rollout.take()
	}
	rollout.watch.failures = 0
	rollout.watch.contact = rollout.watches()
	if result.Changed {
		rollout.watch.notBefore = now + minCallInterval
		rollout.watch.after = result.Version
		rollout.published(result.Body)
	}
	rollout.tickFetch()
	rollout.tickWatch()
	return rollout.take()
}

func (rollout *Rollout) watchFailed() {
	watch := &rollout.watch
	interval := rollout.options.RetryInterval
	if rollout.peers.rank >= rollout.options.Watchers {
		interval = min(interval<<min(watch.failures, 8), rollout.options.MaxRetryInterval)
	}
	watch.failures++
	watch.contact = false
	watch.notBefore = rollout.now + interval
}

// published takes in a manifest that the service showed.
func (rollout *Rollout) published(text []byte) {
	manifest, err := config.ParseManifest(text)
	if err != nil {
		if rollout.watch.garbled != string(text) {
			rollout.watch.garbled = string(text)
			rollout.refuse(config.Mark{}, err.Error())
		}
		return
	}
	shown := rollout.consider(config.MarkOf(manifest, text))
	if shown == nil {
		return
	}
	shown.published = true
	shown.manifest = slices.Clone(text)
}
