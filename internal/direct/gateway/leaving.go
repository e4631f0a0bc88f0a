package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
)

// noteLeaving notes whether an answer says that its server leaves, and tells peers. The store
// may take that word late, and the server may be gone soon; answered names what was answered.
func (gateway *Gateway) noteLeaving(server platformapi.Server, leaving bool, answered string) {
	if leaving && gateway.core.heardLeaving(server, answered) {
		gateway.tellWarnings()
	}
}

// heardLeaving reports whether it is news that a server leaves.
func (core *core) heardLeaving(server platformapi.Server, answered string) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.leaves(core.now(), fleet.DrainNotice{Server: server.ID, StartedAt: server.StartedAt}, answered)
}

// leaves takes over that a server leaves, and reports whether that is news; by names what said
// so. The mutex is held.
func (core *core) leaves(now clock.Millis, word fleet.DrainNotice, by string) bool {
	if !core.fleet.ApplyDrainNotice(now, word) {
		return false
	}
	core.log.Info(ending.MessageServerLeaving, "Server", word.Server, "Born", word.StartedAt, "By", by)
	core.notify()
	return true
}
