package gateway

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
)

// storeCopy holds what this daemon has read of the store or received of it from peers. Items
// are kept in the form in which they are sent to peers. All are of one era.
type storeCopy struct {
	items          map[string]peers.Item // including removed ones, with the revision of the removal
	era            int64
	revision       int64        // all changes up to it are known
	readAt         clock.Millis // when the store last answered this daemon
	calledAt       clock.Millis // when this daemon last called the store
	readerUpdateAt clock.Millis // when the peer that reads the store for this daemon was last sent a store update
	readerReadAt   clock.Millis // when the store last answered that peer
}

func newStoreCopy() *storeCopy {
	return &storeCopy{items: make(map[string]peers.Item)}
}

// put stores an item, and reports whether it is newer than the known one.
func (storeCopy *storeCopy) put(item peers.Item) bool {
	if !storeCopy.isNewer(item.Key, item.Revision) {
		return false
	}
	storeCopy.items[item.Key] = item
	return true
}

// isNewer reports whether a revision of an item is newer than the known one.
func (storeCopy *storeCopy) isNewer(key string, revision int64) bool {
	known, ok := storeCopy.items[key]
	return !ok || revision > known.Revision
}

// since returns the items that changed after a revision, small ones first.
func (storeCopy *storeCopy) since(revision int64) []peers.Item {
	var items []peers.Item
	for _, item := range storeCopy.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, peers.CompareBySize)
	return items
}

// itemsSince returns the items that changed after a revision, as a message to peers.
func (storeCopy *storeCopy) itemsSince(revision int64) peers.StoreItems {
	return peers.StoreItems{Items: storeCopy.since(revision), AsOf: storeCopy.revision, Era: storeCopy.era, Whole: revision == 0}
}

// startEra begins a later era of the store. Known items get revision 0, so that any item read
// in the new era replaces them, and they are not sent to peers until then.
func (storeCopy *storeCopy) startEra(era int64) {
	storeCopy.era, storeCopy.revision = era, 0
	for key, item := range storeCopy.items {
		if item.Deleted {
			delete(storeCopy.items, key)
			continue
		}
		item.Revision = 0
		storeCopy.items[key] = item
	}
}

// tombstoneRevisions is how long a removed item is remembered, in revisions of the store. Peers
// that lag further behind read the store themselves.
const tombstoneRevisions = 20_000

// pruneTombstones deletes the records of items that were removed long ago. The mutex must be
// held.
func (core *core) pruneTombstones() {
	for key, item := range core.store.items {
		if item.Deleted && item.Revision < core.store.revision-tombstoneRevisions {
			delete(core.store.items, key)
		}
	}
}

// storeFailsFor returns how long this daemon's calls to the store have failed, 0 if the last one was answered. The mutex must be held.
func (core *core) storeFailsFor(now clock.Millis) clock.Millis {
	since := core.outages.FailingSince()
	if since == 0 {
		return 0
	}
	return now - since
}
