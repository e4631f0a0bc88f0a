// Package footprint bounds what callers make a daemon hold: the sum of connections, heads, bodies and answers, in bytes and in descriptors.
// Each of these is bounded by itself elsewhere; their sum is bounded only here. It does no I/O.
//
// Everything that is held belongs to the Hold of a connection, and counts as it arrives, not as it is announced. When the account is full,
// a hold that has made no progress for a while gives way, the one with the most bytes first. Thus a caller that stops short of
// the end of its body does not keep out those who come after it, and no pace is asked of anybody while there is room.
package footprint

import (
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
)

// Limits bound an Account.
type Limits struct {
	// Bytes bounds all that is held.
	Bytes int64
	// LargeBytes bounds what may be held when a body grows beyond SmallBody, so that ordinary requests find room beside large bodies.
	LargeBytes int64
	// Descriptors bounds connections, and requests that need a connection to a server.
	Descriptors int
}

const (
	// ownBytes is the memory of a daemon without callers. It includes the program itself.
	ownBytes = 64 << 20
	// heldShare is the share of the other memory that may be held. As much again may be garbage that has not been collected.
	heldShare = 0.5
	// minBytes is the limit of a daemon whose memory is too small for ownBytes.
	minBytes = 16 << 20
	// largeShare is the share of the limit up to which large bodies may fill it.
	largeShare = 0.75
	// reservedDescriptors is the number of descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// ownDescriptors is the number of descriptors for listening, the store, peers and operators.
	ownDescriptors = 64
	// spareDescriptors is the share of the descriptors that is left for connections to servers that are opened while others are still idle.
	spareDescriptors = 1.0 / 8
)

// LimitsOf returns the limits for a VM. Its memory is in MB. What is 0 is not known, and not bounded.
func LimitsOf(memoryMB int64, descriptors int) Limits {
	limits := Limits{Bytes: math.MaxInt64, LargeBytes: math.MaxInt64, Descriptors: math.MaxInt}
	if memoryMB > 0 {
		limits.Bytes = max(minBytes, int64(heldShare*float64(memoryMB<<20-ownBytes)))
		limits.LargeBytes = int64(largeShare * float64(limits.Bytes))
	}
	if descriptors > 0 {
		usable := descriptors - reservedDescriptors - ownDescriptors
		limits.Descriptors = max(1, int((1-spareDescriptors)*float64(usable)))
	}
	return limits
}

// Options are the intervals and costs of an Account.
type Options struct {
	// Connection is the cost of a connection in bytes: goroutines, buffers, the usual head, and what the kernel may receive unread.
	Connection int64
	// SmallBody is the size in bytes up to which bodies may fill the whole account.
	SmallBody int64
	// Quantum is the number of bytes that count as progress, if they come within StallTime.
	Quantum int64
	// StallTime is the time without progress after which a hold may have to give way, and WriteStallTime the same while an answer is
	// written.
	StallTime, WriteStallTime clock.Millis
	// MakeRoomTimeout bounds the wait for what holds that give way release.
	MakeRoomTimeout clock.Millis
}

// DefaultOptions returns options by which a body of 4 MiB, at the least pace that counts as progress, takes a minute.
func DefaultOptions() Options {
	return Options{Connection: 48 << 10, SmallBody: 64 << 10, Quantum: 32 << 10, StallTime: 500, WriteStallTime: 2000, MakeRoomTimeout: 500}
}

// Check reports the first option that is invalid.
func (options Options) Check() error {
	switch {
	case options.Connection <= 0 || options.SmallBody <= 0 || options.Quantum <= 0:
		return errors.New("Footprint.Connection, Footprint.SmallBody and Footprint.Quantum must be above 0")
	case options.StallTime <= 0 || options.WriteStallTime <= 0 || options.MakeRoomTimeout <= 0:
		return errors.New("Footprint.StallTime, Footprint.WriteStallTime and Footprint.MakeRoomTimeout must be above 0")
	}
	return nil
}

// Account is the sum of what is held. The zero value is not usable; use New.
type Account struct {
	options Options
	limits  Limits
	now     clock.Source
	// serverConnections returns the number of open connections to servers.
	serverConnections func() int

	mutex    sync.Mutex // guards the fields below
	holds    map[*Hold]struct{}
	bytes    int64
	leaving  int64         // bytes of holds that give way and have not been released yet
	evicting int           // connections of holds that give way and have not been closed yet
	working  int           // requests that need a connection to a server
	waiting  int           // holds that wait for room
	released chan struct{} // closed when something has been released while holds wait
	counts   Counts
}

// Counts are the numbers of what an Account has refused or closed so far.
type Counts struct {
	Refused      int64 // requests and connections for which there was no room
	Bodies       int64 // bodies that gave way while they came in
	Connections  int64 // idle connections, and such with an unfinished head, that gave way
	SlowReaders  int64 // connections that gave way while their callers did not read answers
	RefusedBytes int64 // of Refused, those for want of bytes; the others lacked descriptors
}

// New returns an empty account.
func New(options Options, limits Limits, now clock.Source, serverConnections func() int) *Account {
	return &Account{options: options, limits: limits, now: now, serverConnections: serverConnections, holds: make(map[*Hold]struct{}), released: make(chan struct{})}
}

// Open returns the hold of a new connection, or false if there is no room for it. GiveWay is called at most once, when the hold has to give way:
// it must have what it holds released soon, and must not call the account. The caller must call Close.
func (account *Account) Open(giveWay func(Phase)) (*Hold, bool) {
	hold := &Hold{account: account, giveWay: giveWay}
	hold.phase.Store(int32(Waiting))
	hold.marked.Store(int64(account.now()))
	if !account.take(hold, need{bytes: account.options.Connection, limit: account.limits.Bytes, descriptors: 1}) {
		return nil, false
	}
	return hold, true
}

// need is what a hold asks for.
type need struct {
	bytes       int64
	limit       int64 // of all bytes
	descriptors int
	working     bool // the descriptor is for a connection to a server
	keepsOthers bool // no other hold gives way
}

// take adds what a hold needs, and reports whether there was room for it. Others give way if need be.
func (account *Account) take(hold *Hold, need need) bool {
	until := account.now() + account.options.MakeRoomTimeout
	for {
		taken, released := account.tryTake(hold, need, until)
		if released == nil {
			return taken
		}
		timeout := time.NewTimer((until - account.now()).Duration())
		select {
		case <-released:
		case <-timeout.C:
		}
		timeout.Stop()
		account.endWait(hold)
	}
}

// tryTake adds what a hold needs if there is room, and reports whether there was. If there will be soon, it returns a channel that is closed when
// it is worth to try once more; the caller must then call endWait.
func (account *Account) tryTake(hold *Hold, need need, until clock.Millis) (bool, <-chan struct{}) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if hold.closed {
		return false, nil
	}
	if account.fits(need) {
		account.add(hold, need)
		return true, nil
	}
	now := account.now()
	if need.keepsOthers {
		return false, nil
	}
	if now >= until || !account.makeRoom(now, hold, need) {
		account.recordRefused(need)
		return false, nil
	}
	account.waiting++
	return false, account.released
}

// endWait ends the wait of a hold for room. Its caller has not been read from meanwhile.
func (account *Account) endWait(hold *Hold) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.waiting--
	hold.mark()
}

// fits reports whether there is room. The mutex must be held.
func (account *Account) fits(need need) bool {
	return account.bytes+need.bytes <= need.limit && (need.descriptors == 0 || account.descriptors(need) <= account.limits.Descriptors)
}

// descriptors returns the number of descriptors in use once a need is met. The mutex must be held.
func (account *Account) descriptors(need need) int {
	connections, working := len(account.holds), account.working
	if need.working {
		working++
	} else {
		connections++
	}
	return connections + max(working, account.serverConnections())
}

// add adds what a hold needs. The mutex must be held.
func (account *Account) add(hold *Hold, need need) {
	account.bytes += need.bytes
	hold.bytes += need.bytes
	switch {
	case need.working:
		account.working++
		hold.working = true
	case need.descriptors > 0:
		account.holds[hold] = struct{}{}
	}
}

// recordRefused counts a need for which there was no room. The mutex must be held.
func (account *Account) recordRefused(need need) {
	account.counts.Refused++
	if account.bytes+need.bytes > need.limit {
		account.counts.RefusedBytes++
	}
}

// makeRoom has stalled holds give way until there will be room, and reports whether there will be. The mutex must be held.
func (account *Account) makeRoom(now clock.Millis, asking *Hold, need need) bool {
	for {
		lackingBytes := account.bytes - account.leaving + need.bytes - need.limit
		lackingDescriptors := 0
		if need.descriptors > 0 {
			lackingDescriptors = account.descriptors(need) - account.evicting - account.limits.Descriptors
		}
		if lackingBytes <= 0 && lackingDescriptors <= 0 {
			return true
		}
		stalled := account.mostStalled(now, asking, lackingDescriptors > 0)
		if stalled == nil {
			return false
		}
		account.evict(stalled)
	}
}

// mostStalled returns the stalled hold with the most bytes, of several the one that has been stalled for longest; nil if none is. If only
// descriptors are lacking, a body that gives way is of use too, as its connection is closed. The mutex must be held.
func (account *Account) mostStalled(now clock.Millis, asking *Hold, forDescriptors bool) *Hold {
	var worst *Hold
	for hold := range account.holds {
		if hold == asking || !hold.stalled(now) {
			continue
		}
		if worst == nil || hold.before(worst, forDescriptors) {
			worst = hold
		}
	}
	return worst
}

// evict has a hold give way, unless it has gone on meanwhile. The mutex must be held.
func (account *Account) evict(hold *Hold) {
	phase := Phase(hold.phase.Load())
	if !phase.mayGiveWay() || !hold.phase.CompareAndSwap(int32(phase), int32(evicted)) {
		return
	}
	switch phase {
	case Receiving:
		account.counts.Bodies++
	case Sending:
		account.counts.SlowReaders++
	default:
		account.counts.Connections++
	}
	account.leaving += hold.bytes
	account.evicting++
	hold.leaving = hold.bytes
	hold.giveWay(phase)
}

// release takes bytes of a hold out of the account. The mutex must be held.
func (account *Account) release(hold *Hold, bytes int64) {
	hold.bytes -= bytes
	account.bytes -= bytes
	left := min(hold.leaving, bytes)
	hold.leaving -= left
	account.leaving -= left
	account.wake()
}

// wake lets those that wait for room look again. The mutex must be held.
func (account *Account) wake() {
	if account.waiting == 0 {
		return
	}
	close(account.released)
	account.released = make(chan struct{})
}

// State is what an Account shows of itself.
type State struct {
	Limits      Limits
	Bytes       int64
	Connections int
	Working     int // requests that need a connection to a server
	Counts      Counts
}

// State returns the present state.
func (account *Account) State() State {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return State{Limits: account.limits, Bytes: account.bytes, Connections: len(account.holds), Working: account.working, Counts: account.counts}
}
