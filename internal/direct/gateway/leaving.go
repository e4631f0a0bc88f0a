package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
)

// handleLeaving records and forwards to peers that a server is leaving, if its answer says so:
// the store may show it only when the server has already ended. The answered parameter names
// what the answer belongs to.
func (gateway *Gateway) handleLeaving(server platformapi.Server, leaving bool, answered string) {
	if leaving && gateway.core.markLeavingFromAnswer(server, answered) {
		gateway.sendWarnings()
	}
}

// markLeavingFromAnswer records that a server is leaving according to its answer, and reports
// whether that is new.
func (core *core) markLeavingFromAnswer(server platformapi.Server, answered string) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.markLeaving(core.now(), fleet.DrainNotice{Server: server.ID, StartedAt: server.StartedAt}, answered)
}

// markLeaving records a server's notice that it is leaving, and reports whether that is new. The
// by parameter names the source of the notice. The mutex must be held.
func (core *core) markLeaving(now clock.Millis, notice fleet.DrainNotice, by string) bool {
	if !core.fleet.ApplyDrainNotice(now, notice) {
		return false
	}
	core.log.Info(ending.MessageServerLeaving, "Server", notice.Server, "Born", notice.StartedAt, "By", by)
	core.wakeWaitingRequests()
	return true
}
