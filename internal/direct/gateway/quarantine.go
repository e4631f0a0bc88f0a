package gateway

import (
	"fmt"
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/port"
)

// quarantined refuses a request whose content is refused now. The mutex is held.
func (core *core) quarantined(now clock.Millis, job *job) *verdict {
	left := core.quarantine.Refuses(now, job.content)
	if left == 0 {
		return nil
	}
	if job.sends == 0 {
		job.comeBack = left
	}
	core.log.Info(ending.MessageQuarantined, "Request", job.call.Attempt, "Content", job.content.String(),
		"Servers", core.quarantine.Servers(job.content), "LeftMillis", left)
	return &verdict{status: http.StatusServiceUnavailable, reason: ending.Quarantined}
}

// ended notes the requests that were in progress at a server when it ended. One that was
// to leave has not ended under them. The mutex is held.
func (core *core) ended(now clock.Millis, server port.Server, lost []content.ID) {
	member, ok := core.fleet.Member(server.ID)
	if ok && member.Draining {
		return
	}
	for _, id := range lost {
		core.quarantine.Ended(now, id, processOf(server))
	}
	core.notify()
}

// processOf names a server's process: it may start again under its id.
func processOf(server port.Server) string {
	return fmt.Sprintf("%s@%d", server.ID, server.Born)
}

// answeredWhole notes that a server has answered a request whole and with success.
func (gateway *Gateway) answeredWhole(job *job, to placed) {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	core.fleet.Answered(now, to.server.ID, false)
	cleared := core.quarantine.Answered(now, job.content)
	core.mutex.Unlock()
	if cleared {
		gateway.tellWarnings()
	}
}
