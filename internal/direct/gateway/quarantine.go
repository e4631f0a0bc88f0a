package gateway

import (
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
)

// refuseQuarantined refuses a request whose content is in quarantine. The mutex must be held.
func (core *core) refuseQuarantined(now clock.Millis, job *job) *tryResult {
	left := core.quarantine.RefusedFor(now, job.content)
	if left == 0 {
		return nil
	}
	if job.mayHaveRun == 0 {
		job.retryAfter = left
	}
	core.log.Info(ending.MessageContentRefused, "Request", job.headers.Attempt, "Content", job.content.String(),
		"Servers", core.quarantine.ServerCount(job.content), "LeftMillis", left)
	return &tryResult{status: http.StatusServiceUnavailable, reason: ending.Quarantined}
}

// recordSuccess records that a server has answered a request completely and successfully, which
// ends the quarantine of its content.
func (gateway *Gateway) recordSuccess(job *job, to assignment) {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	core.fleet.RecordAnswer(now, to.server.ID, false)
	cleared := core.quarantine.Answered(now, job.content)
	core.mutex.Unlock()
	if cleared {
		gateway.sendWarnings()
	}
}
