package footprint

import (
	"sync/atomic"

	"teaselmoor/internal/base/clock"
)

// Phase is what a connection is at.
type Phase int32

// Phases of a connection. Only while it works does a connection not give way.
const (
	Waiting   Phase = iota // for a request, or for the rest of its head
	Receiving              // the body of a request
	Working                // on a request that has come whole
	Sending                // an answer, and the caller may not read it
	evicted
)

func (phase Phase) mayGiveWay() bool {
	return phase != Working && phase != evicted
}

// Hold is what one connection makes the daemon hold. Its methods may be called by several goroutines.
type Hold struct {
	account *Account
	giveWay func(Phase)

	phase  atomic.Int32
	marked atomic.Int64 // when the hold last made progress, or went on to another phase
	fresh  atomic.Int64 // bytes since then

	// Guarded by the mutex of the account.
	bytes   int64
	leaving int64 // part of bytes that counts as released soon
	head    int64 // part of bytes that is for the head of a request
	working bool
	closed  bool
}

// Enter goes on to a phase, and returns the one before. It returns false if the hold has given way, which it does for good.
func (hold *Hold) Enter(phase Phase) (Phase, bool) {
	for {
		before := hold.phase.Load()
		if Phase(before) == evicted {
			return evicted, false
		}
		if hold.phase.CompareAndSwap(before, int32(phase)) {
			hold.mark()
			return Phase(before), true
		}
	}
}

func (hold *Hold) mark() {
	hold.marked.Store(int64(hold.account.now()))
	hold.fresh.Store(0)
}

// Progress records bytes that have come or have been sent.
func (hold *Hold) Progress(size int) {
	if hold.fresh.Add(int64(size)) >= hold.account.options.Quantum {
		hold.mark()
	}
}

// IsWaiting reports whether the connection waits for a request, or for the rest of its head.
func (hold *Hold) IsWaiting() bool {
	return Phase(hold.phase.Load()) == Waiting
}

// Evicted reports whether the hold has given way.
func (hold *Hold) Evicted() bool {
	return Phase(hold.phase.Load()) == evicted
}

// stalled reports whether the hold has made no progress for a while, and may give way.
func (hold *Hold) stalled(now clock.Millis) bool {
	phase := Phase(hold.phase.Load())
	limit := hold.account.options.StallTime
	if phase == Sending {
		limit = hold.account.options.WriteStallTime
	}
	return phase.mayGiveWay() && now-clock.Millis(hold.marked.Load()) >= limit
}

// before reports whether the hold gives way before another one. If descriptors are lacking, those that wait for a request go first, as
// nobody misses anything.
func (hold *Hold) before(other *Hold, forDescriptors bool) bool {
	waits, otherWaits := Phase(hold.phase.Load()) == Waiting, Phase(other.phase.Load()) == Waiting
	switch {
	case forDescriptors && waits != otherWaits:
		return waits
	case hold.bytes != other.bytes:
		return hold.bytes > other.bytes
	}
	return hold.marked.Load() < other.marked.Load()
}

// GrowBody adds bytes of a body, of which the given number has come before, and reports whether there was room. One body of the largest
// size that is allowed always fits beside connections and heads.
func (hold *Hold) GrowBody(bytes, before, largest int64) bool {
	limits := hold.account.limits
	limit := limits.Bytes
	if before+bytes > hold.account.options.SmallBody {
		limit = min(limits.Bytes, max(limits.LargeBytes, largest))
	}
	return hold.account.take(hold, need{bytes: bytes, limit: limit})
}

// GrowHead adds bytes of the head of a request, which are released by EndHead.
func (hold *Hold) GrowHead(bytes int64) bool {
	if !hold.account.take(hold, need{bytes: bytes, limit: hold.account.limits.Bytes}) {
		return false
	}
	hold.account.mutex.Lock()
	defer hold.account.mutex.Unlock()
	hold.head += bytes
	return true
}

// GrowAnswer adds bytes of an answer that is kept, if there is room as things are: an answer need not be kept.
func (hold *Hold) GrowAnswer(bytes int64) bool {
	return hold.account.take(hold, need{bytes: bytes, limit: hold.account.limits.LargeBytes, keepsOthers: true})
}

// Release takes bytes of a body or an answer out of the account.
func (hold *Hold) Release(bytes int64) {
	if bytes == 0 {
		return
	}
	hold.account.mutex.Lock()
	defer hold.account.mutex.Unlock()
	if !hold.closed {
		hold.account.release(hold, bytes)
	}
}

// BeginWork takes a descriptor for the connection to a server that the present request will need, and reports whether there was one.
func (hold *Hold) BeginWork() bool {
	return hold.account.take(hold, need{limit: hold.account.limits.Bytes, descriptors: 1, working: true})
}

// EndWork ends the work on a request.
func (hold *Hold) EndWork() {
	hold.account.mutex.Lock()
	defer hold.account.mutex.Unlock()
	hold.endWork()
}

// endWork ends the work on a request, if there is one. The mutex of the account must be held.
func (hold *Hold) endWork() {
	if hold.working {
		hold.working = false
		hold.account.working--
		hold.account.wake()
	}
}

// EndHead releases what the head of a request took, as the request has ended.
func (hold *Hold) EndHead() {
	hold.account.mutex.Lock()
	defer hold.account.mutex.Unlock()
	if !hold.closed && hold.head > 0 {
		hold.account.release(hold, hold.head)
		hold.head = 0
	}
}

// Close releases all that the connection held. Further calls have no effect.
func (hold *Hold) Close() {
	account := hold.account
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if hold.closed {
		return
	}
	hold.closed = true
	if Phase(hold.phase.Load()) == evicted {
		account.evicting--
	}
	delete(account.holds, hold)
	hold.endWork()
	account.release(hold, hold.bytes)
}
