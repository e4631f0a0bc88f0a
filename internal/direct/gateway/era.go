package gateway

import (
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
)

// enterEra makes ready for items of an era, and reports whether they are to be taken over.
// Those of an earlier era than the one known are not. A later one begins with all items that
// there are: revisions went back, so that those known say nothing of what is newer. The mutex
// is held.
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
	core.store.enter(era)
	return true
}

// takeStore takes over items that a peer has told, and reports whether they are of the era
// that is known now. The mutex is held.
func (core *core) takeStore(told peers.StoreItems) bool {
	later := told.Era > core.store.era
	if !core.enterEra(told.Era, told.Whole) {
		return false
	}
	core.applyTold(told.Items)
	if later {
		listed := make(map[string]bool, len(told.Items))
		for _, item := range told.Items {
			listed[item.Key] = true
		}
		core.removeUnlisted(listed, told.AsOf)
	}
	core.store.revision = max(core.store.revision, told.AsOf)
	return true
}

// removeUnlisted removes what is known and was not in a list of all items of a revision. The
// mutex is held.
func (core *core) removeUnlisted(listed map[string]bool, asOf int64) {
	for key, known := range core.store.items {
		if !listed[key] && !known.Deleted && known.Revision <= asOf {
			core.apply(platformapi.Item{Key: key, Revision: asOf, Deleted: true})
		}
	}
}
