// Package throttle keeps the requests sent to a server within the limit that the server has
// set: the requests a second that it accepts from all daemons together. It covers the case
// that an overloaded server asks for less while requests keep arriving at all daemons. The
// limits of client accounts are enforced by package quota. Package throttle does no I/O and
// reads no clock.
//
// Daemons share a limit without negotiating. They send each other the limits of servers, and
// the hash of server and daemon selects a few daemons, so few that a request sent by each of
// them at the same moment is within what the site tolerates. These share the rate, by the shares that
// package demand computes, each in a bucket that holds one request; the other daemons send that server
// nothing. Daemons with larger shares are selected first.
package throttle

import (
	"maps"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/demand"
)

// ServerLimit is the last known limit of a server, as daemons send it to each other. Between two
// of the same server process the one with the higher number wins; with equal numbers, the
// lower limit.
type ServerLimit struct {
	Server    string
	StartedAt int64 // start of the server's process, 0 where it is not known
	Number    int64 // increases with each change
	Limited   bool
	Rate      float64 // requests a second
}

// supersedes reports whether a limit replaces another one of the same server.
func (serverLimit ServerLimit) supersedes(other ServerLimit) bool {
	switch {
	case serverLimit.StartedAt != other.StartedAt:
		return serverLimit.StartedAt > other.StartedAt
	case serverLimit.Number != other.Number:
		return serverLimit.Number > other.Number
	default:
		return serverLimit.Limited && (!other.Limited || serverLimit.Rate < other.Rate)
	}
}

// entry is the last known limit of a server and this daemon's share of it.
type entry struct {
	limit     ServerLimit
	learnedAt clock.Millis // when this daemon learned of the limit
	revision  int64        // revision of Limits at which the entry changed last
	share     share
}

// Limits holds the limits of servers, as one daemon knows them.
type Limits struct {
	self     string
	daemons  []string          // of the site, self included
	shares   demand.Shares     // of these daemons
	entries  map[string]*entry // by server
	limited  int               // number of servers that have a limit
	revision int64
}

// New returns the limits of a daemon that knows of no other daemon and no limit yet.
func New(self string) *Limits {
	return &Limits{self: self, daemons: []string{self}, shares: demand.Equal(1), entries: make(map[string]*entry)}
}

// ApplyResponse applies the limit that a response of a server carried, and gives it a number. A
// response to a request that was sent before the limit was known does not lift it, as responses
// can overtake each other. It reports whether the limit changed.
func (limits *Limits) ApplyResponse(now, sentAt clock.Millis, limit ServerLimit) bool {
	known := limits.lookup(limit.Server)
	switch {
	case limit.StartedAt < known.limit.StartedAt:
		return false
	case limit.StartedAt > known.limit.StartedAt: // a new process: the old limit is void
		if !limit.Limited && !known.limit.Limited {
			return false
		}
	case limit.Limited == known.limit.Limited && limit.Rate == known.limit.Rate:
		return false
	case !limit.Limited && sentAt < known.learnedAt:
		return false
	}
	limit.Number = known.limit.Number + 1
	limits.replace(now, limit)
	return true
}

// Merge applies the limits that another daemon knows. It reports whether any limit changed.
func (limits *Limits) Merge(now clock.Millis, received []ServerLimit) bool {
	changed := false
	for _, limit := range received {
		if known, ok := limits.entries[limit.Server]; !ok || limit.supersedes(known.limit) {
			limits.replace(now, limit)
			changed = true
		}
	}
	return changed
}

// replace replaces the limit of a server. While the same process keeps a limit, the level of
// its bucket is kept.
func (limits *Limits) replace(now clock.Millis, limit ServerLimit) {
	limits.revision++
	known, ok := limits.entries[limit.Server]
	if !ok || !known.limit.Limited || !limit.Limited || known.limit.StartedAt != limit.StartedAt {
		known = &entry{}
	}
	known.limit, known.learnedAt, known.revision = limit, now, limits.revision
	limits.entries[limit.Server] = known
	limits.countLimited()
	if limit.Limited {
		limits.updateShare(now, known)
	}
}

// Revision returns the revision of the limits. It increases with each change.
func (limits *Limits) Revision() int64 {
	return limits.revision
}

// ChangedSince returns the limits that have changed after the given revision.
func (limits *Limits) ChangedSince(revision int64) []ServerLimit {
	if revision >= limits.revision {
		return nil
	}
	var changed []ServerLimit
	for _, known := range limits.entries {
		if known.revision > revision {
			changed = append(changed, known.limit)
		}
	}
	return changed
}

// lookup returns the entry of a server, or a new one without a limit if there is none.
func (limits *Limits) lookup(server string) *entry {
	if known, ok := limits.entries[server]; ok {
		return known
	}
	return &entry{}
}

// LimitedCount returns how many servers have a limit.
func (limits *Limits) LimitedCount() int {
	return limits.limited
}

// countLimited counts the servers that have a limit.
func (limits *Limits) countLimited() {
	limits.limited = 0
	for _, known := range limits.entries {
		if known.limit.Limited {
			limits.limited++
		}
	}
}

// Retain drops the servers for which kept is false.
func (limits *Limits) Retain(kept func(server string) bool) {
	maps.DeleteFunc(limits.entries, func(server string, _ *entry) bool { return !kept(server) })
	limits.countLimited()
}
