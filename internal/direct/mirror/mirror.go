// Package mirror replicates the items of the platform's store under one prefix: it reads
// them all once and then watches for changes. It reads them all again if the store no longer
// has the history since the last read, or was restored from a backup, which starts a new
// era. The package does not interpret the items.
package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// Options holds the timing parameters of a mirror.
type Options struct {
	// Wait is how long the store may hold a watch call if nothing changes. A watch may
	// miss a change if the store drops its history meanwhile, which only the next call
	// shows, and a change must take effect within 2 s.
	Wait clock.Millis
	// Pause is the wait after a change, so that changes close together share a call.
	Pause clock.Millis
	// Idle is the interval at which a mirror that does not read the store asks its Sink
	// whether it must.
	Idle clock.Millis
	// CallTimeout is the time-out of a call; a watch call gets Wait in addition.
	CallTimeout clock.Millis
	// CoverLimit is how long ago the store may have answered the daemon that reads it for
	// this one. Beyond it, this daemon reads the store itself.
	CoverLimit clock.Millis
	// UnheardLimit is how long that daemon may send no store updates. Beyond it, this daemon
	// reads the store itself. A leaving server then gets no new requests after 2 s, whichever
	// daemon was disconnected when the server announced that it leaves.
	UnheardLimit clock.Millis
	// CoveredRetry is the interval between calls of a daemon that another one reads for,
	// while the store answers neither of them. A change must then take effect within 4 s.
	CoveredRetry clock.Millis
	// FirstBackoff is the wait after the first failed call, and MostBackoff the longest
	// wait. Both are shortened at random by up to half.
	FirstBackoff, MostBackoff clock.Millis
}

// DefaultOptions returns options with which a change takes effect well within 2 s.
func DefaultOptions() Options {
	return Options{
		Wait: 1200, Pause: 900, Idle: 200, CallTimeout: 1000,
		CoverLimit: 2500, UnheardLimit: 1000, CoveredRetry: 2000,
		FirstBackoff: 100, MostBackoff: 800,
	}
}

// Sink receives what a mirror reads. Its methods are not called concurrently.
type Sink interface {
	// ReplaceAll receives all items under the prefix.
	ReplaceAll(page platformapi.Page)
	// ApplyChanges receives changes since the last position, in the same era.
	ApplyChanges(page platformapi.Page)
	// NextTurn is called before each call to the store. It reports whether this daemon must read the store
	// now, and up to which position it has the store's data already.
	NextTurn() (reads bool, position Position)
	// RecordContact receives the result of each call, before what it has read: nil if the store answered it.
	RecordContact(err error)
}

// Position is a position in the history of the store: all changes of Era up to Revision are
// known.
type Position struct {
	Era, Revision int64
}

// Mirror replicates the items under one prefix.
type Mirror struct {
	options     Options
	store       platformapi.Store
	prefix      string
	sink        Sink
	position    Position // up to which the sink has all changes; with revision 0 it is taken from the sink, unless historyLost
	historyLost bool     // the store no longer has the history since the last read: all items must be read
	failedCalls int      // consecutive failed calls, limited to 8
}

// New returns a mirror of the items that begin with prefix.
func New(options Options, store platformapi.Store, prefix string, sink Sink) *Mirror {
	return &Mirror{options: options, store: store, prefix: prefix, sink: sink}
}

// Run replicates until the context is cancelled.
func (mirror *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := mirror.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
	return nil
}

// step reads all items or makes one watch call, if the sink requires it, and returns the wait
// before the next step.
func (mirror *Mirror) step(ctx context.Context) clock.Millis {
	reads, position := mirror.sink.NextTurn()
	if !reads {
		mirror.position = Position{}
		return mirror.options.Idle
	}
	if mirror.position.Revision == 0 && !mirror.historyLost {
		mirror.position = position
	}
	var err error
	changed := true
	if mirror.position.Revision == 0 {
		err = mirror.readAll(ctx)
	} else {
		changed, err = mirror.watch(ctx)
	}
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		mirror.sink.RecordContact(err)
		return mirror.backoff(err)
	}
	mirror.failedCalls = 0
	if changed {
		return mirror.options.Pause
	}
	return 0
}

// readAll reads all items page by page. The next watch starts at the revision of the first
// page, so that it returns changes made during the read.
func (mirror *Mirror) readAll(ctx context.Context) error {
	whole, err := mirror.page(ctx, "")
	if err != nil {
		return err
	}
	for more := whole; more.More && len(more.Items) > 0; {
		if more, err = mirror.page(ctx, more.Items[len(more.Items)-1].Key); err != nil {
			return err
		}
		if more.Era != whole.Era {
			return &platformapi.StoreError{Failure: platformapi.Unavailable, Err: errors.Errorf("store era changed from %d to %d between two pages", whole.Era, more.Era)}
		}
		whole.Items = append(whole.Items, more.Items...)
	}
	mirror.position = Position{Era: whole.Era, Revision: whole.AsOf}
	mirror.historyLost = false
	mirror.sink.RecordContact(nil)
	mirror.sink.ReplaceAll(whole)
	return nil
}

// page reads the page of items after a key.
func (mirror *Mirror) page(ctx context.Context, after string) (platformapi.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, mirror.options.CallTimeout.Duration())
	defer cancel()
	return mirror.store.Range(ctx, mirror.prefix, after)
}

// watch makes one watch call, and reports whether it returned changes. After a failed call the store must answer at once: otherwise a store that
// has nothing to say would seem to be away for as long as the watch waits.
func (mirror *Mirror) watch(ctx context.Context) (changed bool, err error) {
	wait := mirror.options.Wait
	if mirror.failedCalls > 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + mirror.options.CallTimeout).Duration())
	defer cancel()
	page, err := mirror.store.Watch(ctx, mirror.prefix, mirror.position.Revision, wait)
	if err != nil {
		return false, err
	}
	if page.Era != mirror.position.Era {
		// The requested revision belongs to the history of another era.
		return false, &platformapi.StoreError{Failure: platformapi.HistoryGone, Err: errors.Errorf("store era changed from %d to %d", mirror.position.Era, page.Era)}
	}
	mirror.sink.RecordContact(nil)
	if len(page.Items) > 0 {
		mirror.sink.ApplyChanges(page)
	}
	mirror.position.Revision = max(mirror.position.Revision, page.AsOf)
	return len(page.Items) > 0, nil
}

// backoff returns the wait after a failed call. The wait doubles with each failure in a row, up
// to MostBackoff, and is randomized so that daemons that lost the store together do not retry
// together. After a loss of history it returns 0, as all items must be read. They are also read after an
// answer that was too large to arrive, as the next one to the same call would be larger.
func (mirror *Mirror) backoff(err error) clock.Millis {
	var failed *platformapi.StoreError
	if errors.As(err, &failed) && (failed.Failure == platformapi.HistoryGone || failed.Failure == platformapi.AnswerCutOff) {
		mirror.position = Position{}
		mirror.historyLost = true
		if failed.Failure == platformapi.HistoryGone {
			return 0
		}
	}
	mirror.failedCalls = min(mirror.failedCalls+1, 8)
	wait := min(mirror.options.FirstBackoff<<(mirror.failedCalls-1), mirror.options.MostBackoff)
	return wait/2 + clock.Millis(rand.Int64N(int64(wait/2)+1))
}
