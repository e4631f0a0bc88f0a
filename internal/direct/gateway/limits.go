package gateway

import (
	"net/http"

	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/port"
	"teaselmoor/internal/direct/throttle"
)

// noteLimit notes what an answer says of its server's limit. One without a limit lifts it,
// if it is the answer of a server that takes requests.
func (core *core) noteLimit(to placed, status int, reply port.Reply) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !reply.Limited && (reply.NotRun || status != http.StatusOK) {
		return
	}
	word := throttle.Word{Server: to.server.ID, Born: to.server.Born, Limited: reply.Limited, Rate: reply.Limit}
	if !core.limits.Heard(core.now(), to.at, word) {
		return
	}
	message := ending.MessageLimitLifted
	if reply.Limited {
		message = ending.MessageLimitNamed
	}
	core.log.Info(message, "Server", to.server.ID, "RatePerSecond", reply.Limit)
}
