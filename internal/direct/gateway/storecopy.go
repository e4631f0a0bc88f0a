package gateway

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
)

// storeCopy is what this daemon has read of the store or heard of it from peers.
// Items are kept as they are passed on. All of it is of one era.
type storeCopy struct {
	items     map[string]peers.Item // removed ones too, with their revision
	era       int64
	revision  int64        // all changes up to it are known
	lostAt    clock.Millis // since when no call was answered; 0: the last one was
	readAt    clock.Millis // when the store answered last
	triedAt   clock.Millis // when this daemon last called it
	newsAt    clock.Millis // when that peer was heard last
	coveredAt clock.Millis // when it answered the peer last that reads it for this daemon
}

func newStoreCopy() *storeCopy {
	return &storeCopy{items: make(map[string]peers.Item)}
}

// put takes an item over and reports whether it is news.
func (copied *storeCopy) put(item peers.Item) bool {
	if !copied.news(item.Key, item.Revision) {
		return false
	}
	copied.items[item.Key] = item
	return true
}

// news reports whether a revision of an item is newer than the one known.
func (copied *storeCopy) news(key string, revision int64) bool {
	known, ok := copied.items[key]
	return !ok || revision > known.Revision
}

// since returns the items that changed after a revision, small ones first.
func (copied *storeCopy) since(revision int64) []peers.Item {
	var items []peers.Item
	for _, item := range copied.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, peers.CompareBySize)
	return items
}

// itemsSince returns the items that changed after a revision, as peers are told.
func (copied *storeCopy) itemsSince(revision int64) peers.StoreItems {
	return peers.StoreItems{Items: copied.since(revision), AsOf: copied.revision, Era: copied.era, Whole: revision == 0}
}

// enter begins a later era: whatever is read in it is news, and what is not is not told on.
func (copied *storeCopy) enter(era int64) {
	copied.era, copied.revision = era, 0
	for key, item := range copied.items {
		if item.Deleted {
			delete(copied.items, key)
			continue
		}
		item.Revision = 0
		copied.items[key] = item
	}
}

// tombstones bounds how long a removed item is remembered, in revisions of the
// store: peers that lag further read the store themselves.
const tombstones = 20_000

func (core *core) forgetRemoved() {
	for key, item := range core.store.items {
		if item.Deleted && item.Revision < core.store.revision-tombstones {
			delete(core.store.items, key)
		}
	}
}
