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
func (gateway *Gateway) handleLimit(to assignment, status int, headers platformapi.AnswerHeaders) {
	if !headers.HasLimit && (headers.NotRun || status != http.StatusOK) {
		return
	}
	if gateway.core.applyLimit(to, headers) {
		gateway.sendWarnings()
	}
}

// applyLimit applies a server's limit from an answer, and reports whether it differs from the
// known one.
func (core *core) applyLimit(to assignment, headers platformapi.AnswerHeaders) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	limit := throttle.ServerLimit{Server: to.server.ID, StartedAt: to.server.StartedAt, Limited: headers.HasLimit, Rate: headers.Limit}
	now := core.now()
	if headers.HasLimit {
		core.serverLimits.SetDaemons(now, core.members.AliveNames(), core.callerDemand.Shares())
	}
	if !core.serverLimits.ApplyResponse(now, to.at, limit) {
		return false
	}
	message := ending.MessageLimitLifted
	if headers.HasLimit {
		message = ending.MessageLimitAnnounced
	}
	core.log.Info(message, "Server", to.server.ID, "RatePerSecond", headers.Limit)
	return true
}

// overLimit returns a function that reports whether a server must not get a request now because
// of its limit. The server at which the request already counts is exempt. The result is nil if
// no server has a limit. The mutex must be held.
func (core *core) overLimit(now clock.Millis, exempt string) func(server string) bool {
	if core.serverLimits.LimitedCount() == 0 {
		return nil
	}
	return func(server string) bool { return server != exempt && !core.serverLimits.Allows(now, server) }
}
