package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
)

// warningsSent holds, for each kind of warning, the number of changes that a peer has been sent
// or has sent itself.
type warningsSent struct {
	quarantine, limits, drainNotices, demand int64
}

// afterReceiving returns the record of a peer after its warnings have changed this daemon's
// numbers from before to after. A peer that had every warning of a kind before still has every
// one, as the new ones come from it.
func (warningsSent warningsSent) afterReceiving(before, after warningsSent) warningsSent {
	if warningsSent.quarantine == before.quarantine {
		warningsSent.quarantine = after.quarantine
	}
	if warningsSent.limits == before.limits {
		warningsSent.limits = after.limits
	}
	if warningsSent.drainNotices == before.drainNotices {
		warningsSent.drainNotices = after.drainNotices
	}
	if warningsSent.demand == before.demand {
		warningsSent.demand = after.demand
	}
	return warningsSent
}

// currentWarnings is the state of a peer that has been sent every warning. The mutex must be
// held.
func (core *core) currentWarnings() warningsSent {
	return warningsSent{quarantine: core.quarantine.Revision(), limits: core.serverLimits.Revision(), drainNotices: core.fleet.DrainNoticeCount(), demand: core.callerDemand.Revision()}
}

// maxRecords bounds the records of the quarantine in one message. Others follow with the next one.
const maxRecords = 256

// unsentWarnings returns warnings that a peer has not been sent, and the state of the peer that has been sent them. The
// mutex must be held.
func (core *core) unsentWarnings(now clock.Millis, since warningsSent) (peers.Warnings, warningsSent) {
	sent := core.currentWarnings()
	warnings := peers.Warnings{Limits: core.serverLimits.ChangedSince(since.limits), Leaving: core.fleet.DrainNoticesSince(since.drainNotices), Demand: core.callerDemand.ChangedSince(since.demand)}
	warnings.Quarantine, sent.quarantine = core.quarantine.ChangedSince(now, since.quarantine, maxRecords)
	return warnings, sent
}

// sendWarnings sends peers the warnings that they lack: requests that servers crashed on,
// limits that servers announced, servers that are leaving, how many requests
// daemons receive, and speeds of servers. Each daemon forwards what is new
// to it, so that warnings reach all daemons whichever are connected.
func (gateway *Gateway) sendWarnings() {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	targets := core.members.Plan().Targets
	unsent := make([]peers.Warnings, len(targets))
	for i, target := range targets {
		sent := core.sentTo(target.Address)
		unsent[i], sent.warnings = core.unsentWarnings(now, sent.warnings)
		unsent[i].Speeds = core.unsentSpeeds(now, sent)
	}
	core.mutex.Unlock()
	for i, warnings := range unsent {
		if !warnings.Empty() {
			gateway.send(targets[i].Address, peers.Message{Warnings: &warnings})
		}
	}
}

// handleWarnings applies a peer's warnings, and forwards the new ones.
func (gateway *Gateway) handleWarnings(from string, warnings *peers.Warnings) {
	if gateway.core.applyWarnings(from, warnings) {
		gateway.sendWarnings()
	}
}

// applyWarnings applies a peer's warnings, and reports whether any was new.
func (core *core) applyWarnings(from string, warnings *peers.Warnings) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	sent := newSentState()
	if peer, ok := core.members.Peer(from); ok {
		sent = core.sentTo(peer.Address)
	}
	before := core.currentWarnings()
	refused := core.quarantine.Merge(now, warnings.Quarantine)
	if len(warnings.Limits) > 0 {
		core.serverLimits.SetDaemons(now, core.members.AliveNames(), core.callerDemand.Shares())
	}
	limited := core.serverLimits.Merge(now, warnings.Limits)
	core.mergeSpeeds(now, sent, warnings.Speeds)
	demanded := core.callerDemand.Merge(now, warnings.Demand)
	left := false
	for _, notice := range warnings.Leaving {
		left = core.markLeaving(now, notice, "peer "+from) || left
	}
	sent.warnings = sent.warnings.afterReceiving(before, core.currentWarnings())
	if refused {
		core.wakeWaitingRequests()
	}
	return refused || limited || left || demanded
}
