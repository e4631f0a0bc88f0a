package home

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
)

const (
	// maxCopies is the number of daemons that may hold a copy at once: the next
	// in order, and on a handover the one after it.
	maxCopies = 2
	// maxCopyTries bounds the sending of one copy to one daemon.
	maxCopyTries = 6
)

// copyTask is a copy that has not been confirmed.
type copyTask struct {
	at     clock.Millis // of the next sending
	to     ident.DaemonID
	key    string
	stream ident.StreamID
	state  recordState
	tries  int
}

// replicate copies a record to where the next home would look for it. It
// reports false when there is no other daemon.
func (home *Home) replicate(now clock.Millis, known *record) bool {
	count := 1
	if home.leaving {
		count = maxCopies
	}
	targets := home.history.others(known.key, home.self, count)
	known.copied = nil
	for _, target := range targets {
		home.copies = append(home.copies, copyTask{
			at: now + home.options.CopyInterval, to: target, key: known.key.Key,
			stream: known.stream, state: known.state, tries: 1,
		})
		home.sendCopy(target, known)
	}
	return len(targets) > 0
}

func (home *Home) sendCopy(to ident.DaemonID, known *record) {
	home.send(to, message.HomeCopy{
		From: home.self, Key: known.key.Key, Caller: known.key.Caller, Region: known.key.Region,
		BodyHash: known.bodyHash, Stream: known.stream,
		Finished: known.state == recordFinished, Outcome: known.outcome, Stored: known.answer,
	})
}

// tickCopies sends the copies again that are due and not confirmed.
func (home *Home) tickCopies(now clock.Millis) {
	due := 0
	for due < len(home.copies) && home.copies[due].at <= now {
		due++
	}
	for _, task := range home.copies[:due] {
		known, found := home.records[task.key]
		if !found || !home.waits(task, known) || task.tries >= maxCopyTries {
			continue
		}
		task.tries++
		task.at = now + home.options.CopyInterval
		home.copies = append(home.copies, task)
		home.sendCopy(task.to, known)
	}
	home.copies = home.copies[due:]
}

// waits reports whether a task's record still needs its copy.
func (home *Home) waits(task copyTask, known *record) bool {
	finishedSince := known.state == recordFinished && task.state != recordFinished
	return known.stream == task.stream && !finishedSince && !slices.Contains(known.copied, task.to)
}

// Copied keeps another home's record, if there is room. A record of another
// attempt gives way unless this daemon is itself the key's home, or that attempt
// is known to have ended: either way some record stays, so none runs twice.
func (home *Home) Copied(now clock.Millis, copied message.HomeCopy) []effect.Effect {
	known, found := home.records[copied.Key]
	key := Key{Key: copied.Key, Caller: copied.Caller, Region: copied.Region}
	if !found {
		if len(home.records) >= home.options.MaxRecords {
			return home.take()
		}
		known = &record{state: recordGranted, key: key, bodyHash: copied.BodyHash, stream: copied.Stream, at: now}
		home.add(known)
	}
	if known.stream != copied.Stream {
		if first, _ := home.history.latest().first(key); first == home.self || known.state == recordFinished {
			return home.take()
		}
		known.stream, known.bodyHash, known.key = copied.Stream, copied.BodyHash, key
	}
	if copied.Finished && known.outcome.Kind != outcome.Answered {
		recordTable.Must(&known.state, finishRecord)
		known.at = now
		known.outcome = copied.Outcome
		home.keep(known, copied.Stored)
	}
	home.send(copied.From, message.HomeCopyAck{
		From: home.self, Key: copied.Key, Stream: copied.Stream, Finished: copied.Finished,
	})
	return home.take()
}

// CopyConfirmed takes in the word that a copy is held, and grants the attempt
// that waited for it.
func (home *Home) CopyConfirmed(ack message.HomeCopyAck) []effect.Effect {
	known, found := home.records[ack.Key]
	if !found || known.stream != ack.Stream || ack.Finished != (known.state == recordFinished) {
		return home.take()
	}
	if !slices.Contains(known.copied, ack.From) {
		known.copied = append(known.copied, ack.From)
	}
	if known.state == recordCopying {
		home.grant(known)
	}
	return home.take()
}

// Forgotten frees the copy of a key whose attempt did not run.
func (home *Home) Forgotten(forget message.HomeCopyDelete) []effect.Effect {
	known, found := home.records[forget.Key]
	if found && known.stream == forget.Stream && known.state != recordFinished {
		home.drop(known)
	}
	return home.take()
}

// Shutdown hands the records over to the daemons next in order.
func (home *Home) Shutdown(now clock.Millis) []effect.Effect {
	home.leaving = true
	for _, known := range home.inOrder() {
		home.replicate(now, known)
	}
	return home.take()
}

// Idle reports whether no record waits to be copied, so that a leaving daemon
// may exit.
func (home *Home) Idle() bool {
	return !slices.ContainsFunc(home.copies, func(task copyTask) bool {
		known, found := home.records[task.key]
		return found && home.waits(task, known)
	})
}

// inOrder returns the records in a fixed order.
func (home *Home) inOrder() []*record {
	ordered := make([]*record, 0, len(home.records))
	for _, known := range home.records {
		ordered = append(ordered, known)
	}
	slices.SortFunc(ordered, func(a, b *record) int { return a.stream.Compare(b.stream) })
	return ordered
}
