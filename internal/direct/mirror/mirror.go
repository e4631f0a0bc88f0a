// Package mirror keeps a copy of what the platform's store says under one
// prefix: it reads the items once, watches for changes, and starts over when the
// history that it missed is no longer available, or the store has come back from a
// copy. What the items mean is decided elsewhere.
package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// Options are the times of a mirror.
type Options struct {
	// Wait is how long a watch may stay without an answer. A watch that waits may
	// miss a change when the store drops its history; the next call shows it. A
	// change has to be in force within 2 s.
	Wait clock.Millis
	// Pause is the wait after changes, so that those close together share a call.
	Pause clock.Millis
	// Idle is how often a mirror that need not read asks whether it has to.
	Idle clock.Millis
	// CallTimeout is how long an answer may take beyond what was asked for.
	CallTimeout clock.Millis
	// CoverLimit is how long after the store last answered the daemon that reads it for
	// this one this one reads it itself.
	CoverLimit clock.Millis
	// UnheardLimit is how long that daemon may be silent: a server that leaves gets no
	// new work after 2 s, whoever was cut off when it said so.
	UnheardLimit clock.Millis
	// CoveredRetry is the time between two calls of a daemon that another one reads for,
	// while the store answers neither. A change has to be in force within 4 s.
	CoveredRetry clock.Millis
	// FirstBackoff and MostBackoff bound the wait after a failed call.
	FirstBackoff, MostBackoff clock.Millis
}

// DefaultOptions returns times that bring a change into force well within 2 s.
func DefaultOptions() Options {
	return Options{
		Wait: 1200, Pause: 900, Idle: 200, CallTimeout: 1000,
		CoverLimit: 2500, UnheardLimit: 1000, CoveredRetry: 2000,
		FirstBackoff: 100, MostBackoff: 800,
	}
}

// Sink takes what a mirror reads. Its methods are called one at a time.
type Sink interface {
	// ReplaceAll takes all items under the prefix.
	ReplaceAll(page platformapi.Page)
	// ApplyChanges takes changes in the era of what was read or known before.
	ApplyChanges(page platformapi.Page)
	// NextTurn tells whether this daemon has to read now, and what is known anyway.
	NextTurn() (reads bool, known Position)
	// RecordContact tells that a call was answered, or failed.
	RecordContact(err error)
}

// Position is what is known of the store: all changes of an era up to a revision.
type Position struct {
	Era, Revision int64
}

// Mirror reads one prefix.
type Mirror struct {
	options Options
	store   platformapi.Store
	prefix  string
	sink    Sink
	known   Position // its revision is 0 where nothing was read, or the history was lost
	gone    bool     // the history after what was read is lost: all has to be read
	failed  int      // calls in a row
}

// New returns a mirror of the items that begin with prefix.
func New(options Options, store platformapi.Store, prefix string, sink Sink) *Mirror {
	return &Mirror{options: options, store: store, prefix: prefix, sink: sink}
}

// Run reads until the context ends.
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

// step makes one reading or watch, and returns the wait before the next.
func (mirror *Mirror) step(ctx context.Context) clock.Millis {
	reads, known := mirror.sink.NextTurn()
	if !reads {
		mirror.known = Position{}
		return mirror.options.Idle
	}
	if mirror.known.Revision == 0 && !mirror.gone {
		mirror.known = known
	}
	var err error
	news := true
	if mirror.known.Revision == 0 {
		err = mirror.readAll(ctx)
	} else {
		news, err = mirror.watch(ctx)
	}
	if ctx.Err() != nil {
		return 0
	}
	mirror.sink.RecordContact(err)
	if err != nil {
		return mirror.backoff(err)
	}
	mirror.failed = 0
	if news {
		return mirror.options.Pause
	}
	return 0
}

// readAll reads page by page. Changes made meanwhile are watched for from the
// revision of the first page.
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
			return &platformapi.StoreError{Failure: platformapi.Unavailable, Err: errors.Errorf("store of era %d came back as era %d between two pages", whole.Era, more.Era)}
		}
		whole.Items = append(whole.Items, more.Items...)
	}
	mirror.known = Position{Era: whole.Era, Revision: whole.AsOf}
	mirror.gone = false
	mirror.sink.ReplaceAll(whole)
	return nil
}

func (mirror *Mirror) page(ctx context.Context, after string) (platformapi.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, mirror.options.CallTimeout.Duration())
	defer cancel()
	return mirror.store.Range(ctx, mirror.prefix, after)
}

func (mirror *Mirror) watch(ctx context.Context) (news bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, (mirror.options.Wait + mirror.options.CallTimeout).Duration())
	defer cancel()
	page, err := mirror.store.Watch(ctx, mirror.prefix, mirror.known.Revision, mirror.options.Wait)
	if err != nil {
		return false, err
	}
	if page.Era != mirror.known.Era {
		// The revision that was asked for is one of another history.
		return false, &platformapi.StoreError{Failure: platformapi.HistoryGone, Err: errors.Errorf("store of era %d came back as era %d", mirror.known.Era, page.Era)}
	}
	if len(page.Items) > 0 {
		mirror.sink.ApplyChanges(page)
	}
	mirror.known.Revision = max(mirror.known.Revision, page.AsOf)
	return len(page.Items) > 0, nil
}

// backoff doubles with each failed call, with jitter so that daemons that lost
// the store together do not come back together.
func (mirror *Mirror) backoff(err error) clock.Millis {
	var failed *platformapi.StoreError
	if errors.As(err, &failed) && failed.Failure == platformapi.HistoryGone {
		mirror.known = Position{}
		mirror.gone = true
		return 0
	}
	mirror.failed = min(mirror.failed+1, 8)
	wait := min(mirror.options.FirstBackoff<<(mirror.failed-1), mirror.options.MostBackoff)
	return wait/2 + clock.Millis(rand.Int64N(int64(wait/2)+1))
}
