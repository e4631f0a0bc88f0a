package gateway

import (
	"context"
	"net/http"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
)

// noServerResult returns the result of a try for which no server can take the request, with the
// reason for it. The mutex must be held.
func (core *core) noServerResult(now clock.Millis, job *job) *tryResult {
	result := &tryResult{status: http.StatusServiceUnavailable, reason: ending.NoServer}
	if !core.hasFitting(now, job) && job.continues {
		result.reason = ending.NoSoftwareVersion
		return result
	}
	for _, member := range core.fleet.Usable(job.service) {
		if !slices.Contains(job.triedServers, member.ID) && !core.serverLimits.Allows(now, member.ID) {
			result.reason = ending.ServersLimited
		}
	}
	if core.hasFullServer(now, job) {
		result.reason = ending.ServersFull
		return result
	}
	left := core.shortestPause(now, job)
	if left == 0 || result.reason != ending.NoServer {
		return result
	}
	result.reason = ending.ServersPaused
	if job.mayHaveRun == 0 {
		job.retryAfter = min(left, core.options.RetryAfter)
	}
	return result
}

// logAdapterNotReady logs why a request does not wait for its adapter any longer. The mutex
// must be held.
func (core *core) logAdapterNotReady(now clock.Millis, job *job, server *fleet.Member, tooLate bool, maxWait clock.Millis) {
	loading, queued := core.incomingAdapters()
	loadingHere, queuedHere := server.LoadCounts()
	owner, _ := core.ownerOf(now, server.ID)
	core.log.Info(ending.MessageAdapterNotReady, "Request", job.headers.Attempt, "Server", server.ID, "Adapter", job.adapter.Name, "Owner", owner,
		"AtOnce", tooLate, "PatienceMillis", maxWait, "LoadMillis", core.expectedLoadTime(server), "Loading", loading, "Queued", queued,
		"LoadingHere", loadingHere, "QueuedHere", queuedHere)
}

// waitEndedResult returns the result of a try that stopped waiting for its adapter, with the
// reason for it.
func waitEndedResult(ctx context.Context, job *job) *tryResult {
	if job.incoming.Context().Err() != nil {
		return &tryResult{done: false, status: http.StatusServiceUnavailable, reason: ending.CallerLeft}
	}
	if ctx.Err() != nil {
		return &tryResult{status: http.StatusServiceUnavailable, reason: ending.Deadline}
	}
	return &tryResult{status: http.StatusServiceUnavailable, reason: ending.AdapterNotReady}
}
