// Package audit records what a daemon changed and which requests it refused.
//
// Each event is written as one structured line to standard output, which the
// platform collects and keeps, and is added to a ring buffer in memory, which the
// operators' API reads. VMs store nothing, so the lines are the durable record and
// the ring buffers serve only recent events. Changes and refusals have separate
// ring buffers, so that a flood of refused requests cannot evict the changes.
//
// Lines are queued and written by Run, so that adding an event never blocks if the
// collector stops reading. Lines that do not fit in the queue are dropped and
// counted.
package audit

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
)

// Event is one audited change or refusal. Changes carry Cause, Before and After;
// refusals carry the decision record.
type Event struct {
	// Sequence increases by one with each event. It starts anew when the daemon
	// restarts.
	Sequence uint64
	At       clock.Millis
	Daemon   ident.DaemonID
	Kind     effect.AuditKind
	Object   string
	Cause    string
	Before   string          `json:",omitempty"`
	After    string          `json:",omitempty"`
	Record   *outcome.Record `json:",omitempty"`
}

// Options holds the daemon's name and the limits of a trail.
type Options struct {
	Daemon ident.DaemonID
	// Changes and Refusals are the maximum numbers of events kept in memory.
	Changes  int
	Refusals int
	// Pending is the maximum number of lines that wait to be written.
	Pending int
}

// Trail records events. It is safe for concurrent use.
type Trail struct {
	options Options
	log     *slog.Logger
	lines   chan Event // to be written, in order of sequence

	mutex    sync.Mutex // guards all below
	sequence uint64
	changes  ring
	refusals ring
	// latestRefusals holds the latest refusal of each request id in the ring.
	latestRefusals map[string]Event
	// added is closed and replaced with each event.
	added chan struct{}
	// dropped counts the lines that did not fit in the queue.
	dropped uint64
}

// New returns an empty trail. The handler of the log must write every level, so
// that no log setting suppresses the lines.
func New(options Options, log *slog.Logger) *Trail {
	return &Trail{
		options: options, log: log, lines: make(chan Event, options.Pending),
		changes: newRing(options.Changes), refusals: newRing(options.Refusals),
		latestRefusals: map[string]Event{}, added: make(chan struct{}),
	}
}

// AddChange records a change that the decision logic reported.
func (trail *Trail) AddChange(change effect.Audit) {
	trail.add(Event{
		At: change.At, Kind: change.Kind, Object: change.Object,
		Cause: change.Cause, Before: change.Before, After: change.After,
	})
}

// AddRefusal records a request that was refused or failed, with its decision record.
func (trail *Trail) AddRefusal(record outcome.Record) {
	trail.add(Event{
		At: record.At, Kind: effect.RequestRefused, Object: record.Request,
		Cause: string(record.Outcome.Reason), After: string(record.Outcome.Kind), Record: &record,
	})
}

func (trail *Trail) add(event Event) {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	trail.sequence++
	event.Sequence = trail.sequence
	event.Daemon = trail.options.Daemon
	if event.Record == nil {
		trail.changes.add(event)
	} else {
		trail.addRefusalEvent(event)
	}
	select {
	case trail.lines <- event:
	default:
		trail.dropped++
	}
	close(trail.added)
	trail.added = make(chan struct{})
}

func (trail *Trail) addRefusalEvent(event Event) {
	evicted, full := trail.refusals.add(event)
	if full && trail.latestRefusals[evicted.Object].Sequence == evicted.Sequence {
		delete(trail.latestRefusals, evicted.Object)
	}
	trail.latestRefusals[event.Object] = event
}

// FindRecord returns the decision record of a refused request that is still in
// memory: the latest one if the request id was used more than once.
func (trail *Trail) FindRecord(request string) (outcome.Record, bool) {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	event, found := trail.latestRefusals[request]
	if !found {
		return outcome.Record{}, false
	}
	return *event.Record, true
}

// Filter selects events. A zero field selects all events.
type Filter struct {
	// After selects events with a higher sequence.
	After uint64
	// Since selects events at this time or later.
	Since clock.Millis
	Kind  effect.AuditKind
	// Object selects events whose object contains the text.
	Object string
	// Limit is the maximum number of events returned. The oldest are returned first.
	Limit int
}

func (filter Filter) matches(event Event) bool {
	return event.Sequence > filter.After && event.At >= filter.Since &&
		(filter.Kind == "" || event.Kind == filter.Kind) && strings.Contains(event.Object, filter.Object)
}

// Page is the result of a read.
type Page struct {
	Events []Event
	// Next is the value of Filter.After for the next read.
	Next uint64
	// Missed is set if events after Filter.After have been evicted from memory.
	Missed bool
}

// Read returns the selected events in order of sequence.
func (trail *Trail) Read(filter Filter) Page {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	page := Page{Next: max(filter.After, trail.sequence), Events: []Event{}}
	page.Missed = trail.changes.lastEvicted > filter.After || trail.refusals.lastEvicted > filter.After
	for _, ring := range []*ring{&trail.changes, &trail.refusals} {
		ring.each(func(event Event) {
			if filter.matches(event) {
				page.Events = append(page.Events, event)
			}
		})
	}
	slices.SortFunc(page.Events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	if filter.Limit > 0 && len(page.Events) > filter.Limit {
		page.Events = page.Events[:filter.Limit]
		page.Next = page.Events[filter.Limit-1].Sequence
	}
	return page
}

// Wait returns the selected events as soon as there is at least one, or an empty
// page when the context ends.
func (trail *Trail) Wait(ctx context.Context, filter Filter) Page {
	for {
		trail.mutex.Lock()
		added := trail.added
		trail.mutex.Unlock()
		page := trail.Read(filter)
		if len(page.Events) > 0 {
			return page
		}
		filter.After = page.Next
		select {
		case <-ctx.Done():
			return page
		case <-added:
		}
	}
}
