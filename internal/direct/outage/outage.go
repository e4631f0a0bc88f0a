// Package outage decides whether calls of the platform's store that failed mean that the store was away, or only that this daemon was cut
// off from it. Entries of servers may expire while the store is away, and are then restored; entries that were removed while only this daemon
// could not read them are of servers that leave. The package does no I/O and reads no clock.
package outage

import "teaselmoor/internal/base/clock"

// Options are the limits of a monitor.
type Options struct {
	// MinSpan is how long calls must have failed. The platform cuts single calls while it serves others.
	MinSpan clock.Millis
	// MaxReturnLag is how long after the beginning of the last failed call the store may be taken to have returned. With it,
	// servers whose entries are not restored are dropped before this daemon counts as in touch with the store again, 3 s after its
	// return.
	MaxReturnLag clock.Millis
	// MaxContactAge is how long what a peer has told of its own calls is used.
	MaxContactAge clock.Millis
}

// DefaultOptions returns options for calls that time out after a second.
func DefaultOptions() Options {
	return Options{MinSpan: clock.Second, MaxReturnLag: 700, MaxContactAge: 4 * clock.Second}
}

// Contact is what a daemon tells its peers of its own calls to the store, as ages at the time of sending.
type Contact struct {
	Away     clock.Millis // how long its calls have failed; 0: the last one was answered
	Answered clock.Millis // since the last answer
	Back     clock.Millis // since the end of its last failure; 0: there was none
}

// witness is what a peer has told, as times of this daemon.
type witness struct {
	toldAt     clock.Millis
	away       bool
	answeredAt clock.Millis
	backAt     clock.Millis // 0: it had no failure
}

// Monitor follows the calls of one daemon.
type Monitor struct {
	options      Options
	failingSince clock.Millis // 0: the last call was answered
	failedCallAt clock.Millis // when the last failed call began
	isolated     bool         // since then there was a moment at which no peer was heard, though there are some
	answeredAt   clock.Millis // when the last call was answered; 0: none was
	backAt       clock.Millis // end of the last failure; 0: there was none
	witnesses    map[string]witness
}

// New returns the monitor of a daemon that has not called the store yet.
func New(options Options) *Monitor {
	return &Monitor{options: options, witnesses: make(map[string]witness)}
}

// Failed records that a call, which began at began, had no answer of the store.
func (monitor *Monitor) Failed(now, began clock.Millis) {
	if monitor.failingSince == 0 {
		monitor.failingSince = now
	}
	monitor.failedCallAt = began
}

// FailingSince returns since when calls have failed, or 0 if the last one was answered.
func (monitor *Monitor) FailingSince() clock.Millis {
	return monitor.failingSince
}

// RecordSilence records that no peer is heard at present, though there are some.
func (monitor *Monitor) RecordSilence() {
	if monitor.failingSince > 0 {
		monitor.isolated = true
	}
}

// Answered records a call that the store has answered. It reports whether an outage of the store has ended, and when: at the latest
// MaxReturnLag after the last failed call began, as the store may have returned at any moment since then.
func (monitor *Monitor) Answered(now clock.Millis) (returnedAt clock.Millis, wasAway bool) {
	monitor.answeredAt = now
	since := monitor.failingSince
	if since == 0 {
		return 0, false
	}
	isolated := monitor.isolated
	monitor.failingSince, monitor.isolated, monitor.backAt = 0, false, now
	wasAway = now-since >= monitor.options.MinSpan && !isolated && !monitor.servedPeer(now, since)
	return min(now, monitor.failedCallAt+monitor.options.MaxReturnLag), wasAway
}

// servedPeer reports whether the store has answered a peer all the time since a moment.
func (monitor *Monitor) servedPeer(now, since clock.Millis) bool {
	for name, witness := range monitor.witnesses {
		if now-witness.toldAt > monitor.options.MaxContactAge {
			delete(monitor.witnesses, name)
			continue
		}
		if !witness.away && witness.answeredAt > since && witness.backAt <= since {
			return true
		}
	}
	return false
}

// Own returns what peers are told.
func (monitor *Monitor) Own(now clock.Millis) Contact {
	contact := Contact{Answered: now - monitor.answeredAt}
	if monitor.failingSince > 0 {
		contact.Away = max(1, now-monitor.failingSince)
	}
	if monitor.backAt > 0 {
		contact.Back = max(1, now-monitor.backAt)
	}
	return contact
}

// Told records what a peer has told.
func (monitor *Monitor) Told(now clock.Millis, peer string, contact Contact) {
	told := witness{toldAt: now, away: contact.Away > 0, answeredAt: now - contact.Answered}
	if contact.Back > 0 {
		told.backAt = now - contact.Back
	}
	monitor.witnesses[peer] = told
}
