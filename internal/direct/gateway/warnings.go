package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
)

// warned is how many changes of each kind of warning a peer was told, or has told itself.
type warned struct {
	quarantine, limits, departures int64
}

// learned returns what a peer knows that has just told of what changed from before to after:
// of each kind of which it was told all before, all after.
func (warned warned) learned(before, after warned) warned {
	if warned.quarantine == before.quarantine {
		warned.quarantine = after.quarantine
	}
	if warned.limits == before.limits {
		warned.limits = after.limits
	}
	if warned.departures == before.departures {
		warned.departures = after.departures
	}
	return warned
}

// warnedAll is what a peer was told that was told all. The mutex is held.
func (core *core) warnedAll() warned {
	return warned{quarantine: core.quarantine.Revision(), limits: core.limits.Revision(), departures: core.fleet.DrainNoticeCount()}
}

// warnings returns what has changed since a peer was told. The mutex is held.
func (core *core) warnings(now clock.Millis, since warned) peers.Warnings {
	return peers.Warnings{
		Quarantine: core.quarantine.ChangedSince(now, since.quarantine), Limits: core.limits.ChangedSince(since.limits),
		Leaving: core.fleet.DrainNoticesSince(since.departures),
	}
}

// tellWarnings tells peers what they have not been told of contents under which servers
// ended, of limits that servers named, and of servers that said that they leave. Each daemon
// passes on what is news to it, so that all come to know it whoever hears whom.
func (gateway *Gateway) tellWarnings() {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	targets := core.members.Plan().Targets
	news := make([]peers.Warnings, len(targets))
	for i, target := range targets {
		told := core.toldTo(target.Address)
		news[i] = core.warnings(now, told.warned)
		told.warned = core.warnedAll()
	}
	core.mutex.Unlock()
	for i, warnings := range news {
		if !warnings.Empty() {
			gateway.send(targets[i].Address, peers.Message{Warnings: &warnings})
		}
	}
}

// takeWarnings takes over what a peer knows, and passes on what of it is news.
func (gateway *Gateway) takeWarnings(from string, warnings *peers.Warnings) {
	if gateway.core.takeWarnings(from, warnings) {
		gateway.tellWarnings()
	}
}

// takeWarnings reports whether anything that a peer knows was news.
func (core *core) takeWarnings(from string, warnings *peers.Warnings) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	told := newTold()
	if peer, ok := core.members.Peer(from); ok {
		told = core.toldTo(peer.Address)
	}
	before := core.warnedAll()
	refused := core.quarantine.Merge(now, warnings.Quarantine)
	if len(warnings.Limits) > 0 {
		core.limits.SetDaemons(now, core.members.AliveNames())
	}
	limited := core.limits.Merge(now, warnings.Limits)
	left := false
	for _, word := range warnings.Leaving {
		left = core.leaves(now, word, "peer "+from) || left
	}
	told.warned = told.warned.learned(before, core.warnedAll())
	if refused {
		core.notify()
	}
	return refused || limited || left
}
