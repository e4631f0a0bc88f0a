package gateway

import (
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/port"
)

// noteLeaving notes that an answer says that its server will end soon.
func (gateway *Gateway) noteLeaving(job *job, to placed, reply port.Reply) {
	if !reply.Leaving {
		return
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	member, known := core.fleet.Member(to.server.ID)
	core.log.Info(ending.MessageServerLeaving, "Server", to.server.ID, "Request", job.call.Attempt, "Draining", known && member.Draining)
}
