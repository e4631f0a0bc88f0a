package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
)

// recordPause records that a server asked this daemon to send no requests for a while, and wakes
// the requests that wait there, so that they are placed again.
func (core *core) recordPause(server string, pause clock.Millis) {
	if pause == 0 {
		return
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.fleet.Pause(server, core.now()+pause)
	core.log.Info(ending.MessageServerPaused, "Server", server, "Millis", pause)
	core.wakeWaitingRequests()
}

// shortestPause returns the time until the first paused server of a request's service takes
// requests again, or 0 if none is paused. A refused caller may retry earlier, as the server may
// not have asked other daemons to pause. The mutex must be held.
func (core *core) shortestPause(now clock.Millis, job *job) clock.Millis {
	first := clock.Millis(0)
	for _, member := range core.fleet.Usable(job.service) {
		left := member.PausedFor(now)
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// pausedServers is the number of servers that asked this daemon to send no requests now. The
// mutex must be held.
func (core *core) pausedServers(now clock.Millis) int {
	count := 0
	for _, member := range core.fleet.Members() {
		if member.PausedFor(now) > 0 {
			count++
		}
	}
	return count
}
