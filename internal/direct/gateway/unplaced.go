package gateway

import (
	"context"
	"net/http"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
)

// unplaced says why there is no server for a request. The mutex is held.
func (core *core) unplaced(now clock.Millis, job *job) *verdict {
	result := &verdict{status: http.StatusServiceUnavailable, reason: ending.NoServer}
	for _, member := range core.fleet.Usable(job.service) {
		if !slices.Contains(job.tried, member.ID) && !core.limits.Allows(now, member.ID) {
			result.reason = ending.Limited
		}
	}
	left := core.resting(now, job)
	if left == 0 || result.reason != ending.NoServer {
		return result
	}
	result.reason = ending.Resting
	if job.sends == 0 {
		job.comeBack = min(left, core.options.RetryAfter)
	}
	return result
}

// logNotPlaced writes what decided that a request does not wait any longer. The
// mutex is held.
func (core *core) logNotPlaced(now clock.Millis, job *job, server *fleet.Member, hopeless bool, patience clock.Millis) {
	loading, queued := core.coming()
	loadingHere, queuedHere := server.LoadCounts()
	owner, _ := core.ownerOf(now, server.ID)
	core.log.Info(ending.MessageAdapterNotReady, "Request", job.call.Attempt, "Server", server.ID, "Adapter", job.adapter.Name, "Owner", owner,
		"AtOnce", hopeless, "PatienceMillis", patience, "LoadMillis", core.loadWait(server), "Loading", loading, "Queued", queued,
		"LoadingHere", loadingHere, "QueuedHere", queuedHere)
}

// notPlaced says why a request got no server in time.
func notPlaced(ctx context.Context, job *job) *verdict {
	if job.incoming.Context().Err() != nil {
		return &verdict{done: false, status: http.StatusServiceUnavailable, reason: ending.CallerLeft}
	}
	if ctx.Err() != nil {
		return &verdict{status: http.StatusServiceUnavailable, reason: ending.Deadline}
	}
	return &verdict{status: http.StatusServiceUnavailable, reason: ending.AdapterNotReady}
}
