package gateway

import (
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
)

// ReplaceAll implements mirror.Sink.
func (core *core) ReplaceAll(page platformapi.Page) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	first := core.store.revision == 0
	if !core.enterEra(page.Era, true) {
		return
	}
	if first {
		core.recordFirstRead(core.storePast(page.Items))
	} else {
		core.origins.history.Interrupt(core.now()) // servers may have come and gone since the last reading
	}
	listed := make(map[string]bool, len(page.Items))
	for _, item := range page.Items {
		listed[item.Key] = true
		core.applyItem(item)
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
		core.applyItem(item)
	}
	core.store.revision = max(core.store.revision, page.AsOf)
}

// RecordContact implements mirror.Sink.
func (core *core) RecordContact(err error) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	before := core.outages.FailingSince()
	if err != nil && !isAnswered(err) {
		if before == 0 {
			core.log.Warn("store unreachable", "Error", err.Error())
		}
		core.outages.Failed(now, core.store.calledAt)
		return
	}
	core.store.readAt = now
	returnedAt, wasAway := core.outages.Answered(now)
	if wasAway {
		core.fleet.RecordOutageEnd(returnedAt)
	}
	if before > 0 {
		core.log.Info("store reachable again", "AwayMillis", now-before, "Outage", wasAway)
	}
}

// isAnswered reports whether a call failed as the store said that it has no such history any more.
func isAnswered(err error) bool {
	var failed *platformapi.StoreError
	return errors.As(err, &failed) && failed.Failure == platformapi.HistoryGone
}

// applyPeerItems applies store items that a peer has sent. The mutex must be held.
func (core *core) applyPeerItems(items []peers.Item) {
	for _, item := range items {
		if !core.store.isNewer(item.Key, item.Revision) {
			continue
		}
		unpacked, err := item.Unpack()
		if err != nil {
			core.log.Warn("entry not understood", "Key", item.Key, "Revision", item.Revision, "Error", err.Error())
			continue
		}
		core.store.put(item)
		core.decodeAndApply(unpacked)
	}
}

// applyItem applies a store item that this daemon has read. The mutex must be held.
func (core *core) applyItem(item platformapi.Item) {
	if core.store.isNewer(item.Key, item.Revision) {
		core.store.put(peers.Pack(item))
		core.decodeAndApply(item)
		return
	}
	if known := core.store.items[item.Key].Revision; item.Revision < known {
		core.log.Info("older store entry ignored", "Key", item.Key, "Revision", item.Revision, "Known", known)
	}
}

// decodeAndApply applies a store item that is newer than the known one. The mutex must be held.
func (core *core) decodeAndApply(item platformapi.Item) {
	now := core.now()
	id, ofServer := core.decoder.ServerID(item.Key)
	if item.Deleted {
		if ofServer {
			core.log.Info("server removed", "Server", id, "Revision", item.Revision)
			core.fleet.Remove(now, id, item.Revision)
			core.wakeWaitingRequests()
		}
		return
	}
	decoded, err := core.decoder.Decode(item)
	if err != nil {
		core.log.Warn("entry not understood", "Key", item.Key, "Revision", item.Revision, "Error", err.Error())
		if ofServer {
			core.fleet.Remove(now, id, item.Revision)
		}
		return
	}
	core.applyDecoded(now, decoded, item.Revision)
}

// applyDecoded applies the content of a store item. The mutex must be held.
func (core *core) applyDecoded(now clock.Millis, decoded platformapi.DecodedItem, revision int64) {
	switch {
	case decoded.Catalog != nil:
		if core.catalog != nil && decoded.Catalog.Version <= core.catalog.Version {
			core.log.Warn("older configuration ignored", "Version", decoded.Catalog.Version, "InForce", core.catalog.Version)
			return
		}
		core.catalog = decoded.Catalog
		core.ledger.SetLimits(now, decoded.Catalog.Accounts)
		core.log.Info("configuration in force", "Version", decoded.Catalog.Version, "Revision", revision)
	case decoded.AdapterVersion != nil:
		if !core.learnVersion(now, *decoded.AdapterVersion) {
			return
		}
		core.log.Info("new adapter version", "Model", decoded.AdapterVersion.Adapter.Model, "Adapter", decoded.AdapterVersion.Adapter.Name,
			"Version", decoded.AdapterVersion.Version, "Revision", revision)
		core.wakeOrderWorkers()
	case decoded.Server != nil:
		core.applyServer(*decoded.Server, revision)
	}
}

// softwareChangeMargin is the largest expected delay between a server's writing of an entry and its application.
const softwareChangeMargin = clock.Second

// applyServer applies a server entry of the store. The mutex must be held.
func (core *core) applyServer(server platformapi.Server, revision int64) {
	before, known := core.fleet.Member(server.ID)
	former := server
	if known {
		former = before.Server
	}
	restarted := known && before.StartedAt != server.StartedAt
	if known && before.Software != server.Software {
		core.log.Info("server software changed", "Server", server.ID, "Before", before.Software, "Now", server.Software, "Revision", revision)
		if before.Software != "" && server.Software != "" && before.StartedAt == server.StartedAt {
			core.origins.records.Withdraw(core.now(), server.ID, before.SeenAt-softwareChangeMargin)
		}
	}
	newlyDraining := server.Draining && (!known || !before.Draining)
	if !core.fleet.Put(server, revision) {
		return
	}
	if known || !core.origins.learning {
		core.origins.history.Confirm(core.now(), server.ID) // its process has written since this daemon first read the store
	}
	if member, ok := core.fleet.Member(server.ID); ok {
		member.SeenAt = core.now()
		core.origins.seeVersion(member.SeenAt, member.Service, member.Software)
	}
	switch {
	case !known:
		core.log.Info("server discovered", "Server", server.ID, "Service", server.Service, "Address", server.Address, "Software", server.Software, "Draining", server.Draining, "Revision", revision)
	case restarted:
		core.log.Info("server restarted", "Server", server.ID, "Born", server.StartedAt, "Revision", revision)
		core.handleNewProcess(former)
	case newlyDraining:
		core.log.Info("server draining", "Server", server.ID, "LeavesMillis", server.LeavesIn, "Revision", revision)
	}
	core.wakeWaitingRequests()
}

// wakeOrderWorkers wakes the workers of all servers that this daemon owns. The mutex must be
// held.
func (core *core) wakeOrderWorkers() {
	for _, worker := range core.orderWorkers {
		worker.wakeUp()
	}
}
