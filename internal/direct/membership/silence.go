package membership

import "teaselmoor/internal/base/clock"

// extendAfterPause shifts the deadlines of peers by the length of a pause of the process, in
// which it received nothing.
func (membership *Membership) extendAfterPause(now clock.Millis) {
	gap := now - membership.lastTick
	membership.lastTick = now
	if gap <= membership.options.Pause {
		return
	}
	for _, peer := range membership.peers {
		peer.LastContactAt = max(peer.LastContactAt, min(peer.LastContactAt+gap, now)) // some have reported since the process resumed
	}
	for _, entry := range membership.entries {
		if entry.linkedSince > 0 {
			entry.linkedSince = min(entry.linkedSince+gap, now)
		}
	}
}

// checkSilence marks a daemon as silent if it has sent nothing for Options.Unmet although a
// connection to it is kept or attempted.
func (membership *Membership) checkSilence(now clock.Millis, name string, entry *daemonEntry) {
	if entry.linkedSince == 0 || now < entry.silentUntil || membership.Live(now, name) {
		return
	}
	since := entry.linkedSince
	if peer, ok := membership.peers[name]; ok {
		since = max(since, peer.LastContactAt)
	}
	if now-since >= membership.options.Unmet {
		entry.silentUntil = now + membership.options.Retry
	}
}

// expireTombstone drops the record of a gone daemon after Options.Tombstone. By then all other
// daemons have received it.
func (membership *Membership) expireTombstone(now clock.Millis, name string, entry *daemonEntry) {
	switch {
	case entry.State != Gone:
		entry.goneSince = 0
	case entry.goneSince == 0:
		entry.goneSince = now
	case now-entry.goneSince > membership.options.Tombstone:
		delete(membership.entries, name)
	}
}

// forget drops a peer and marks its record as gone; the record is then forwarded to the other
// daemons. If the daemon is still running, it refutes the record when it receives it.
func (membership *Membership) forget(name string) {
	peer := membership.peers[name]
	delete(membership.peers, name)
	entry, ok := membership.entries[name]
	if !ok || entry.Incarnation != peer.Incarnation || entry.Number != peer.Number || entry.State == Gone {
		return
	}
	gone := entry.Record
	gone.Number++
	gone.State = Gone
	membership.merge(gone)
}
