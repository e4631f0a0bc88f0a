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
	// maxCopies is the maximum number of daemons that hold a copy of a record: the
	// next home of the key and, while this daemon shuts down, the one after that.
	maxCopies = 2
	// maxCopySends is the number of times that a copy is sent to one daemon.
	maxCopySends = 6
)

// pendingCopy is a copy that the receiving daemon has not confirmed.
type pendingCopy struct {
	resendAt clock.Millis
	to       ident.DaemonID
	key      string
	stream   ident.StreamID
	state    recordState
	sends    int
}

// replicate sends a copy of a record to the daemons that would be the key's next
// home. It returns false if there is no other daemon.
func (home *Home) replicate(now clock.Millis, record *record) bool {
	count := 1
	if home.shuttingDown {
		count = maxCopies
	}
	targets := home.history.copyTargets(record.key, home.self, count)
	record.copiedTo = nil
	for _, target := range targets {
		home.pendingCopies = append(home.pendingCopies, pendingCopy{
			resendAt: now + home.options.CopyInterval, to: target, key: record.key.Key,
			stream: record.stream, state: record.state, sends: 1,
		})
		home.sendCopy(target, record)
	}
	return len(targets) > 0
}

func (home *Home) sendCopy(to ident.DaemonID, record *record) {
	home.send(to, message.HomeCopy{
		From: home.self, Key: record.key.Key, Caller: record.key.Caller, Region: record.key.Region,
		BodyHash: record.bodyHash, Stream: record.stream,
		Finished: record.state == recordFinished, Outcome: record.outcome, Stored: record.answer,
	})
}

// resendCopies sends unconfirmed copies again when they are due.
func (home *Home) resendCopies(now clock.Millis) {
	due := 0
	for due < len(home.pendingCopies) && home.pendingCopies[due].resendAt <= now {
		due++
	}
	for _, pending := range home.pendingCopies[:due] {
		record, found := home.records[pending.key]
		if !found || !home.needsCopy(pending, record) || pending.sends >= maxCopySends {
			continue
		}
		pending.sends++
		pending.resendAt = now + home.options.CopyInterval
		home.pendingCopies = append(home.pendingCopies, pending)
		home.sendCopy(pending.to, record)
	}
	home.pendingCopies = home.pendingCopies[due:]
}

// needsCopy reports whether a pending copy is still of use: the record is that of
// the same attempt, has not finished since, and the copy is unconfirmed.
func (home *Home) needsCopy(pending pendingCopy, record *record) bool {
	finishedSince := record.state == recordFinished && pending.state != recordFinished
	return record.stream == pending.stream && !finishedSince && !slices.Contains(record.copiedTo, pending.to)
}

// StoreCopy stores the copy of another home's record, if there is room. The copy
// replaces the record of a different attempt under the same key, unless this daemon is
// itself the key's home or the recorded attempt has finished. In either case a record of
// the key remains, so no second attempt is granted.
func (home *Home) StoreCopy(now clock.Millis, copied message.HomeCopy) []effect.Effect {
	held, found := home.records[copied.Key]
	key := Key{Key: copied.Key, Caller: copied.Caller, Region: copied.Region}
	if !found {
		if len(home.records) >= home.options.MaxRecords {
			return home.takeEffects()
		}
		held = &record{state: recordGranted, key: key, bodyHash: copied.BodyHash, stream: copied.Stream, changedAt: now}
		home.insert(held)
	}
	if held.stream != copied.Stream {
		if homeDaemon, _ := home.history.latest().homeOf(key); homeDaemon == home.self || held.state == recordFinished {
			return home.takeEffects()
		}
		held.stream, held.bodyHash, held.key = copied.Stream, copied.BodyHash, key
	}
	if copied.Finished && held.outcome.Kind != outcome.Answered {
		recordTable.MustApply(&held.state, finishRecord)
		held.changedAt = now
		held.outcome = copied.Outcome
		home.storeAnswer(held, copied.Stored)
	}
	home.send(copied.From, message.HomeCopyAck{
		From: home.self, Key: copied.Key, Stream: copied.Stream, Finished: copied.Finished,
	})
	return home.takeEffects()
}

// ConfirmCopy records that a daemon holds a copy, and grants the attempt if it
// was waiting for one.
func (home *Home) ConfirmCopy(ack message.HomeCopyAck) []effect.Effect {
	record, found := home.records[ack.Key]
	if !found || record.stream != ack.Stream || ack.Finished != (record.state == recordFinished) {
		return home.takeEffects()
	}
	if !slices.Contains(record.copiedTo, ack.From) {
		record.copiedTo = append(record.copiedTo, ack.From)
	}
	if record.state == recordCopying {
		home.grant(record)
	}
	return home.takeEffects()
}

// DeleteCopy deletes the copy of a record whose attempt did not run. A finished
// record is kept.
func (home *Home) DeleteCopy(deletion message.HomeCopyDelete) []effect.Effect {
	record, found := home.records[deletion.Key]
	if found && record.stream == deletion.Stream && record.state != recordFinished {
		home.remove(record)
	}
	return home.takeEffects()
}

// Shutdown copies every record to the daemons that would be its key's next homes.
func (home *Home) Shutdown(now clock.Millis) []effect.Effect {
	home.shuttingDown = true
	for _, record := range home.recordsInOrder() {
		home.replicate(now, record)
	}
	return home.takeEffects()
}

// Idle reports whether no copy waits for a confirmation. A daemon that shuts down may
// exit then. Copies that were sent maxCopySends times without one are given up.
func (home *Home) Idle() bool {
	return !slices.ContainsFunc(home.pendingCopies, func(pending pendingCopy) bool {
		record, found := home.records[pending.key]
		return found && home.needsCopy(pending, record)
	})
}

// recordsInOrder returns the records in order of their stream ids, so that effects
// do not depend on the order of a map.
func (home *Home) recordsInOrder() []*record {
	ordered := make([]*record, 0, len(home.records))
	for _, record := range home.records {
		ordered = append(ordered, record)
	}
	slices.SortFunc(ordered, func(a, b *record) int { return a.stream.Compare(b.stream) })
	return ordered
}
