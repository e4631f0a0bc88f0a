package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/software"
)

// This file finds out, when a daemon starts, what there was before. A daemon cannot know from anything of its own whether the site has
// served before: its settings outlast its processes. The store's history tells.

// storePast is what the first reading of the store shows of the time before.
type storePast struct {
	configured bool  // there is a configuration; before the first one no request is served
	createdAt  int64 // lowest revision at which a present item was created; 0: not stated
}

// storePast returns what all items of the store show of the time before.
func (core *core) storePast(items []platformapi.Item) storePast {
	var past storePast
	for i, item := range items {
		past.configured = past.configured || item.Key == core.decoder.ConfigKey()
		if i == 0 || item.CreatedAt < past.createdAt {
			past.createdAt = item.CreatedAt
		}
	}
	return past
}

// recordFirstRead has the version history be read, once the store's items are known. The mutex must be held.
func (core *core) recordFirstRead(past storePast) {
	select {
	case core.origins.storeRead <- past:
	default: // the items of a first reading have been replaced
	}
}

const (
	// historyTimeout is the longest wait for the store's history, which is longer than an answer takes while the store is slow.
	historyTimeout = 2 * clock.Second
	// historyRetryInterval is the time between two tries to read it.
	historyRetryInterval = clock.Second
	// maxHistoryTries bounds the tries.
	maxHistoryTries = 5
)

// errServerForgotten is the error of a history that does not show the entry of a server which was removed.
var errServerForgotten = errors.New("a server was removed whose entry is not in the history")

// errInterrupted is the error of a history that was read while the store was restored, or lost its history.
var errInterrupted = errors.New("the store was read anew meanwhile")

// readVersionHistory completes the history of software versions from the store's history, if that goes back to a time before the first
// configuration. Otherwise the daemon has to watch servers itself for as long as streams last.
func (gateway *Gateway) readVersionHistory(ctx context.Context) error {
	core := gateway.core
	var past storePast
	select {
	case <-ctx.Done():
		return nil
	case past = <-core.origins.storeRead:
	}
	if !past.configured {
		core.beginSite()
		return nil
	}
	for range maxHistoryTries {
		err := gateway.replayHistory(ctx, past)
		core.endLearning()
		if err == nil {
			return nil
		}
		var failed *platformapi.StoreError
		gateway.log.Info("store's history does not show which software versions there were", "After", past.createdAt-1, "Error", err.Error(), "CompleteInMillis", software.Lifetime)
		if !errors.As(err, &failed) || failed.Failure == platformapi.HistoryGone || failed.Failure == platformapi.AnswerCutOff {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(historyRetryInterval.Duration()):
		}
	}
	return nil
}

// beginSite records that the site has not served before.
func (core *core) beginSite() {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	core.origins.history.Complete(now)
	core.origins.learning = false
	core.retryAllowance.Unused(now)
	core.log.Info("no configuration has been published yet: the site has not served before")
}

// endLearning records that the store's history has been read, or cannot be for now.
func (core *core) endLearning() {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.origins.learning = false
}

// replayHistory reads all changes of servers since the first item of the store was created, and records the software versions in them.
func (gateway *Gateway) replayHistory(ctx context.Context, past storePast) error {
	core := gateway.core
	ctx, cancel := context.WithTimeout(ctx, historyTimeout.Duration())
	defer cancel()
	core.mutex.Lock()
	interruptions := core.origins.history.Interruptions
	core.mutex.Unlock()
	page, err := gateway.history.Changes(ctx, core.decoder.ServerPrefix(), max(0, past.createdAt-1))
	if err != nil {
		return err
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if page.Era != core.store.era || interruptions != core.origins.history.Interruptions {
		return errInterrupted
	}
	now := core.now()
	entries, err := core.seeChanges(now, page.Items)
	if err != nil {
		return err
	}
	unconfirmed := core.recordUnconfirmed(now, entries)
	core.origins.history.Complete(now)
	core.log.Info("store's history shows which software versions there were", "After", past.createdAt-1, "AsOf", page.AsOf, "Changes", len(page.Items),
		"Mixed", core.origins.history.Several(now), "Unconfirmed", unconfirmed)
	return nil
}

// lastEntry is the last entry that a server wrote.
type lastEntry struct {
	platformapi.Server
	removed bool
}

// seeChanges records the software versions in changes of servers, each write by itself, and returns the last entry of each server. The mutex
// must be held.
func (core *core) seeChanges(now clock.Millis, changes []platformapi.Item) (map[string]*lastEntry, error) {
	entries := make(map[string]*lastEntry) // by key
	for _, item := range changes {
		entry, written := entries[item.Key]
		if item.Deleted && !written {
			return nil, errServerForgotten
		}
		if item.Deleted {
			entry.removed = true
			continue
		}
		entries[item.Key] = &lastEntry{}
		decoded, err := core.decoder.Decode(item)
		if err == nil && decoded.Server != nil { // an entry that is not understood names no server that is used
			entries[item.Key].Server = *decoded.Server
			core.origins.seeVersion(now, decoded.Server.Service, decoded.Server.Software)
		}
	}
	return entries, nil
}

// recordRuns records what began the streams that a server works on, as it reports them, unless that is known already, and returns their
// number. Daemons that were lost may have begun them. The mutex must be held.
func (core *core) recordRuns(now clock.Millis, server platformapi.Server, runs []platformapi.Run) int {
	member, known := core.fleet.Member(server.ID)
	if !known {
		return 0
	}
	if _, only := core.origins.history.Only(now, member.Service); only {
		return 0 // any stream of the service has begun at this version
	}
	server.Software, _ = core.softwareOf(server.Process())
	origin := software.OriginOf(server)
	recorded := 0
	for _, run := range runs {
		key := software.KeyOf(run.Attempt)
		if _, ok := core.origins.records.Find(key); ok || run.Events == 0 || run.Attempt == "" {
			continue
		}
		core.origins.records.Put(now, key, origin)
		core.origins.records.Publish(now, key, server.ID)
		recorded++
	}
	return recorded
}
