// Package mirror keeps a copy of what the platform's store says under one
// prefix: it reads the items once, watches for changes, and starts over when the
// history that it missed is no longer available. What the items mean is decided
// elsewhere.
package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/port"
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
	// Whole takes all items under the prefix.
	Whole(items []port.Item, asOf int64)
	// Changed takes changes.
	Changed(items []port.Item, asOf int64)
	// Turn tells whether this daemon has to read now, and up to which revision
	// everything is known anyway.
	Turn() (reads bool, known int64)
	// Contact tells that a call was answered, by a store of that era, or failed.
	Contact(era int64, err error)
}

// Mirror reads one prefix.
type Mirror struct {
	options Options
	store   port.Store
	prefix  string
	sink    Sink
	asOf    int64 // 0: nothing was read, or the history was lost
	era     int64 // of the store's last answer
	gone    bool  // the history after what was read is lost: all has to be read
	failed  int   // calls in a row
}

// New returns a mirror of the items that begin with prefix.
func New(options Options, store port.Store, prefix string, sink Sink) *Mirror {
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
	reads, known := mirror.sink.Turn()
	if !reads {
		mirror.asOf = 0
		return mirror.options.Idle
	}
	if mirror.asOf == 0 && !mirror.gone {
		mirror.asOf = known
	}
	var err error
	news := true
	if mirror.asOf == 0 {
		err = mirror.readAll(ctx)
	} else {
		news, err = mirror.watch(ctx)
	}
	if ctx.Err() != nil {
		return 0
	}
	mirror.sink.Contact(mirror.era, err)
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
	var items []port.Item
	asOf := int64(0)
	after := ""
	for {
		page, err := mirror.page(ctx, after)
		if err != nil {
			return err
		}
		mirror.era = page.Era
		if asOf == 0 {
			asOf = page.AsOf
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	mirror.asOf = asOf
	mirror.gone = false
	mirror.sink.Whole(items, asOf)
	return nil
}

func (mirror *Mirror) page(ctx context.Context, after string) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, mirror.options.CallTimeout.Duration())
	defer cancel()
	return mirror.store.Range(ctx, mirror.prefix, after)
}

func (mirror *Mirror) watch(ctx context.Context) (news bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, (mirror.options.Wait + mirror.options.CallTimeout).Duration())
	defer cancel()
	page, err := mirror.store.Watch(ctx, mirror.prefix, mirror.asOf, mirror.options.Wait)
	if err != nil {
		return false, err
	}
	mirror.era = page.Era
	if len(page.Items) > 0 {
		mirror.sink.Changed(page.Items, page.AsOf)
	}
	mirror.asOf = max(mirror.asOf, page.AsOf)
	return len(page.Items) > 0, nil
}

// backoff doubles with each failed call, with jitter so that daemons that lost
// the store together do not come back together.
func (mirror *Mirror) backoff(err error) clock.Millis {
	var failed *port.StoreError
	if errors.As(err, &failed) && failed.Failure == port.HistoryIsGone {
		mirror.asOf = 0
		mirror.gone = true
		return 0
	}
	mirror.failed = min(mirror.failed+1, 8)
	wait := min(mirror.options.FirstBackoff<<(mirror.failed-1), mirror.options.MostBackoff)
	return wait/2 + clock.Millis(rand.Int64N(int64(wait/2)+1))
}
