package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
)

// handleLeaving checks whether an answer says that its server is leaving, and notifies peers:
// the store may show that late, when the server is already gone. The parameter answered names
// what the answer belongs to.
func (gateway *Gateway) handleLeaving(server platformapi.Server, leaving bool, answered string) {
	if leaving && gateway.core.markLeavingByReply(server, answered) {
		gateway.sendWarnings()
	}
}

// markLeavingByReply records that a server is leaving, and reports whether that is new.
func (core *core) markLeavingByReply(server platformapi.Server, answered string) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.markLeaving(core.now(), fleet.DrainNotice{Server: server.ID, StartedAt: server.StartedAt}, answered)
}

// markLeaving records a server's notice that it is leaving, and reports whether that is new; by
// names the source of the notice. The mutex must be held.
func (core *core) markLeaving(now clock.Millis, notice fleet.DrainNotice, by string) bool {
	if !core.fleet.ApplyDrainNotice(now, notice) {
		return false
	}
	core.log.Info(ending.MessageServerLeaving, "Server", notice.Server, "Born", notice.StartedAt, "By", by)
	core.wakeWaitingRequests()
	return true
}
