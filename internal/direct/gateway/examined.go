package gateway

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/platformapi"
)

// maxExaminationWait bounds the time for which a request waits until it is known whether the server ended
// at which one like it was lost. A probe that is not conclusive at once takes longer.
const maxExaminationWait = 100 * clock.Millisecond

// isExamined reports whether a request like this one was just lost at a server, and it is not known yet whether the server
// has ended. Keys that were answered recently do not count. The mutex must be held.
func (core *core) isExamined(now clock.Millis, job *job) bool {
	if len(core.examined) == 0 {
		return false
	}
	return slices.ContainsFunc(job.keys, func(key content.ID) bool {
		return core.examined[key] > 0 && !core.quarantine.RecentlyAnswered(now, key)
	})
}

// addExamined changes the number of lost requests with the given keys whose servers are being probed. The mutex must be
// held.
func (core *core) addExamined(keys []content.ID, change int) {
	for _, key := range keys {
		core.examined[key] += change
		if core.examined[key] <= 0 {
			delete(core.examined, key)
		}
	}
}

// removeExamined ends the examination of the requests that were lost at a server. The mutex must be held.
func (core *core) removeExamined(server platformapi.Server) {
	lost, ok := core.lostRequests[server.ID]
	if !ok {
		return
	}
	for _, request := range lost.unprobed {
		core.addExamined(request.Keys, -1)
	}
	core.wakeWaitingRequests()
}
