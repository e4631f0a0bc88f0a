package gateway

import (
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
)

// quarantined refuses a request whose content is refused now. The mutex is held.
func (core *core) quarantined(now clock.Millis, job *job) *verdict {
	left := core.quarantine.RefusedFor(now, job.content)
	if left == 0 {
		return nil
	}
	if job.sends == 0 {
		job.comeBack = left
	}
	core.log.Info(ending.MessageContentRefused, "Request", job.call.Attempt, "Content", job.content.String(),
		"Servers", core.quarantine.ServerCount(job.content), "LeftMillis", left)
	return &verdict{status: http.StatusServiceUnavailable, reason: ending.Quarantined}
}

// answeredWhole notes that a server has answered a request whole and with success.
func (gateway *Gateway) answeredWhole(job *job, to placed) {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	core.fleet.RecordAnswer(now, to.server.ID, false)
	cleared := core.quarantine.Answered(now, job.content)
	core.mutex.Unlock()
	if cleared {
		gateway.tellWarnings()
	}
}
