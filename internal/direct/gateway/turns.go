package gateway

import (
	"context"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/prefill"
)

// promptTurn is the state of one request's admission while the request is being placed.
type promptTurn struct {
	asked int    // owners asked
	local bool   // the daemon's own rule decides when the prompt is sent
	id    uint64 // of the last request to an owner; 0: none was asked
}

// maxTurnRequests is the number of owners that one placement asks. A request whose server fails
// while it waits asks the owner of a second server; after that the local rule applies, so that
// a site with many failing servers does not keep requests waiting in turn at each of them.
const maxTurnRequests = 2

// turnCheckInterval is how often a request that waits for a grant checks whether its server can
// still run it. Waking it at each change of the holdings instead would cost 50 wake-ups in a
// wait of 250 ms on a site whose tables change 200 times a second.
const turnCheckInterval = 50 * clock.Millisecond

// tokensPerMS returns the rate at which a server reads (prefills) prompts. The mutex must be
// held.
func (core *core) tokensPerMS(now clock.Millis, server string) float64 {
	return core.turns.rate.TokensPerMS(core.readRate.TokensPerMS()) * core.speedFactor(now, server)
}

// usesTurns reports whether the owners of servers admit prompts of a request's service. The
// mutex must be held.
func (core *core) usesTurns(job *job) bool {
	return core.options.Turns.Enabled && job.engine && core.hasCompetingCallers(job.service)
}

// hasCompetingCallers reports whether callers of different urgency compete for a service's
// engines at a site that is large enough for hubs. The mutex must be held.
func (core *core) hasCompetingCallers(service string) bool {
	return core.catalog != nil && !core.members.Plan().Mesh && core.catalog.CompetingRanks(service)
}

// admitPrompt waits until the prompt of a request may be sent to the chosen server. It reports
// false if a server has to be chosen again. The mutex must be held; it is released during the
// wait.
func (gateway *Gateway) admitPrompt(ctx context.Context, started clock.Millis, job *job, choice *choose.Choice, counted *countedUse, turn *promptTurn) bool {
	core := gateway.core
	if !turn.local && core.usesTurns(job) {
		job.turn = gateway.waitForTurn(ctx, job, choice, counted, turn)
		switch job.turn {
		case prefill.Granted, prefill.Bound:
			return true
		case prefill.Withdrawn:
			job.turn = prefill.Pending
			job.turnsWithdrawn++
			core.moveCount(counted, inflight.Use{}, 0)
			return false
		case prefill.Late, prefill.Silent:
			turn.local = true
			return false // the server may have changed during the wait
		}
		turn.local = true
	}
	now := core.now()
	if !core.shouldDelay(now, now-started, job, counted.use.Server) {
		return true
	}
	core.moveCount(counted, counted.use, 0)
	gateway.waitForChange(ctx, job, core.options.Hold.Look)
	job.holdTime += core.now() - now
	return false
}

// waitForTurn asks the owner of the chosen server to admit a prompt, and waits for its grant. It
// returns how the wait ended; Local if the owner could not be asked. The mutex must be held; it
// is released during the wait.
func (gateway *Gateway) waitForTurn(ctx context.Context, job *job, choice *choose.Choice, counted *countedUse, turn *promptTurn) prefill.Result {
	core := gateway.core
	now := core.now()
	turn.asked++
	server := counted.use.Server
	owner, known := core.ownerOf(now, server)
	if !known || turn.asked > maxTurnRequests || !core.turns.requester.MayAsk(now, owner) {
		return prefill.Local
	}
	wait := core.turns.requester.Begin(now, owner, server, core.turns.requester.Bound(job.arrived, min(job.route.Goal, job.deadline-job.arrived)))
	turn.id = wait.ID
	defer core.turns.requester.End(wait)
	changed := core.turns.listen(wait.ID)
	defer core.turns.unlisten(wait.ID)
	if !gateway.requestTurn(now, job, wait) {
		return prefill.Local
	}
	before := core.serverState(now, server)
	for {
		asOf := now
		result, remaining := core.checkTurn(now, wait)
		unanswered := result == prefill.Late || result == prefill.Silent
		if !unanswered && (ctx.Err() != nil || !core.stillUsable(now, job, choice, before)) {
			gateway.withdrawTurn(wait)
			return prefill.Withdrawn
		}
		if unanswered {
			gateway.withdrawTurn(wait) // an owner that was frozen receives both, and does not queue a prompt that was sent long ago
		}
		if result != prefill.Pending {
			return result
		}
		job.place.Release()
		core.mutex.Unlock()
		awaitAny(ctx, changed, min(remaining, turnCheckInterval))
		core.mutex.Lock()
		now = core.now()
		job.turnTime += now - asOf
	}
}

// checkTurn returns the result of a wait, and the time until it changes without an answer. It logs
// an owner that is silent from now on. The mutex must be held.
func (core *core) checkTurn(now clock.Millis, wait *prefill.Wait) (prefill.Result, clock.Millis) {
	wasAsked, heardAt := core.turns.requester.MayAsk(now, wait.Owner), core.heardFrom(now, wait.Owner)
	result, remaining := core.turns.requester.Check(now, wait, heardAt)
	if result == prefill.Silent && wasAsked {
		core.log.Info("owner silent", "Owner", wait.Owner, "Server", wait.Server, "Hub", core.hub, "HeardMillis", max(0, now-heardAt), "RestMillis", core.options.Turns.SilentTime)
	}
	return result, remaining
}

// heardFrom returns when this daemon last received anything from an owner, or, where it asks the
// owner through its hub, from the hub. The mutex must be held.
func (core *core) heardFrom(now clock.Millis, owner string) clock.Millis {
	if owner == core.settings.Name {
		return now
	}
	peer, ok := core.members.Peer(owner)
	if !ok || core.peerNames[peer.Address] != owner {
		if peer, ok = core.members.Peer(core.hub); !ok {
			return 0
		}
	}
	return max(peer.LastContactAt, core.turns.heardAt[peer.Name])
}

// serverState is the state of a server in which a request began to wait for a grant.
type serverState struct {
	suspect bool
	limits  int64 // revision of all servers' limits
}

// serverState returns the present state of a server. The mutex must be held.
func (core *core) serverState(now clock.Millis, server string) serverState {
	member, ok := core.fleet.Member(server)
	return serverState{suspect: ok && member.Suspect(now), limits: core.serverLimits.Revision()}
}

// stillUsable reports whether a request that waits for a grant may still be sent to the chosen
// server, and updates the choice if the server's entry was replaced. A server over its limit
// counts only if limits have changed since the wait began: the request has its unit of a limit
// that was known before. The mutex must be held.
func (core *core) stillUsable(now clock.Millis, job *job, choice *choose.Choice, before serverState) bool {
	member, ok := core.fleet.Member(choice.Member.ID)
	if !ok || core.quarantine.Refuses(now, job.keys) {
		return false
	}
	state := core.serverState(now, member.ID)
	if state.suspect && !before.suspect || state.limits != before.limits && !core.serverLimits.Allows(now, member.ID) {
		return false
	}
	choice.Member = member
	return core.query(now, job, member.ID, false).Allows(member)
}
