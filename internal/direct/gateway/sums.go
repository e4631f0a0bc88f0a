package gateway

import (
	"maps"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/peers"
)

// unsentSums returns the aggregated counts that a daemon has not been sent, and the uses of
// adapters by other daemons on the servers that it owns. The mutex must be held.
func (core *core) unsentSums(now clock.Millis, target string, sent *sentState) *peers.Sums {
	sums := core.work.SumsExcept(target)
	unsent := &peers.Sums{Whole: sent.sums == nil, Servers: changedSums(sent.sums, sums)}
	sent.sums = sums
	for server := range core.fleet.Tables() {
		if owner, _ := core.ownerOf(now, server); owner != target {
			delete(sent.uses, server)
			continue
		}
		uses := core.work.UsesExcept(target, server)
		if before, ok := sent.uses[server]; !ok || !maps.Equal(before, uses) {
			sent.uses[server] = uses
			unsent.Uses = append(unsent.Uses, peers.ServerUses{Server: server, Uses: uses})
		}
	}
	if !unsent.Whole && len(unsent.Servers) == 0 && len(unsent.Uses) == 0 {
		return nil
	}
	return unsent
}

// changedSums returns the counts that differ, with 0 for servers that are no longer listed.
func changedSums(before, after map[string]inflight.Sum) map[string]inflight.Sum {
	changed := make(map[string]inflight.Sum)
	for server, sum := range after {
		if before[server] != sum {
			changed[server] = sum
		}
	}
	for server := range before {
		if _, ok := after[server]; !ok {
			changed[server] = inflight.Sum{}
		}
	}
	return changed
}

// applySums applies a hub's aggregated counts. Counts from a daemon that is not this one's hub
// are kept in case it becomes the hub. The mutex must be held.
func (core *core) applySums(now clock.Millis, from string, sums *peers.Sums) {
	if sums.Whole {
		core.sums[from] = make(map[string]inflight.Sum, len(sums.Servers))
	}
	known, ok := core.sums[from]
	if !ok {
		return // the full counts sent first were lost with their connection
	}
	maps.Copy(known, sums.Servers)
	core.updateHub(now)
	if core.hub != from {
		return
	}
	core.work.SetHubSums(known)
	for _, uses := range sums.Uses {
		core.countUses(now, core.work.SetHubUses(uses.Server, uses.Uses))
	}
}

// updateHub switches to the counts of this daemon's current hub, or to those that each daemon
// sends itself if there is no hub. It reports whether the hub has changed. The mutex must be
// held.
func (core *core) updateHub(now clock.Millis) bool {
	hub := core.members.Plan().Hub
	if hub == core.hub {
		return false
	}
	core.log.Info("hub changed", "Hub", hub, "Before", core.hub)
	core.hub = hub
	if hub != "" && hub != core.lastHub {
		core.lastHub = hub
		core.ledger.ForgetHub()
	}
	core.work.ClearHubSums()
	if peer, ok := core.members.Peer(hub); ok {
		// The new hub may have lost contact with this daemon and dropped its work, so it is
		// sent again.
		delete(core.sentTo(peer.Address).snapshots, core.settings.Name)
	}
	if hub != "" {
		core.work.SetHubSums(core.sums[hub])
		return true
	}
	for name, share := range core.snapshots {
		if core.members.Live(now, name) {
			core.work.SetPeer(name, share.Share)
		}
	}
	for name, group := range core.groups {
		if core.members.Live(now, name) {
			core.work.SetPeer(name, group.snapshot)
		}
	}
	return true
}
