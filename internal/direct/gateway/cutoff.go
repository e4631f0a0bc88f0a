package gateway

import (
	"context"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/reach"
	"teaselmoor/internal/direct/upstream"
)

// linkCheckInterval is the time between two checks whether servers have to be probed.
const linkCheckInterval = 100 * clock.Millisecond

// checkLinks starts a round of probes if this daemon may have lost its links to all servers.
func (gateway *Gateway) checkLinks() {
	targets := gateway.core.dueProbes(gateway.pool.Activity())
	if len(targets) == 0 {
		return
	}
	gateway.tasks.Go("probe links", func(ctx context.Context) error {
		gateway.probeLinks(ctx, targets)
		return nil
	})
}

// confirmCutOff reports whether this daemon reaches no server, for a request that found none. If
// connections for it have failed, it first waits for the probes that are due since then.
func (gateway *Gateway) confirmCutOff(ctx context.Context, job *job) bool {
	if !job.connectFailed {
		return false
	}
	gateway.checkLinks()
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.links.Probing() {
		probed := core.linksProbed
		core.mutex.Unlock()
		select {
		case <-probed:
		case <-ctx.Done():
		}
		core.mutex.Lock()
	}
	return core.links.CutOff()
}

// probeLinks probes servers until the round is over.
func (gateway *Gateway) probeLinks(ctx context.Context, targets []platformapi.Server) {
	probed := make(map[string]bool)
	for len(targets) > 0 {
		reached := gateway.reachesAny(ctx, targets)
		for _, target := range targets {
			probed[target.ID] = true
		}
		targets = gateway.core.applyProbes(reached, probed)
	}
	if gateway.core.isCutOff() {
		gateway.handOverServers(ctx)
	}
}

// reachesAny connects to servers at the same time, and reports whether any connection opened.
func (gateway *Gateway) reachesAny(ctx context.Context, targets []platformapi.Server) bool {
	return gateway.anySucceeds(ctx, len(targets), func(ctx context.Context, i int) bool {
		return gateway.pool.Check(ctx, targets[i].Address) == upstream.Listening
	})
}

// anySucceeds makes a number of attempts at the same time, and reports whether one succeeded, as soon as it has.
func (gateway *Gateway) anySucceeds(ctx context.Context, count int, attempt func(ctx context.Context, i int) bool) bool {
	succeeded := make(chan bool, count)
	for i := range count {
		gateway.tasks.Go("attempt", func(context.Context) error {
			succeeded <- attempt(ctx, i)
			return nil
		})
	}
	for range count {
		select {
		case <-ctx.Done():
			return false
		case ok := <-succeeded:
			if ok {
				return true
			}
		}
	}
	return false
}

// isCutOff reports whether this daemon reaches no server.
func (core *core) isCutOff() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.links.CutOff()
}

// dueProbes returns the servers to probe now.
func (core *core) dueProbes(activity upstream.Activity) []platformapi.Server {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	view := reach.View{
		LastRead: now - activity.SinceRead, LastOpened: now - activity.SinceOpened,
		Waiting: core.ownRequests() > 0, Owner: len(core.orderWorkers) > 0, Servers: len(core.fleet.Members()),
	}
	count := core.links.Due(now, view)
	if count > 0 {
		core.linksProbed = make(chan struct{})
	}
	return core.drawServers(count, nil)
}

// drawServers draws servers at random, without those that are excluded. The mutex must be held.
func (core *core) drawServers(count int, excluded map[string]bool) []platformapi.Server {
	var drawn []platformapi.Server
	members := core.fleet.Members()
	for _, i := range core.random.Perm(len(members)) {
		if len(drawn) < count && !excluded[members[i].ID] {
			drawn = append(drawn, members[i].Server)
		}
	}
	return drawn
}

// applyProbes applies the results of a round of probes, and returns the servers that have to be probed
// before it is over.
func (core *core) applyProbes(reached bool, probed map[string]bool) []platformapi.Server {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	before := core.links.CutOff()
	more := core.links.Probed(reached, len(probed), len(core.fleet.Members()))
	if cutOff := core.links.CutOff(); cutOff != before {
		message := ending.MessageReached
		if cutOff {
			message = ending.MessageCutOff
		}
		core.log.Info(message, "Probed", len(probed), "Servers", len(core.fleet.Members()), "Peers", len(core.members.AliveDaemons(core.now())))
		core.handedOver = false
		core.wakeWaitingRequests()
	}
	if !core.links.Probing() {
		close(core.linksProbed)
	}
	return core.drawServers(more, probed)
}
