package gateway

import (
	"context"
	"fmt"
	"maps"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/quarantine"
	"teaselmoor/internal/direct/upstream"
)

// probeDelay is the time between the loss of a request and the probe of its server. Other
// requests lost at the same time are recorded by then.
const probeDelay = 20 * clock.Millisecond

// A probe may be inconclusive if packets are lost or a link is cut. It is repeated for some
// seconds at most: after that a server that ended may have restarted.
const (
	probeTries         = 4
	probeRetryInterval = 400 * clock.Millisecond
)

// lossRetention is how long losses are kept for a server that accepted the probe: it may have
// restarted in the meantime, which its store entry shows only later.
const lossRetention = 5 * clock.Second

// maxEarlierLosses bounds the losses that are kept of one server.
const maxEarlierLosses = 256

// serverLosses holds requests that were recently lost at one server.
type serverLosses struct {
	unprobed []lostRequest // lost since the last probe ended
	earlier  []lostRequest // lost before a probe that was accepted or inconclusive
	lastAt   clock.Millis  // time of the last loss
	probing  bool          // a probe of the server is running
}

// lostRequest is a request that was lost.
type lostRequest struct {
	quarantine.LostRequest
	parts []string // names of the parts of its prompt, in order
	trial *trial   // nil: it was none
}

// add records a lost request.
func (serverLosses *serverLosses) add(now clock.Millis, lost lostRequest) {
	serverLosses.lastAt = now
	serverLosses.unprobed = append(serverLosses.unprobed, lost)
}

// keepAsEarlier keeps the losses after a probe that did not show that the server has ended.
func (serverLosses *serverLosses) keepAsEarlier() {
	serverLosses.earlier = append(serverLosses.earlier, serverLosses.unprobed...)
	serverLosses.earlier = serverLosses.earlier[max(0, len(serverLosses.earlier)-maxEarlierLosses):]
	serverLosses.unprobed = nil
	serverLosses.probing = false
}

// recordLoss records that a server closed the connection before its answer was complete, and
// starts a probe of the server.
func (gateway *Gateway) recordLoss(job *job, to assignment, err error) {
	server := to.server
	if to.peer != "" || !upstream.ClosedByServer(err) {
		return
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	lost, ok := core.lostRequests[server.ID]
	if !ok {
		lost = &serverLosses{}
		core.lostRequests[server.ID] = lost
	}
	lost.add(core.now(), lostRequest{
		LostRequest: quarantine.LostRequest{Attempt: job.headers.Attempt, Keys: job.keys, Trial: job.trial.trialKeys()},
		parts:       job.partNames(), trial: job.trial,
	})
	job.trial = nil // ends with the probe
	core.addExamined(job.keys, 1)
	if lost.probing {
		return
	}
	lost.probing = true
	gateway.tasks.Go("examine "+server.ID, func(ctx context.Context) error {
		gateway.probe(ctx, server)
		return nil
	})
}

// probe finds out whether a server at which requests were lost has ended.
func (gateway *Gateway) probe(ctx context.Context, server platformapi.Server) {
	ended := gateway.hasEnded(ctx, server)
	core := gateway.core
	others := 0
	if ended && core.lostTrial(server) {
		others = gateway.countOtherEnds(ctx, server)
	}
	core.mutex.Lock()
	trials := core.lostTrials(server)
	core.removeExamined(server)
	core.applyProbe(server, ended, others)
	core.mutex.Unlock()
	gateway.sendWarnings()
	delay := time.Duration(0)
	if ended {
		delay = findingDelay
	}
	for _, trial := range trials {
		gateway.endTrialAfter(trial, delay)
	}
}

// applyProbe applies the result of a probe. The end of a draining server is expected and not
// blamed on its requests. The mutex must be held.
func (core *core) applyProbe(server platformapi.Server, ended bool, others int) {
	lost, ok := core.lostRequests[server.ID]
	if !ok {
		return // a restart was detected in the meantime
	}
	member, known := core.fleet.Member(server.ID)
	if !ended || known && member.Draining {
		lost.keepAsEarlier()
		return
	}
	core.handleServerEnd(server, lost.unprobed, others)
}

// handleRestart records the requests that were lost at a server that has restarted without
// announcing that it would leave. The mutex must be held.
func (core *core) handleRestart(server platformapi.Server) {
	if lost, ok := core.lostRequests[server.ID]; ok {
		core.removeExamined(server)
		core.handleServerEnd(server, append(lost.earlier, lost.unprobed...), 0)
	}
}

// handleServerEnd records in the quarantine which requests were lost when a server ended. The mutex must
// be held.
func (core *core) handleServerEnd(server platformapi.Server, lost []lostRequest, others int) {
	now := core.now()
	delete(core.lostRequests, server.ID)
	core.log.Info(ending.MessageServerEnded, "Server", server.ID, "Lost", contentNames(lost), "Parts", lostParts(lost), "Others", others)
	requests := make([]quarantine.LostRequest, len(lost))
	for i, request := range lost {
		requests[i] = request.LostRequest
	}
	core.quarantine.ServerEnded(now, processID(server), requests, others)
	core.wakeWaitingRequests()
}

// processID identifies a server's process, as a server keeps its id when it restarts.
func processID(server platformapi.Server) string {
	return fmt.Sprintf("%s@%d", server.ID, server.StartedAt)
}

// pruneLosses removes losses at servers that have not ended. The mutex must be held.
func (core *core) pruneLosses(now clock.Millis) {
	maps.DeleteFunc(core.lostRequests, func(_ string, lost *serverLosses) bool { return !lost.probing && now-lost.lastAt >= lossRetention })
}

// hasEnded reports whether the address of a server refuses connections. It repeats a check that
// is inconclusive.
func (gateway *Gateway) hasEnded(ctx context.Context, server platformapi.Server) bool {
	pause := probeDelay
	for range probeTries {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause.Duration()):
		}
		if result := gateway.pool.Check(ctx, server.Address); result != upstream.Unknown {
			return result == upstream.ConnectionRefused
		}
		pause = probeRetryInterval
	}
	return false
}
