// Package intake bounds how many requests a daemon works on at once, so that a crowd that comes at one moment is served as far as the
// daemon's processors allow, and the rest refused at once. It is about the daemon's own work only: what servers can take is not its
// concern.
//
// A request needs a place from when it has been read until it has been sent on. There are just enough places to keep the processors busy:
// with more, all requests would share the processors, and all would be late. Requests without a place wait, the more urgent and then
// the earlier ones first. How fast places become free while requests wait is what the daemon can do, whatever it runs on. From this rate
// follows which of the waiting requests cannot be sent in time; they are refused as soon as that is known.
package intake

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
)

// Options are the limits of an Intake.
type Options struct {
	// Places is the number of requests that have a place at a time, for each processor. It covers the time in which some of them
	// open a connection.
	Places int
	// Readers is the number of requests that are read in a batch, for each processor.
	Readers int
	// ReadPause and MaxReadPause bound the pause between two batches.
	ReadPause, MaxReadPause clock.Millis
	// HoldLimit is the longest time that a request keeps its place. One that takes longer waits for something else than a processor,
	// such as a server that does not accept its connection.
	HoldLimit clock.Millis
	// RateWindow is the time over which the rate of places is measured.
	RateWindow clock.Millis
	// RateMemory is the share of the highest rate that is kept with each further window. As requests are also read while others wait, a
	// single window may be far below what the daemon can do.
	RateMemory float64
}

// DefaultOptions returns limits for requests that take a fraction of a millisecond of a processor.
func DefaultOptions() Options {
	return Options{Places: 32, Readers: 16, ReadPause: 1, MaxReadPause: 10, HoldLimit: 100, RateWindow: 50, RateMemory: 0.9}
}

// Check reports the first option that is invalid.
func (options Options) Check() error {
	switch {
	case options.Places <= 0 || options.Readers <= 0:
		return errors.New("Intake.Places and Intake.Readers must be above 0")
	case options.ReadPause <= 0 || options.MaxReadPause < options.ReadPause:
		return errors.New("Intake.ReadPause must be above 0, and Intake.MaxReadPause at least as long")
	case options.HoldLimit <= 0 || options.RateWindow <= 0:
		return errors.New("Intake.HoldLimit and Intake.RateWindow must be above 0")
	case !(options.RateMemory > 0 && options.RateMemory < 1):
		return errors.Errorf("Intake.RateMemory is %g, and must be above 0 and below 1", options.RateMemory)
	}
	return nil
}

// Request is a request to be taken in.
type Request struct {
	Rank   int          // 0 is the most urgent
	Latest clock.Millis // from which on it could not be answered in time
	Waited bool         // it has waited in its socket, as the daemon has more to read than it can, or stood still
}

// CrowdedError is returned for a request that cannot be sent in time.
type CrowdedError struct {
	Waiting int     // requests that wait
	Rate    float64 // places that become free in a second; 0: unknown
}

// Error implements error.
func (crowded *CrowdedError) Error() string {
	return "more requests wait than can be sent in time"
}

// waiter is a request that waits for a place.
type waiter struct {
	Request
	decided chan bool // receives whether it has a place
}

// Intake hands out places. The zero value is not usable; use New.
type Intake struct {
	options Options
	places  int
	now     clock.Source

	mutex   sync.Mutex // guards the fields below
	taken   int
	waiting []*waiter // by rank, then arrival
	rate    rate
	crowded int64 // requests refused
}

// New returns an Intake for a number of processors.
func New(options Options, processors int, now clock.Source) *Intake {
	return &Intake{options: options, places: options.Places * max(1, processors), now: now}
}

// Enter waits for a place. It returns a *CrowdedError if the request cannot be sent in time, or the error of the context if that ends
// before. The caller must call Release.
func (intake *Intake) Enter(ctx context.Context, request Request) (*Place, error) {
	added, err := intake.add(request)
	if err != nil {
		return nil, err
	}
	if added == nil {
		return intake.newPlace(), nil
	}
	select {
	case ok := <-added.decided:
		return intake.decided(ok)
	case <-ctx.Done():
	}
	if intake.remove(added) {
		return nil, errors.Wrap(ctx.Err(), "wait for a place")
	}
	return intake.decided(<-added.decided)
}

// add takes a place for a request or adds the request to those that wait. It returns nil if the request has a place.
func (intake *Intake) add(request Request) (*waiter, error) {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	now := intake.now()
	if intake.tooLateUnread(now, request) {
		intake.crowded++
		return nil, intake.crowdedError()
	}
	if intake.taken < intake.places && len(intake.waiting) == 0 {
		intake.taken++
		return nil, nil
	}
	if len(intake.waiting) == 0 {
		intake.rate.begin(now)
	}
	added := &waiter{Request: request, decided: make(chan bool, 1)}
	at := intake.position(request)
	if intake.tooLate(now, at, request) {
		intake.crowded++
		return nil, intake.crowdedError()
	}
	intake.waiting = slices.Insert(intake.waiting, at, added)
	return added, nil
}

// Congested reports whether most places are taken.
func (intake *Intake) Congested() bool {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	return 2*intake.taken >= intake.places
}

// tooLateUnread reports whether a request cannot be answered in time as it was read late. One that comes with little time is sent at once if
// there is a place.
func (intake *Intake) tooLateUnread(now clock.Millis, request Request) bool {
	return request.Waited && now >= request.Latest
}

// TooLate reports whether a request that came now could not be sent in time.
func (intake *Intake) TooLate(request Request) bool {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	now := intake.now()
	if len(intake.waiting) == 0 {
		return intake.tooLateUnread(now, request)
	}
	return intake.tooLate(now, intake.position(request), request)
}

// Crowd returns the error for a request that is refused by TooLate, and counts it.
func (intake *Intake) Crowd() *CrowdedError {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	intake.crowded++
	return intake.crowdedError()
}

// position returns the place of a request among those that wait: behind its equals. The mutex must be held.
func (intake *Intake) position(request Request) int {
	at, _ := slices.BinarySearchFunc(intake.waiting, request, func(other *waiter, request Request) int {
		return cmp.Or(cmp.Compare(other.Rank, request.Rank), -1)
	})
	return at
}

// tooLate reports whether a request with a number of others before it cannot be sent in time. The mutex must be held.
func (intake *Intake) tooLate(now clock.Millis, ahead int, request Request) bool {
	wait := clock.Millis(0)
	if intake.rate.perSecond > 0 {
		wait = clock.Millis(1000 * float64(ahead) / intake.rate.perSecond)
	}
	return now+wait >= request.Latest
}

func (intake *Intake) crowdedError() *CrowdedError {
	return &CrowdedError{Waiting: len(intake.waiting), Rate: intake.rate.perSecond}
}

// decided returns the place of a request, or the error for one that was refused.
func (intake *Intake) decided(ok bool) (*Place, error) {
	if ok {
		return intake.newPlace(), nil
	}
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	return nil, intake.crowdedError()
}

// remove removes a request that no longer waits for a place. It returns false if the request was decided on before.
func (intake *Intake) remove(removed *waiter) bool {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	at := slices.Index(intake.waiting, removed)
	if at < 0 {
		return false
	}
	intake.waiting = slices.Delete(intake.waiting, at, at+1)
	return true
}

// release makes a place free, and hands it to the first request that waits and can be sent in time.
func (intake *Intake) release() {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	intake.taken--
	if len(intake.waiting) == 0 {
		return
	}
	now := intake.now()
	if intake.rate.count(now, intake.options, intake.places) {
		intake.refuseLate(now)
	}
	for len(intake.waiting) > 0 && intake.taken < intake.places {
		first := intake.waiting[0]
		intake.waiting = intake.waiting[1:]
		if now >= first.Latest {
			intake.crowded++
			first.decided <- false
			continue
		}
		intake.taken++
		first.decided <- true
	}
}

// refuseLate refuses the waiting requests that cannot be sent in time. The mutex must be held.
func (intake *Intake) refuseLate(now clock.Millis) {
	kept := intake.waiting[:0]
	for _, each := range intake.waiting {
		if intake.tooLate(now, len(kept), each.Request) {
			intake.crowded++
			each.decided <- false
			continue
		}
		kept = append(kept, each)
	}
	clear(intake.waiting[len(kept):])
	intake.waiting = kept
}

// State is what an Intake shows of itself.
type State struct {
	Taken, Waiting int
	Rate           float64 // places that became free in a second while requests waited; 0: none has waited
	Crowded        int64   // requests refused so far
}

// State returns the present state.
func (intake *Intake) State() State {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	return State{Taken: intake.taken, Waiting: len(intake.waiting), Rate: intake.rate.perSecond, Crowded: intake.crowded}
}

// Place is a request's place. A nil Place is none.
type Place struct {
	intake  *Intake
	release sync.Once
	limit   *time.Timer
}

// newPlace returns a place that is counted as taken already.
func (intake *Intake) newPlace() *Place {
	place := &Place{intake: intake}
	place.limit = time.AfterFunc(intake.options.HoldLimit.Duration(), place.free)
	return place
}

// Release makes the place free. Further calls have no effect.
func (place *Place) Release() {
	if place == nil {
		return
	}
	place.limit.Stop()
	place.free()
}

func (place *Place) free() {
	place.release.Do(place.intake.release)
}
