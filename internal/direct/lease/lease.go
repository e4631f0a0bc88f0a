// Package lease tells a daemon which peers it works for still. A daemon that sends its callers' requests by way of a peer holds a lease
// there, which it renews with heartbeats. Work for a peer that is silent for as long as its caller waits for an event ends, whatever the
// state of the connection. The package does no I/O and reads no clock.
package lease

import (
	"teaselmoor/internal/base/clock"
)

// Options are the times of leases.
type Options struct {
	// Renew is the time between two heartbeats.
	Renew clock.Millis
	// Quiet is the time without a heartbeat from which on a peer counts as silent. It is longer than two heartbeats are apart.
	Quiet clock.Millis
	// Isolated is the time without a heartbeat after which work ends while no other peer is heard either, which may have taken the work
	// over: what its caller has taken up 0.3 s after the last heartbeat must not go on 0.4 s later.
	Isolated clock.Millis
	// Check is the time between two calls of Expire while leases are held. A longer gap means that this daemon has paused, and heartbeats
	// may wait to be read.
	Check clock.Millis
}

// DefaultOptions returns options for peers a few milliseconds away.
func DefaultOptions() Options {
	return Options{Renew: 100, Quiet: 250, Isolated: 600, Check: 20}
}

// maxCheckGap is the number of Check intervals between two calls of Expire from which on this daemon has paused.
const maxCheckGap = 3

// Leases are the leases of the peers that a daemon works for.
type Leases struct {
	options   Options
	holders   map[string]*holder
	checkedAt clock.Millis // 0: no lease was held
	lastWork  uint64
}

// holder is a peer that work is done for.
type holder struct {
	renewedAt clock.Millis
	work      map[uint64]work // by its number
}

// work is done until it is released, or its holder has been silent for the timeout.
type work struct {
	timeout clock.Millis
	end     func()
}

// Expiry is the end of work for a peer.
type Expiry struct {
	Holder string
	Silent clock.Millis // time since its last heartbeat
	Ended  int          // pieces of work that were ended
}

// New returns leases of which none is held.
func New(options Options) *Leases {
	return &Leases{options: options, holders: make(map[string]*holder)}
}

// Hold begins a piece of work for a peer, which has just asked for it, and returns its number. End is called, without delay, when the peer
// has been silent for the timeout before the work is released.
func (leases *Leases) Hold(now clock.Millis, name string, timeout clock.Millis, end func()) uint64 {
	held, ok := leases.holders[name]
	if !ok {
		held = &holder{work: make(map[uint64]work)}
		leases.holders[name] = held
	}
	held.renewedAt = now
	leases.lastWork++
	held.work[leases.lastWork] = work{timeout: timeout, end: end}
	return leases.lastWork
}

// Release ends the record of a piece of work, which may have been ended already.
func (leases *Leases) Release(name string, work uint64) {
	held, ok := leases.holders[name]
	if !ok {
		return
	}
	delete(held.work, work)
	if len(held.work) == 0 {
		delete(leases.holders, name)
	}
	if len(leases.holders) == 0 {
		leases.checkedAt = 0
	}
}

// Renew records a heartbeat of a peer.
func (leases *Leases) Renew(now clock.Millis, name string) {
	if held, ok := leases.holders[name]; ok {
		held.renewedAt = now
	}
}

// Held reports whether any lease is held.
func (leases *Leases) Held() bool {
	return len(leases.holders) > 0
}

// Silent reports whether a peer that work is done for is silent.
func (leases *Leases) Silent(now clock.Millis, name string) bool {
	held, ok := leases.holders[name]
	return ok && now-held.renewedAt >= leases.options.Quiet
}

// Expire ends the work for all peers that have been silent for its timeout, or for Isolated if this daemon is. It is called at each Check
// interval while leases are held. The time in which this daemon has paused is no silence of its peers.
func (leases *Leases) Expire(now clock.Millis, isolated bool) []Expiry {
	gap := now - leases.checkedAt
	paused := leases.checkedAt > 0 && gap > maxCheckGap*leases.options.Check
	leases.checkedAt = now
	var expired []Expiry
	for name, held := range leases.holders {
		if paused {
			held.renewedAt = min(now, held.renewedAt+gap)
		}
		expiry := Expiry{Holder: name, Silent: now - held.renewedAt}
		for number, each := range held.work {
			if expiry.Silent >= each.timeout || isolated && expiry.Silent >= leases.options.Isolated {
				each.end()
				leases.Release(name, number)
				expiry.Ended++
			}
		}
		if expiry.Ended > 0 {
			expired = append(expired, expiry)
		}
	}
	return expired
}
