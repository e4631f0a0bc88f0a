// Package throttle is what a daemon knows of the limits that servers have named: the
// requests a second that a server takes from all daemons together. It does no I/O and reads
// no clock.
package throttle

import (
	"maps"

	"teaselmoor/internal/base/clock"
)

// Word is what a server said last of its limit, as daemons tell each other. Of two words on
// one process of a server the one with the higher number counts, of the same number the
// lower limit.
type Word struct {
	Server  string
	Born    int64 // start of the server's process, 0 where it is not known
	Number  int64 // rises with each change
	Limited bool
	Rate    float64 // requests a second
}

// entry is the last word on a server, and when this daemon came to know it.
type entry struct {
	word Word
	at   clock.Millis
}

// Limits are the limits of servers.
type Limits struct {
	entries map[string]*entry // by server
}

// New returns limits of which none is named.
func New() *Limits {
	return &Limits{entries: make(map[string]*entry)}
}

// Heard notes what an answer of a server said of its limit; its number is left open. An
// answer to a request from before the limit was known does not lift it: answers overtake
// each other. It reports whether that is news.
func (limits *Limits) Heard(now, sentAt clock.Millis, word Word) bool {
	known := limits.of(word.Server)
	switch {
	case word.Born < known.word.Born:
		return false
	case word.Born > known.word.Born: // nothing of before holds
		if !word.Limited && !known.word.Limited {
			return false
		}
	case word.Limited == known.word.Limited && word.Rate == known.word.Rate:
		return false
	case !word.Limited && sentAt < known.at:
		return false
	}
	word.Number = known.word.Number + 1
	limits.entries[word.Server] = &entry{word: word, at: now}
	return true
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
	count := 0
	for _, known := range limits.entries {
		if known.word.Limited {
			count++
		}
	}
	return count
}

// Retain forgets the servers that are not kept.
func (limits *Limits) Retain(kept func(server string) bool) {
	maps.DeleteFunc(limits.entries, func(server string, _ *entry) bool { return !kept(server) })
}
