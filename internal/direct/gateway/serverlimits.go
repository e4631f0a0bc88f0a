package gateway

import (
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/throttle"
)

// handleLimit updates a server's request limit from an answer. An answer without a limit
// removes the limit, if the server ran the request successfully.
func (gateway *Gateway) handleLimit(to assignment, status int, reply platformapi.AnswerHeaders) {
	if !reply.HasLimit && (reply.NotRun || status != http.StatusOK) {
		return
	}
	if gateway.core.applyLimit(to, reply) {
		gateway.sendWarnings()
	}
}

// applyLimit applies a server's limit from an answer, and reports whether it differs from the
// known one.
func (core *core) applyLimit(to assignment, reply platformapi.AnswerHeaders) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	limit := throttle.ServerLimit{Server: to.server.ID, StartedAt: to.server.StartedAt, Limited: reply.HasLimit, Rate: reply.Limit}
	now := core.now()
	if reply.HasLimit {
		core.serverLimits.SetDaemons(now, core.members.AliveNames())
	}
	if !core.serverLimits.ApplyResponse(now, to.at, limit) {
		return false
	}
	message := ending.MessageLimitLifted
	if reply.HasLimit {
		message = ending.MessageLimitAnnounced
	}
	core.log.Info(message, "Server", to.server.ID, "RatePerSecond", reply.Limit)
	return true
}

// overLimit returns a function that reports whether a server must not get a request now because
// of its limit. The server named by at is exempt, as the request already counts there. The
// result is nil if no server has a limit. The mutex must be held.
func (core *core) overLimit(now clock.Millis, at string) func(server string) bool {
	if core.serverLimits.Limited() == 0 {
		return nil
	}
	return func(server string) bool { return server != at && !core.serverLimits.Allows(now, server) }
}
