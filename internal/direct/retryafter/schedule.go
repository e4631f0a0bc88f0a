// Package retryafter computes when refused callers should retry, so that those who are refused
// together do not return together and are not refused again. It does no I/O and reads no clock.
//
// A Schedule keeps, by key, the units that this daemon has promised to callers whom it refused. A
// promise is not a claim on the units: whoever asks first gets them. Promises are in memory only, and
// other daemons do not know of them.
package retryafter

import (
	"container/list"
	"math"

	"teaselmoor/internal/base/clock"
)

// Bounds of the times that callers are told. The upper one is short enough for callers to notice that
// the cause of their refusal has gone.
const (
	MinWait = 100 * clock.Millisecond
	MaxWait = 5 * clock.Second
)

// Options bound the memory of a Schedule.
type Options struct {
	Keys          int // with promises; those without a recent one are dropped first
	Promises      int // of all keys
	PromisesByKey int // further ones are added to the latest promise of the same rank
}

// DefaultOptions returns bounds that keep a Schedule below 2 MB, and a promise below 1 us.
func DefaultOptions() Options {
	return Options{Keys: 10_000, Promises: 15_000, PromisesByKey: 32}
}

// Refusal is a refused request.
type Refusal struct {
	Rank  int // 0 is the most urgent
	Units float64
	// Class tells callers of a rank apart: a refusal of the same class within the time of a
	// promise is taken for the same caller, who has not waited. With 0 it never is.
	Class   uint64
	Lacking float64 // units that must be added before the request is admitted; it may exceed Units
	Rate    float64 // units a second that are added for all daemons counted together
	Share   float64 // part of Rate that this daemon's callers use
	Spread  uint64  // differs between callers
	// Longest bounds the time that the caller is told to wait; 0: MaxWait.
	Longest clock.Millis
}

// promise is a time at which a refused caller was told to return.
type promise struct {
	at    clock.Millis
	units float64
	rank  int
	class uint64
}

// keyPromises holds the promises of a key.
type keyPromises struct {
	key      string
	lastAt   clock.Millis // the latest time of a promise
	promises []promise
}

// Schedule holds the promises of a daemon. The zero value is not usable; use New.
type Schedule struct {
	options  Options
	byKey    map[string]*list.Element // of *keyPromises
	order    *list.List               // the key with the oldest last promise first
	promises int                      // of all keys
}

// New returns an empty schedule.
func New(options Options) *Schedule {
	return &Schedule{options: options, byKey: make(map[string]*list.Element), order: list.New()}
}

// Promise returns the time that a refused caller should wait, and the units promised before to
// callers of its rank and of more urgent ones. It records the promise.
func (schedule *Schedule) Promise(now clock.Millis, key string, refusal Refusal) (wait clock.Millis, promised float64) {
	schedule.dropExpired(now)
	known := schedule.entry(key)
	kept := known.promises[:0]
	for _, each := range known.promises {
		if each.at <= now {
			continue
		}
		kept = append(kept, each)
		if refusal.Class != 0 && each.class == refusal.Class && each.rank == refusal.Rank {
			wait = max(MinWait, each.at-now)
		} else if each.rank <= refusal.Rank {
			promised += each.units
		}
	}
	schedule.promises += len(kept) - len(known.promises)
	known.promises = kept
	if wait > 0 {
		return wait, promised
	}
	longest := MaxWait
	if refusal.Longest > 0 {
		longest = min(longest, refusal.Longest)
	}
	wait = Spread(refusal.expected(promised), refusal.Spread, MinWait, longest)
	schedule.add(known, promise{at: now + wait, units: refusal.Units, rank: refusal.Rank, class: refusal.Class})
	return wait, promised
}

// expected returns the time until the units of a refused request can be there. What an account is
// overdrawn, and what a reserve lacks, is refilled at the rate of all daemons. The units of the
// request itself and those promised before it come to this daemon at its part of the rate, as the
// other daemons' callers wait for units too.
func (refusal Refusal) expected(promised float64) clock.Millis {
	if refusal.Rate <= 0 || refusal.Share <= 0 {
		return MaxWait
	}
	own := min(refusal.Units, refusal.Lacking)
	seconds := (refusal.Lacking-own)/refusal.Rate + (own+promised)/(refusal.Rate*refusal.Share)
	return clock.Millis(math.Ceil(min(seconds, MaxWait.Seconds()) * float64(clock.Second)))
}

// spreadShare is the part of a time by which callers are spread: 10% to either side of a time that is
// 10% longer, so that none is told to return before what it waits for is expected.
const spreadShare = 0.2

// Spread returns a time between expected and 1.2 times as long, which depends on the caller's hash,
// within bounds. Times at the upper bound are spread below it: they are too short in any case, and
// callers who are refused together would return together.
func Spread(expected clock.Millis, hash uint64, shortest, longest clock.Millis) clock.Millis {
	part := float64(hash>>11) / (1 << 53)
	if expected >= longest {
		return max(shortest, clock.Millis(float64(longest)*(1-spreadShare*part)))
	}
	spread := clock.Millis(math.Ceil(float64(expected) * (1 + spreadShare*part)))
	return min(max(shortest, spread), longest)
}

// entry returns the promises of a key, and moves the key to the end of the order.
func (schedule *Schedule) entry(key string) *keyPromises {
	element, ok := schedule.byKey[key]
	if !ok {
		known := &keyPromises{key: key}
		schedule.byKey[key] = schedule.order.PushBack(known)
		return known
	}
	schedule.order.MoveToBack(element)
	return element.Value.(*keyPromises)
}

// add records a promise, and keeps the bounds.
func (schedule *Schedule) add(known *keyPromises, added promise) {
	known.lastAt = max(known.lastAt, added.at)
	if len(known.promises) >= schedule.options.PromisesByKey {
		known.merge(added)
		return
	}
	known.promises = append(known.promises, added)
	schedule.promises++
	for schedule.order.Len() > 1 && (schedule.order.Len() > schedule.options.Keys || schedule.promises > schedule.options.Promises) {
		schedule.drop(schedule.order.Front())
	}
}

// merge adds a promise to the latest one of its rank, or else of all.
func (keyPromises *keyPromises) merge(added promise) {
	latest, ofRank := 0, false
	for i, each := range keyPromises.promises {
		same := each.rank == added.rank
		if same && !ofRank || same == ofRank && each.at > keyPromises.promises[latest].at {
			latest, ofRank = i, same
		}
	}
	keyPromises.promises[latest].units += added.units
}

// dropExpired drops the keys with the oldest promises if all their times have come.
func (schedule *Schedule) dropExpired(now clock.Millis) {
	for element := schedule.order.Front(); element != nil && element.Value.(*keyPromises).lastAt <= now; element = schedule.order.Front() {
		schedule.drop(element)
	}
}

func (schedule *Schedule) drop(element *list.Element) {
	known := element.Value.(*keyPromises)
	schedule.promises -= len(known.promises)
	delete(schedule.byKey, known.key)
	schedule.order.Remove(element)
}

// Keys returns the number of keys with promises.
func (schedule *Schedule) Keys() int {
	return schedule.order.Len()
}
