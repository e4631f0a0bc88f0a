package audit

import "context"

// Run writes the queued lines until the context ends, then the lines that are
// still in the queue.
func (trail *Trail) Run(ctx context.Context) error {
	for {
		select {
		case event := <-trail.lines:
			trail.write(event)
		case <-ctx.Done():
			trail.writePending()
			return nil
		}
	}
}

func (trail *Trail) writePending() {
	for {
		select {
		case event := <-trail.lines:
			trail.write(event)
		default:
			return
		}
	}
}

func (trail *Trail) write(event Event) {
	if event.Record != nil {
		trail.log.Info("audit", "Sequence", event.Sequence, "Kind", event.Kind, "Request", event.Object,
			"Cause", event.Cause, "After", event.After, "Record", event.Record)
		return
	}
	trail.log.Info("audit", "Sequence", event.Sequence, "Kind", event.Kind, "Object", event.Object,
		"Cause", event.Cause, "Before", event.Before, "After", event.After)
}

// Dropped returns the number of lines that were dropped because the queue was
// full. Their sequences are missing from the log.
func (trail *Trail) Dropped() uint64 {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	return trail.dropped
}
