package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/lease"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/takeup"
)

// This file ends the work for entries that are silent: a caller whose daemon stands still or is cut off leaves it, but the connection to that
// daemon may stay open long after that.

// leaseHeader is the header of a request to a peer that tells that the entry renews its lease there. Its value is the caller's
// last event. Entries of earlier versions do not send it.
const leaseHeader = internalHeaders + "Lease"

// noEvent is the value of leaseHeader where the caller has no event.
const noEvent = "none"

// setLease sets the header of a request to a peer that tells that this daemon renews its lease there.
func setLease(header http.Header, job *job) {
	header.Set(leaseHeader, cmp.Or(job.headers.LastEventID, noEvent))
}

// takeLease parses and removes the header. It reports whether the entry renews its lease, and the last event that its caller had.
func takeLease(header http.Header) (renews bool, after takeup.Event) {
	text := header.Get(leaseHeader)
	header.Del(leaseHeader)
	if text == noEvent {
		return true, 0
	}
	return text != "", takeup.EventOf(text)
}

// entryLeases are the leases of the entries that this daemon works for.
type entryLeases struct {
	mutex    sync.Mutex // guards the fields below; takenUpRuns.mutex may be acquired while it is held, core.mutex is not
	leases   *lease.Leases
	checking bool // a goroutine checks them
}

// holdLease has a request end when its entry has been silent for as long as its caller waits for an event. The function that it
// returns is called at the end of the request.
func (gateway *Gateway) holdLease(job *job, end func()) (release func()) {
	held := &gateway.entryLeases
	held.mutex.Lock()
	defer held.mutex.Unlock()
	work := held.leases.Hold(gateway.core.now(), job.entry, job.callerPatience(), end)
	if !held.checking {
		held.checking = true
		gateway.tasks.Go("leases", gateway.checkLeases)
	}
	return func() {
		held.mutex.Lock()
		defer held.mutex.Unlock()
		held.leases.Release(job.entry, work)
	}
}

// checkLeases checks leases as long as any is held.
func (gateway *Gateway) checkLeases(ctx context.Context) error {
	ticker := time.NewTicker(gateway.options.Leases.Check.Duration())
	defer ticker.Stop()
	for gateway.expireLeases() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// expireLeases ends the requests of silent entries, and reports whether any lease is held still.
func (gateway *Gateway) expireLeases() bool {
	held := &gateway.entryLeases
	now := gateway.core.now()
	isolated := gateway.isolated(now)
	held.mutex.Lock()
	defer held.mutex.Unlock()
	expired := held.leases.Expire(now, isolated)
	gateway.endTakenUpOfSilent(func(entry string) bool { return held.leases.Silent(now, entry) })
	for _, expired := range expired {
		gateway.log.Info(ending.MessageEntrySilent, "Entry", expired.Holder, "SilentMillis", expired.Silent, "Requests", expired.Ended)
		gateway.counters.recordEntrySilent(expired.Ended)
	}
	held.checking = held.leases.Held()
	return held.checking
}

// isolated reports whether no other daemon is heard, though there is one besides an entry.
func (gateway *Gateway) isolated(now clock.Millis) bool {
	core := gateway.core
	core.mutex.Lock()
	others := core.members.RunningCount() - 1
	core.mutex.Unlock()
	return others > 1 && now-clock.Millis(gateway.lastMessageAt.Load()) >= gateway.options.Leases.Isolated
}

// serveHeartbeats accepts the heartbeats of an entry.
func (gateway *Gateway) serveHeartbeats(writer http.ResponseWriter, request *http.Request) {
	peers.ServeHeartbeats(gateway.tasks.Context(), gateway.options.Peers, writer, request, func(from string) {
		held := &gateway.entryLeases
		held.mutex.Lock()
		defer held.mutex.Unlock()
		held.leases.Renew(gateway.core.now(), from)
	})
}

// heartbeatLinger is how long heartbeats go on after the last request to a peer has ended, so that the next one finds the connection open.
const heartbeatLinger = 2 * clock.Second

// heartbeatTargets are the peers that this daemon has requests at for which it renews its lease.
type heartbeatTargets struct {
	mutex   sync.Mutex                   // guards targets
	targets map[string]*heartbeatsTarget // by address
}

// heartbeatsTarget is a peer that heartbeats are sent to.
type heartbeatsTarget struct {
	requests int
	linger   *time.Timer // ends the heartbeats; nil while there are requests
	stop     context.CancelFunc
}

// renewLease sends heartbeats to the peer at an address until some time after the function that it returns has been called.
func (gateway *Gateway) renewLease(address string) (release func()) {
	heartbeats := &gateway.heartbeats
	heartbeats.mutex.Lock()
	defer heartbeats.mutex.Unlock()
	target, ok := heartbeats.targets[address]
	if !ok {
		ctx, stop := context.WithCancel(gateway.tasks.Context())
		target = &heartbeatsTarget{stop: stop}
		heartbeats.targets[address] = target
		gateway.tasks.Go("heartbeats "+address, func(context.Context) error {
			peers.SendHeartbeats(ctx, gateway.options.Peers, address, gateway.settings.Name, gateway.options.Leases.Renew)
			return nil
		})
	}
	if target.linger != nil {
		target.linger.Stop()
		target.linger = nil
	}
	target.requests++
	return func() { heartbeats.release(address, target) }
}

// release ends a request at the peer at an address.
func (heartbeatTargets *heartbeatTargets) release(address string, target *heartbeatsTarget) {
	heartbeatTargets.mutex.Lock()
	defer heartbeatTargets.mutex.Unlock()
	target.requests--
	if target.requests > 0 {
		return
	}
	target.linger = time.AfterFunc(heartbeatLinger.Duration(), func() { heartbeatTargets.end(address, target) })
}

// end ends the heartbeats to the peer at an address, unless there are requests again.
func (heartbeatTargets *heartbeatTargets) end(address string, target *heartbeatsTarget) {
	heartbeatTargets.mutex.Lock()
	defer heartbeatTargets.mutex.Unlock()
	if target.requests == 0 {
		target.stop()
		delete(heartbeatTargets.targets, address)
	}
}
