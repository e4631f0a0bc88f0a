package gateway

import (
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
)

// enterEra prepares for items of a store era, and reports whether they are to be applied; whole
// states that they are all items of the store. Items of an earlier era are not applied. A later
// era must begin with a listing of all items: the store's revisions went back, so the known
// revision does not show which items are missing. The mutex must be held.
func (core *core) enterEra(era int64, whole bool) bool {
	switch {
	case era == core.store.era:
		return true
	case era < core.store.era || core.store.revision > 0 && !whole:
		return false
	}
	if core.store.revision > 0 {
		core.log.Info("store restored", "Era", era, "Before", core.store.era, "Knew", core.store.revision)
		core.fleet.StoreRestored(core.now())
	}
	core.store.startEra(era)
	return true
}

// applyStoreItems applies store items that a peer has sent, and reports whether they belong to
// the current era. The mutex must be held.
func (core *core) applyStoreItems(received peers.StoreItems) bool {
	later, first := received.Era > core.store.era, core.store.revision == 0
	if !core.enterEra(received.Era, received.Whole) {
		return false
	}
	core.applyPeerItems(received.Items)
	if later {
		listed := make(map[string]bool, len(received.Items))
		for _, item := range received.Items {
			listed[item.Key] = true
		}
		core.removeUnlisted(listed, received.AsOf)
	}
	core.store.revision = max(core.store.revision, received.AsOf)
	if first && received.Whole {
		core.recordFirstRead(storePast{configured: true}) // when the items were created is not sent
	}
	return true
}

// removeUnlisted removes known items that are missing from a full listing at a revision. The
// mutex must be held.
func (core *core) removeUnlisted(listed map[string]bool, asOf int64) {
	for key, known := range core.store.items {
		if !listed[key] && !known.Deleted && known.Revision <= asOf {
			core.applyItem(platformapi.Item{Key: key, Revision: asOf, Deleted: true})
		}
	}
}
