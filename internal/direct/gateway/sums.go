package gateway

import (
	"maps"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/peers"
)

// sumNews returns the sums that a daemon has not been told, and who uses the
// servers that it orders. The mutex is held.
func (core *core) sumNews(now clock.Millis, target string, told *toldState) *peers.Sums {
	sums := core.work.SumsExcept(target)
	news := &peers.Sums{Whole: told.sums == nil, Servers: changedSums(told.sums, sums)}
	told.sums = sums
	for server := range core.fleet.Tables() {
		if owner, _ := core.ownerOf(now, server); owner != target {
			delete(told.uses, server)
			continue
		}
		uses := core.work.UsesExcept(target, server)
		if before, ok := told.uses[server]; !ok || !maps.Equal(before, uses) {
			told.uses[server] = uses
			news.Uses = append(news.Uses, peers.ServerUses{Server: server, Uses: uses})
		}
	}
	if !news.Whole && len(news.Servers) == 0 && len(news.Uses) == 0 {
		return nil
	}
	return news
}

// changedSums returns the sums that differ, 0 for those that are no more.
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

// takeSums takes over what a hub has added up. What another daemon than this one's
// hub says is kept, in case it becomes the hub. The mutex is held.
func (core *core) takeSums(now clock.Millis, from string, sums *peers.Sums) {
	if sums.Whole {
		core.sums[from] = make(map[string]inflight.Sum, len(sums.Servers))
	}
	known, ok := core.sums[from]
	if !ok {
		return // the first, whole ones were lost with their connection
	}
	maps.Copy(known, sums.Servers)
	core.follow(now)
	if core.hub != from {
		return
	}
	core.work.SetHubSums(known)
	for _, uses := range sums.Uses {
		core.countUses(now, core.work.SetHubUses(uses.Server, uses.Uses))
	}
}

// follow has the sums of this daemon's present hub count, or what each daemon tells
// itself where there is none. It reports whether the hub is another one. The mutex is held.
func (core *core) follow(now clock.Millis) bool {
	hub := core.members.Plan().Hub
	if hub == core.hub {
		return false
	}
	core.log.Info("hub changed", "Hub", hub, "Before", core.hub)
	core.hub = hub
	if hub != "" && hub != core.followsAt {
		core.followsAt = hub
		core.ledger.ForgetHub()
	}
	core.work.ClearHubSums()
	if peer, ok := core.members.Peer(hub); ok {
		// A hub that had lost sight of this daemon has forgotten its work.
		delete(core.toldTo(peer.Address).shares, core.settings.Name)
	}
	if hub != "" {
		core.work.SetHubSums(core.sums[hub])
		return true
	}
	for name, share := range core.shares {
		if core.members.Live(now, name) {
			core.work.SetPeer(name, share.Share)
		}
	}
	for name, group := range core.groups {
		if core.members.Live(now, name) {
			core.work.SetPeer(name, group.share)
		}
	}
	return true
}
