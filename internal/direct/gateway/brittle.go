package gateway

import (
	"context"
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/brittle"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
)

// recordBrittle records what an answer says of whether its server is brittle, and that the server had no
// room for the request.
func (core *core) recordBrittle(job *job, to assignment, status int, headers platformapi.AnswerHeaders) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if !headers.HasBrittle {
		if core.brittle.NotAnnounced(now, job.service) {
			core.log.Info(ending.MessageBrittleLifted, "Service", job.service)
		}
		return
	}
	if core.brittle.Announced(now, job.service, headers.Brittle) {
		core.log.Info(ending.MessageBrittleAnnounced, "Service", job.service, "Server", to.server.ID, "RejectionsPerSecond", headers.Brittle)
	}
	if headers.NotRun && status == http.StatusServiceUnavailable {
		core.brittle.Rejected(now, to.server.ID, core.work.Load(to.server.ID).Runs)
	}
}

// isFull returns a function that reports whether a brittle server must get no further request now, other
// than those that already count there. It is nil if no service is brittle. The mutex must be held.
func (core *core) isFull(now clock.Millis, exempt string) func(server string) bool {
	if core.brittle.Count() == 0 {
		return nil
	}
	daemons, share, own := core.members.DaemonCount(), core.ownShare(), core.work.Own().Loads
	return func(server string) bool {
		member, ok := core.fleet.Member(server)
		return ok && server != exempt && core.brittle.Full(now, brittle.Load{
			Server: server, Service: member.Service, Slots: member.Slots, InProgress: core.work.Load(server).Runs, Own: own[server].Runs, Daemons: daemons, Share: share, Rank: core.rankAt(server),
		})
	}
}

// blocked returns a function that reports whether a server must get no further request now, because of
// its rate limit or its lack of room. It is nil if no server is blocked. The mutex must be held.
func (core *core) blocked(now clock.Millis, exempt string) func(server string) bool {
	overLimit, full := core.overLimit(now, exempt), core.isFull(now, exempt)
	switch {
	case overLimit == nil:
		return full
	case full == nil:
		return overLimit
	}
	return func(server string) bool { return overLimit(server) || full(server) }
}

// roomWaitShare is the largest share of a request's remaining time that it waits for room at a brittle
// server. The rest is for the answer.
const roomWaitShare = 0.5

// roomCheckInterval is how often a waiting request looks for room. A place becomes free whenever a request
// of any daemon ends.
const roomCheckInterval = 10 * clock.Millisecond

// waitForRoom waits a moment for room at the brittle servers of a request's service. It reports false if a
// request that has been placed since started, and whose caller waits for patience, must not wait any longer,
// or if it is not room that is missing. The mutex must be held; it is released during the wait.
func (gateway *Gateway) waitForRoom(ctx context.Context, started, patience clock.Millis, job *job) bool {
	core := gateway.core
	now := core.now()
	longest := min(patience, clock.Millis(roomWaitShare*float64(job.deadline-started)))
	if ctx.Err() != nil || now-started >= longest || !core.hasFullServer(now, job) {
		return false
	}
	gateway.waitForChange(ctx, job, roomCheckInterval)
	return true
}

// hasFullServer reports whether a server could take a request but for its lack of room. The mutex must be
// held.
func (core *core) hasFullServer(now clock.Millis, job *job) bool {
	full := core.isFull(now, "")
	if full == nil {
		return false
	}
	query := core.query(now, job, "", false)
	query.Blocked = core.overLimit(now, "")
	for _, member := range core.fleet.Usable(job.service) {
		if full(member.ID) && !query.Excludes(member) {
			return true
		}
	}
	return false
}
