package gateway

import (
	"context"
	"fmt"
	"maps"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/upstream"
)

// examinePause is how long after a request was lost its server is looked at: those that
// are lost with it are then known too.
const examinePause = 20 * clock.Millisecond

// A look may show nothing, where packets get lost or a link is cut. It is repeated for some
// seconds: by then a server that ended may be back.
const (
	examineTries = 4
	examineAgain = 400 * clock.Millisecond
)

// lossKept is how long a loss at a server is remembered that was found to listen: it may have
// started again meanwhile, which its entry in the store says later.
const lossKept = 5 * clock.Second

// mostLosses bounds what is remembered of a server.
const mostLosses = 256

// losses are requests that were lost at a server of late.
type losses struct {
	fresh   []content.ID // the server has not been looked at since
	earlier []content.ID // it was found to listen, or could not be looked at
	at      clock.Millis // of the last one
	looking bool         // the server is being looked at
}

// add notes one more.
func (losses *losses) add(now clock.Millis, id content.ID) {
	losses.at = now
	losses.fresh = append(losses.fresh, id)
}

// survived notes that the server has not been found to have ended.
func (losses *losses) survived() {
	losses.earlier = append(losses.earlier, losses.fresh...)
	losses.earlier = losses.earlier[max(0, len(losses.earlier)-mostLosses):]
	losses.fresh = nil
	losses.looking = false
}

// lostAt notes that a server closed the connection of a request before its answer was
// whole, and has it looked at whether the server has ended.
func (gateway *Gateway) lostAt(job *job, server platformapi.Server, err error) {
	if !upstream.ClosedByServer(err) {
		return
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	lost, ok := core.losses[server.ID]
	if !ok {
		lost = &losses{}
		core.losses[server.ID] = lost
	}
	lost.add(core.now(), job.content)
	if lost.looking {
		return
	}
	lost.looking = true
	gateway.group.Go("examine "+server.ID, func(ctx context.Context) error {
		gateway.examine(ctx, server)
		return nil
	})
}

// examine looks whether a server at which requests were lost has ended.
func (gateway *Gateway) examine(ctx context.Context, server platformapi.Server) {
	ended := gateway.hasEnded(ctx, server)
	core := gateway.core
	core.mutex.Lock()
	core.examined(server, ended)
	core.mutex.Unlock()
	gateway.tellWarnings()
}

// examined notes whether a server was found to have ended. One that was to leave has not
// ended under its requests. The mutex is held.
func (core *core) examined(server platformapi.Server, ended bool) {
	lost, ok := core.losses[server.ID]
	if !ok {
		return // its restart was seen meanwhile
	}
	member, known := core.fleet.Member(server.ID)
	if !ended || known && member.Draining {
		lost.survived()
		return
	}
	core.ended(server, lost.fresh)
}

// restarted notes that a server has started again without a word that it would leave. The
// mutex is held.
func (core *core) restarted(server platformapi.Server) {
	if lost, ok := core.losses[server.ID]; ok {
		core.ended(server, append(lost.earlier, lost.fresh...))
	}
}

// ended notes what was in progress at a server when it ended. The mutex is held.
func (core *core) ended(server platformapi.Server, lost []content.ID) {
	now := core.now()
	delete(core.losses, server.ID)
	core.log.Info(ending.MessageServerEnded, "Server", server.ID, "Lost", spell(lost))
	for _, id := range lost {
		core.quarantine.ServerEnded(now, id, processOf(server))
	}
	core.notify()
}

// processOf names a server's process: it may start again under its id.
func processOf(server platformapi.Server) string {
	return fmt.Sprintf("%s@%d", server.ID, server.StartedAt)
}

// pruneLosses forgets the losses of servers that have not ended. The mutex is held.
func (core *core) pruneLosses(now clock.Millis) {
	maps.DeleteFunc(core.losses, func(_ string, lost *losses) bool { return !lost.looking && now-lost.at >= lossKept })
}

// hasEnded reports whether nobody listens at a server's address.
func (gateway *Gateway) hasEnded(ctx context.Context, server platformapi.Server) bool {
	pause := examinePause
	for range examineTries {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause.Duration()):
		}
		if shown := gateway.pool.Check(ctx, server.Address); shown != upstream.Unknown {
			return shown == upstream.ConnectionRefused
		}
		pause = examineAgain
	}
	return false
}

// spell spells names of contents for a log line.
func spell(lost []content.ID) []string {
	spelled := make([]string, len(lost))
	for i, id := range lost {
		spelled[i] = id.String()
	}
	return spelled
}
