package audit

// ring keeps the latest events. Not safe for concurrent use.
type ring struct {
	limit  int
	events []Event // grows up to the limit
	oldest int     // index, once the ring is full
	// pushedOut is the sequence of the latest event that had to leave.
	pushedOut uint64
}

// newRing returns a ring that keeps at least one event.
func newRing(limit int) ring {
	return ring{limit: max(1, limit)}
}

// put adds an event; it returns the one that had to leave for it, if any.
func (ring *ring) put(event Event) (Event, bool) {
	if len(ring.events) < ring.limit {
		ring.events = append(ring.events, event)
		return Event{}, false
	}
	pushed := ring.events[ring.oldest]
	ring.events[ring.oldest] = event
	ring.oldest = (ring.oldest + 1) % ring.limit
	ring.pushedOut = pushed.Sequence
	return pushed, true
}

// each visits the events from the oldest on.
func (ring *ring) each(visit func(Event)) {
	for i := range ring.events {
		visit(ring.events[(ring.oldest+i)%len(ring.events)])
	}
}
