package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// submitMemory is how long a daemon remembers that it has had a submit: longer
// than a copy of it can be under way.
const submitMemory = clock.Minute

// repeats tells a submit from a late copy of it. An owner that refused a request
// forgets it; a copy that arrived after that could still be run, by this daemon
// or by one that it is passed on to, although its caller was told that it was not.
// A request that comes back after it was passed on has more hops than before.
type repeats struct {
	hops  map[ident.StreamID]hopped
	order []ident.StreamID // by time of arrival
}

// hopped is the furthest copy of a submit that has arrived.
type hopped struct {
	hops int
	at   clock.Millis
}

func newRepeats() repeats {
	return repeats{hops: map[ident.StreamID]hopped{}}
}

// first reports whether a submit has not arrived before, and remembers it.
func (repeats *repeats) first(now clock.Millis, submit message.Submit) bool {
	repeats.forget(now)
	known, found := repeats.hops[submit.Stream]
	if found && submit.Hops <= known.hops {
		return false
	}
	repeats.hops[submit.Stream] = hopped{hops: submit.Hops, at: now}
	repeats.order = append(repeats.order, submit.Stream)
	return true
}

// forget drops what arrived longer ago than the memory. A stream that came again
// stands in the order twice and goes with its later place.
func (repeats *repeats) forget(now clock.Millis) {
	for len(repeats.order) > 0 {
		oldest := repeats.order[0]
		known, found := repeats.hops[oldest]
		if found && now-known.at <= submitMemory {
			return
		}
		delete(repeats.hops, oldest)
		repeats.order = repeats.order[1:]
	}
}
