package gateway

import (
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/throttle"
)

// noteLimit notes what an answer says of its server's limit. One without a limit lifts it,
// if it is the answer of a server that takes requests.
func (gateway *Gateway) noteLimit(to placed, status int, reply platformapi.AnswerHeaders) {
	if !reply.HasLimit && (reply.NotRun || status != http.StatusOK) {
		return
	}
	if gateway.core.limitNews(to, reply) {
		gateway.tellWarnings()
	}
}

// limitNews reports whether an answer says something else of its server's limit than is
// known, and takes it over.
func (core *core) limitNews(to placed, reply platformapi.AnswerHeaders) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	word := throttle.ServerLimit{Server: to.server.ID, StartedAt: to.server.StartedAt, Limited: reply.HasLimit, Rate: reply.Limit}
	now := core.now()
	if reply.HasLimit {
		core.limits.SetDaemons(now, core.members.AliveNames())
	}
	if !core.limits.ApplyResponse(now, to.at, word) {
		return false
	}
	message := ending.MessageLimitLifted
	if reply.HasLimit {
		message = ending.MessageLimitNamed
	}
	core.log.Info(message, "Server", to.server.ID, "RatePerSecond", reply.Limit)
	return true
}

// barred returns which servers must not get a request now because of their limits; at is the
// one at which the request counts already. Nil where no server has a limit. The mutex is held.
func (core *core) barred(now clock.Millis, at string) func(server string) bool {
	if core.limits.Limited() == 0 {
		return nil
	}
	return func(server string) bool { return server != at && !core.limits.Allows(now, server) }
}
