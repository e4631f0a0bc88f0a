// Package audit is the trail of what a daemon changed and what it refused.
//
// Each event is one structured line on standard output, which the platform
// collects and keeps, and one entry of a ring in memory, which the operators'
// API reads. VMs keep nothing, so the ring is a convenience and the lines are
// the record. Changes and refusals have rings of their own: a flood of refused
// requests must not push a takeover out of sight.
//
// Lines are written by Run, apart from those who add events: a collector that
// stops reading must not stop the decisions. Lines that do not fit the queue in
// between are dropped and counted.
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
	// Sequence rises by one with each event of a daemon's life.
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

// Options are the identity and limits of a trail.
type Options struct {
	Daemon ident.DaemonID
	// Changes and Refusals are the numbers of events kept in memory.
	Changes  int
	Refusals int
	// Pending is the number of lines that may wait to be written.
	Pending int
}

// Trail takes in events. Safe for concurrent use.
type Trail struct {
	options Options
	log     *slog.Logger
	lines   chan Event // to be written, in order of sequence

	mutex    sync.Mutex // guards all below
	sequence uint64
	changes  ring
	refusals ring
	// records finds the latest refusal still in the ring by request id.
	records map[string]Event
	// added is closed and replaced with each event.
	added chan struct{}
	// dropped counts the lines that did not fit the queue.
	dropped uint64
}

// New returns an empty trail. The log's handler must write every level, so that
// no setting silences the trail.
func New(options Options, log *slog.Logger) *Trail {
	return &Trail{
		options: options, log: log, lines: make(chan Event, options.Pending),
		changes: newRing(options.Changes), refusals: newRing(options.Refusals),
		records: map[string]Event{}, added: make(chan struct{}),
	}
}

// Change adds a change that a decision machine reported.
func (trail *Trail) Change(change effect.Audit) {
	trail.add(Event{
		At: change.At, Kind: change.Kind, Object: change.Object,
		Cause: change.Cause, Before: change.Before, After: change.After,
	})
}

// Refusal adds the record of a request that was not answered.
func (trail *Trail) Refusal(record outcome.Record) {
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
		trail.changes.put(event)
	} else {
		trail.putRefusal(event)
	}
	select {
	case trail.lines <- event:
	default:
		trail.dropped++
	}
	close(trail.added)
	trail.added = make(chan struct{})
}

func (trail *Trail) putRefusal(event Event) {
	pushed, full := trail.refusals.put(event)
	if full && trail.records[pushed.Object].Sequence == pushed.Sequence {
		delete(trail.records, pushed.Object)
	}
	trail.records[event.Object] = event
}

// Record finds the decision record of a refused request, the latest when the
// request id was used more than once.
func (trail *Trail) Record(request string) (outcome.Record, bool) {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	event, found := trail.records[request]
	if !found {
		return outcome.Record{}, false
	}
	return *event.Record, true
}

// Filter selects events. Zero fields select all.
type Filter struct {
	// After selects events with a higher sequence.
	After uint64
	// Since selects events from that point in time on.
	Since clock.Millis
	Kind  effect.AuditKind
	// Object selects events whose object contains the text.
	Object string
	// Limit is the largest number of events returned; the oldest go first.
	Limit int
}

func (filter Filter) matches(event Event) bool {
	return event.Sequence > filter.After && event.At >= filter.Since &&
		(filter.Kind == "" || event.Kind == filter.Kind) && strings.Contains(event.Object, filter.Object)
}

// Page is a part of the trail.
type Page struct {
	Events []Event
	// Next is the sequence to continue after.
	Next uint64
	// Missed says that events after the filter's sequence have left the rings.
	Missed bool
}

// Read returns the selected events in order.
func (trail *Trail) Read(filter Filter) Page {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	page := Page{Next: max(filter.After, trail.sequence), Events: []Event{}}
	page.Missed = trail.changes.pushedOut > filter.After || trail.refusals.pushedOut > filter.After
	for _, from := range []*ring{&trail.changes, &trail.refusals} {
		from.each(func(event Event) {
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

// Wait returns the selected events as soon as there is one, or an empty page
// when the context ends.
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
