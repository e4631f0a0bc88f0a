package audit

// ring is a buffer of the latest events. It is not safe for concurrent use.
type ring struct {
	limit  int
	events []Event // grows up to the limit
	oldest int     // index of the oldest event
	// lastEvicted is the sequence of the event that was evicted last.
	lastEvicted uint64
}

// newRing returns a ring that holds up to limit events, and at least one.
func newRing(limit int) ring {
	return ring{limit: max(1, limit)}
}

// add adds an event. If the ring is full, it evicts and returns the oldest event.
func (ring *ring) add(event Event) (Event, bool) {
	if len(ring.events) < ring.limit {
		ring.events = append(ring.events, event)
		return Event{}, false
	}
	evicted := ring.events[ring.oldest]
	ring.events[ring.oldest] = event
	ring.oldest = (ring.oldest + 1) % ring.limit
	ring.lastEvicted = evicted.Sequence
	return evicted, true
}

// each visits the events, the oldest first.
func (ring *ring) each(visit func(Event)) {
	for i := range ring.events {
		visit(ring.events[(ring.oldest+i)%len(ring.events)])
	}
}
