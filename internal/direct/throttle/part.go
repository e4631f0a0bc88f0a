package throttle

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
)

// spareDaemons is how many daemons beyond a server's limit in a second have a part of it.
// All of them may send one request at once, which the site tolerates besides the limit.
const spareDaemons = 4

// leastRate is what is sent to a server that names no requests at all, in requests a
// second: without any answer nobody would learn that it takes requests again.
const leastRate = 0.1

// part is a daemon's part of a server's limit: a bucket that holds one request.
type part struct {
	rate   float64 // requests a second; 0: none
	filled float64 // 0 to 1
	at     clock.Millis
}

// fill adds what has come in until now.
func (part *part) fill(now clock.Millis) {
	part.filled = min(1, part.filled+part.rate*(now-part.at).Seconds())
	part.at = now
}

// SetDaemons takes over which daemons there are.
func (limits *Limits) SetDaemons(now clock.Millis, daemons []string) {
	if slices.Equal(daemons, limits.daemons) {
		return
	}
	limits.daemons = daemons
	for _, known := range limits.entries {
		if known.word.Limited {
			limits.divide(now, known)
		}
	}
}

// divide finds this daemon's part of a limit. Parts begin to fill at different levels, so
// that daemons which learn of a limit together do not send together.
func (limits *Limits) divide(now clock.Millis, known *entry) {
	rate := max(leastRate, known.word.Rate)
	sharers := min(len(limits.daemons), int(rate)+spareDaemons)
	place := limits.place(known.word.Server)
	if known.part.at == 0 {
		known.part.filled = float64(place%sharers) / float64(sharers)
		known.part.at = now
	}
	known.part.fill(now)
	known.part.rate = 0
	if place < sharers {
		known.part.rate = rate / float64(sharers)
	}
}

// place is the number of daemons that go before this one at a server.
func (limits *Limits) place(server string) int {
	own := xxhash.Sum64String(server + "/" + limits.self)
	before := 0
	for _, daemon := range limits.daemons {
		if xxhash.Sum64String(server+"/"+daemon) > own {
			before++
		}
	}
	return before
}

// Allows reports whether this daemon may send a server a request now.
func (limits *Limits) Allows(now clock.Millis, server string) bool {
	known, ok := limits.entries[server]
	if !ok || !known.word.Limited {
		return true
	}
	known.part.fill(now)
	return known.part.rate > 0 && known.part.filled >= 1
}

// Take counts a request to a server.
func (limits *Limits) Take(now clock.Millis, server string) {
	limits.add(now, server, -1)
}

// Return counts a request to a server no longer: it was not sent.
func (limits *Limits) Return(now clock.Millis, server string) {
	limits.add(now, server, 1)
}

func (limits *Limits) add(now clock.Millis, server string, more float64) {
	known, ok := limits.entries[server]
	if !ok || !known.word.Limited {
		return
	}
	known.part.fill(now)
	known.part.filled = min(1, known.part.filled+more)
}
