package gateway

import (
	"context"
	"time"

	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/upstream"
)

const (
	// otherEndsDelay is the time in which daemons learn that servers have ended under requests of their own.
	otherEndsDelay = 100 * time.Millisecond
	// otherEndsTimeout bounds the time for which other servers are probed, and maxOthersProbed their number.
	otherEndsTimeout = 150 * time.Millisecond
	maxOthersProbed  = 8
)

// countOtherEnds probes other servers of the service of one that has ended, and returns how many of them refuse
// connections although no request was lost there: servers that end together do so for another reason than
// a request.
func (gateway *Gateway) countOtherEnds(ctx context.Context, ended platformapi.Server) int {
	select {
	case <-ctx.Done():
		return 0
	case <-time.After(otherEndsDelay):
	}
	ctx, cancel := context.WithTimeout(ctx, otherEndsTimeout)
	defer cancel()
	others := gateway.core.drawOthers(ended)
	results := make(chan upstream.CheckResult, len(others))
	for _, other := range others {
		gateway.tasks.Go("probe "+other.ID, func(context.Context) error {
			results <- gateway.pool.Check(ctx, other.Address)
			return nil
		})
	}
	count := 0
	for range others {
		if <-results == upstream.ConnectionRefused {
			count++
		}
	}
	return count
}

// drawOthers draws other servers of the service of one that has ended, without those under whose requests they
// have ended.
func (core *core) drawOthers(ended platformapi.Server) []platformapi.Server {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	var others []platformapi.Server
	for _, server := range core.drawServers(len(core.fleet.Members()), map[string]bool{ended.ID: true}) {
		if server.Service == ended.Service && !core.quarantine.Ended(processID(server)) && len(others) < maxOthersProbed {
			others = append(others, server)
		}
	}
	return others
}
