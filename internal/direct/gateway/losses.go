package gateway

import (
	"context"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/port"
	"teaselmoor/internal/direct/upstream"
)

// examinePause is how long after a request was lost its server is looked at: those that
// are lost with it are then known too.
const examinePause = 20 * clock.Millisecond

// lostAt notes that a server closed the connection of a request before its answer was
// whole, and has it looked at whether the server has ended.
func (gateway *Gateway) lostAt(job *job, server port.Server, err error) {
	if !upstream.ClosedByServer(err) {
		return
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	_, looking := core.losses[server.ID]
	core.losses[server.ID] = append(core.losses[server.ID], job.content)
	if looking {
		return
	}
	gateway.group.Go("examine "+server.ID, func(ctx context.Context) error {
		gateway.examine(ctx, server)
		return nil
	})
}

// examine looks whether a server at which requests were lost has ended.
func (gateway *Gateway) examine(ctx context.Context, server port.Server) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(examinePause.Duration()):
	}
	ended := gateway.pool.Refused(ctx, server.Address)
	core := gateway.core
	core.mutex.Lock()
	lost := core.losses[server.ID]
	delete(core.losses, server.ID)
	if ended {
		core.log.Info(ending.MessageServerEnded, "Server", server.ID, "Lost", contents(lost))
		core.ended(core.now(), server, lost)
	}
	core.mutex.Unlock()
	gateway.tellWarnings()
}

// contents spells names of contents for a log line.
func contents(lost []content.ID) []string {
	spelled := make([]string, len(lost))
	for i, id := range lost {
		spelled[i] = id.String()
	}
	return spelled
}
