// Package throttle keeps what a server gets within the limit that it has named: the requests
// a second that it takes from all daemons together. It answers this load: a server in need
// asks for less, while requests go on to come at all daemons. It does no I/O and reads no
// clock.
//
// Daemons part a limit without asking each other. They tell each other of limits, and agree
// by the hash of server and daemon on a few of them, so that a request at once from each of
// these is within what the site tolerates. Each takes an equal part of the rate, in a bucket
// that holds one request; the others send that server nothing.
package throttle

import (
	"maps"

	"teaselmoor/internal/base/clock"
)

// ServerLimit is what a server said last of its limit, as daemons tell each other. Of two words on
// one process of a server the one with the higher number counts, of the same number the
// lower limit.
type ServerLimit struct {
	Server    string
	StartedAt int64 // start of the server's process, 0 where it is not known
	Number    int64 // rises with each change
	Limited   bool
	Rate      float64 // requests a second
}

// after reports whether a word replaces another one on the same server.
func (serverLimit ServerLimit) after(other ServerLimit) bool {
	switch {
	case serverLimit.StartedAt != other.StartedAt:
		return serverLimit.StartedAt > other.StartedAt
	case serverLimit.Number != other.Number:
		return serverLimit.Number > other.Number
	default:
		return serverLimit.Limited && (!other.Limited || serverLimit.Rate < other.Rate)
	}
}

// entry is the last word on a server, and this daemon's part of its limit.
type entry struct {
	word   ServerLimit
	at     clock.Millis // when this daemon came to know the word
	change int64        // of the limits, by which it did
	part   part
}

// Limits are the limits of servers, as one daemon keeps them.
type Limits struct {
	self    string
	daemons []string          // of the site, self included
	entries map[string]*entry // by server
	limited int               // servers that have a limit
	changes int64
}

// New returns the limits of a daemon that knows no other and no limit yet.
func New(self string) *Limits {
	return &Limits{self: self, daemons: []string{self}, entries: make(map[string]*entry)}
}

// ApplyResponse notes what an answer of a server said of its limit; its number is left open. An
// answer to a request from before the limit was known does not lift it: answers overtake
// each other. It reports whether that is news.
func (limits *Limits) ApplyResponse(now, sentAt clock.Millis, word ServerLimit) bool {
	known := limits.of(word.Server)
	switch {
	case word.StartedAt < known.word.StartedAt:
		return false
	case word.StartedAt > known.word.StartedAt: // nothing of before holds
		if !word.Limited && !known.word.Limited {
			return false
		}
	case word.Limited == known.word.Limited && word.Rate == known.word.Rate:
		return false
	case !word.Limited && sentAt < known.at:
		return false
	}
	word.Number = known.word.Number + 1
	limits.take(now, word)
	return true
}

// Merge takes over what another daemon knows. It reports whether that is news.
func (limits *Limits) Merge(now clock.Millis, words []ServerLimit) bool {
	news := false
	for _, word := range words {
		if known, ok := limits.entries[word.Server]; !ok || word.after(known.word) {
			limits.take(now, word)
			news = true
		}
	}
	return news
}

// take replaces what is known of a server. A part that this daemon has of its limit is kept.
func (limits *Limits) take(now clock.Millis, word ServerLimit) {
	limits.changes++
	known, ok := limits.entries[word.Server]
	if !ok || !known.word.Limited || !word.Limited || known.word.StartedAt != word.StartedAt {
		known = &entry{}
	}
	known.word, known.at, known.change = word, now, limits.changes
	limits.entries[word.Server] = known
	limits.count()
	if word.Limited {
		limits.divide(now, known)
	}
}

// Revision rises with each change of the limits.
func (limits *Limits) Revision() int64 {
	return limits.changes
}

// ChangedSince returns the words that have changed after a change of the limits.
func (limits *Limits) ChangedSince(change int64) []ServerLimit {
	if change >= limits.changes {
		return nil
	}
	var words []ServerLimit
	for _, known := range limits.entries {
		if known.change > change {
			words = append(words, known.word)
		}
	}
	return words
}

// of returns what is known of a server; an empty entry where that is nothing.
func (limits *Limits) of(server string) *entry {
	if known, ok := limits.entries[server]; ok {
		return known
	}
	return &entry{}
}

// Limited returns how many servers have a limit.
func (limits *Limits) Limited() int {
	return limits.limited
}

func (limits *Limits) count() {
	limits.limited = 0
	for _, known := range limits.entries {
		if known.word.Limited {
			limits.limited++
		}
	}
}

// Retain forgets the servers that are not kept.
func (limits *Limits) Retain(kept func(server string) bool) {
	maps.DeleteFunc(limits.entries, func(server string, _ *entry) bool { return !kept(server) })
	limits.count()
}
