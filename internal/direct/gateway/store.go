package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
)

// ReplaceAll implements mirror.Sink.
func (core *core) ReplaceAll(page platformapi.Page) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !core.enterEra(page.Era, true) {
		return
	}
	listed := make(map[string]bool, len(page.Items))
	for _, item := range page.Items {
		listed[item.Key] = true
		core.apply(item)
	}
	core.removeUnlisted(listed, page.AsOf)
	core.store.revision = max(core.store.revision, page.AsOf)
}

// ApplyChanges implements mirror.Sink.
func (core *core) ApplyChanges(page platformapi.Page) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !core.enterEra(page.Era, false) {
		return
	}
	for _, item := range page.Items {
		core.apply(item)
	}
	core.store.revision = max(core.store.revision, page.AsOf)
}

// RecordContact implements mirror.Sink.
func (core *core) RecordContact(err error) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if err == nil {
		if core.store.lostAt > 0 {
			core.log.Info("store back", "AwayMillis", now-core.store.lostAt)
		}
		core.store.lostAt = 0
		core.store.readAt = now
		core.fleet.StoreAvailable(now)
		return
	}
	if core.store.lostAt == 0 {
		core.log.Warn("store lost", "Error", err.Error())
		core.store.lostAt = now
	}
	core.fleet.StoreUnavailable(now)
}

// applyTold changes beliefs by items that a peer has told. The mutex is held.
func (core *core) applyTold(items []peers.Item) {
	for _, item := range items {
		if !core.store.news(item.Key, item.Revision) {
			continue
		}
		read, err := item.Unpack()
		if err != nil {
			core.log.Warn("entry not understood", "Key", item.Key, "Revision", item.Revision, "Error", err.Error())
			continue
		}
		core.store.put(item)
		core.believeItem(read)
	}
}

// apply changes beliefs by an item that was read. The mutex is held.
func (core *core) apply(item platformapi.Item) {
	if core.store.news(item.Key, item.Revision) {
		core.store.put(peers.Pack(item))
		core.believeItem(item)
		return
	}
	if known := core.store.items[item.Key].Revision; item.Revision < known {
		core.log.Info("older entry ignored", "Key", item.Key, "Revision", item.Revision, "Known", known)
	}
}

// believeItem changes beliefs by an item that is news. The mutex is held.
func (core *core) believeItem(item platformapi.Item) {
	now := core.now()
	id, ofServer := core.decoder.ServerID(item.Key)
	if item.Deleted {
		if ofServer {
			core.log.Info("server removed", "Server", id, "Revision", item.Revision)
			core.fleet.Remove(now, id, item.Revision)
			core.notify()
		}
		return
	}
	belief, err := core.decoder.Decode(item)
	if err != nil {
		core.log.Warn("entry not understood", "Key", item.Key, "Revision", item.Revision, "Error", err.Error())
		if ofServer {
			core.fleet.Remove(now, id, item.Revision)
		}
		return
	}
	core.believe(now, belief, item.Revision)
}

func (core *core) believe(now clock.Millis, belief platformapi.DecodedItem, revision int64) {
	switch {
	case belief.Catalog != nil:
		if core.catalog != nil && belief.Catalog.Version <= core.catalog.Version {
			core.log.Warn("older configuration ignored", "Version", belief.Catalog.Version, "InForce", core.catalog.Version)
			return
		}
		core.catalog = belief.Catalog
		core.ledger.SetLimits(now, belief.Catalog.Accounts)
		core.log.Info("configuration in force", "Version", belief.Catalog.Version, "Revision", revision)
	case belief.AdapterVersion != nil:
		if belief.AdapterVersion.Version <= core.newest(belief.AdapterVersion.Adapter) {
			return
		}
		core.versions[belief.AdapterVersion.Adapter] = namedVersion{version: belief.AdapterVersion.Version, at: now}
		core.log.Info("adapter version named", "Model", belief.AdapterVersion.Adapter.Model, "Adapter", belief.AdapterVersion.Adapter.Name,
			"Version", belief.AdapterVersion.Version, "Revision", revision)
		core.wakeOrders()
	case belief.Server != nil:
		core.believeServer(*belief.Server, revision)
	}
}

func (core *core) believeServer(server platformapi.Server, revision int64) {
	before, known := core.fleet.Member(server.ID)
	former, draining := server, false
	if known {
		former, draining = before.Server, before.Draining
	}
	restarted := known && before.StartedAt != server.StartedAt
	newlyDraining := server.Draining && (!known || !before.Draining)
	if !core.fleet.Put(server, revision) {
		return
	}
	switch {
	case !known:
		core.log.Info("server found", "Server", server.ID, "Service", server.Service, "Address", server.Address, "Draining", server.Draining, "Revision", revision)
	case restarted:
		if !draining {
			core.restarted(former)
		}
		core.log.Info("server restarted", "Server", server.ID, "Born", server.StartedAt, "Revision", revision)
		if held, ok := core.orders[server.ID]; ok {
			held.planner.InvalidateReport()
			held.poke()
		}
	case newlyDraining:
		core.log.Info("server draining", "Server", server.ID, "LeavesMillis", server.LeavesIn, "Revision", revision)
	}
	core.notify()
}

func (core *core) wakeOrders() {
	for _, held := range core.orders {
		held.poke()
	}
}
