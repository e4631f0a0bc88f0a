package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
)

// noteRest notes that a server wants nothing from this daemon for a while, and has requests
// that wait there placed anew.
func (core *core) noteRest(server string, rest clock.Millis) {
	if rest == 0 {
		return
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.fleet.Pause(server, core.now()+rest)
	core.log.Info(ending.MessageServerRests, "Server", server, "Millis", rest)
	core.notify()
}

// resting returns how long until the first of the resting servers of a request's service
// takes requests again; 0 where none rests. Other daemons may not have been asked to rest, so
// that a caller may come back earlier. The mutex is held.
func (core *core) resting(now clock.Millis, job *job) clock.Millis {
	first := clock.Millis(0)
	for _, member := range core.fleet.Usable(job.service) {
		left := member.PausedFor(now)
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// restingServers is how many servers want nothing from this daemon now. The mutex is held.
func (core *core) restingServers(now clock.Millis) int {
	count := 0
	for _, member := range core.fleet.Members() {
		if member.PausedFor(now) > 0 {
			count++
		}
	}
	return count
}
