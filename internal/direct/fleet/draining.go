package fleet

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// drainRecord records the last process of a server that announced that it is draining. The
// process stays draining until its end, even if an entry that is older or was restored from
// a backup says that it is ready. There is also a record, with ignoreUntil, for a process
// that was removed before the store was restored.
type drainRecord struct {
	startedAt    int64        // start of the process
	at           clock.Millis // when its notice was applied or its entry was removed; 0: neither
	noticeNumber int64        // number of the drain notice; 0: the store reported the draining
	ignoreUntil  clock.Millis // when an entry that says ready is applied again; 0: never
}

// DrainNotice announces that the process of a server is draining. Servers send it in their
// answers, and daemons pass it on to each other.
type DrainNotice struct {
	Server    string
	StartedAt int64 // start of the process, 0 where it is not known
}

// ApplyDrainNotice applies a drain notice, which this daemon or another one has received from the
// server. It reports whether the notice is new.
func (fleet *Fleet) ApplyDrainNotice(now clock.Millis, notice DrainNotice) bool {
	if earlier, ok := fleet.draining[notice.Server]; ok && earlier.ignoreUntil == 0 && notice.StartedAt <= earlier.startedAt {
		return false
	}
	member, known := fleet.members[notice.Server]
	if known && notice.StartedAt < member.StartedAt {
		return false // another process has started under the id
	}
	fleet.noticeCount++
	fleet.draining[notice.Server] = drainRecord{startedAt: notice.StartedAt, at: now, noticeNumber: fleet.noticeCount}
	if known {
		member.Draining = true
		fleet.byService = nil
	}
	return true
}

// DrainNoticeCount returns the number of drain notices that were new.
func (fleet *Fleet) DrainNoticeCount() int64 {
	return fleet.noticeCount
}

// DrainNoticesSince returns the drain notices that were new after the given number of notices.
func (fleet *Fleet) DrainNoticesSince(number int64) []DrainNotice {
	if number >= fleet.noticeCount {
		return nil
	}
	var notices []DrainNotice
	for id, record := range fleet.draining {
		if record.noticeNumber > number {
			notices = append(notices, DrainNotice{Server: id, StartedAt: record.startedAt})
		}
	}
	return notices
}

// updateDraining applies an entry to the drain records. It reports whether the process of the
// entry is draining, according to the entry or to an earlier notice.
func (fleet *Fleet) updateDraining(server platformapi.Server) bool {
	record, ok := fleet.draining[server.ID]
	if ok && server.StartedAt <= record.startedAt {
		if server.Draining {
			record.ignoreUntil = 0
			fleet.draining[server.ID] = record
		}
		return true
	}
	if server.Draining {
		fleet.draining[server.ID] = drainRecord{startedAt: server.StartedAt}
		return true
	}
	delete(fleet.draining, server.ID) // another process has started under the id
	return false
}

// recordRemoval records the time at which the entry of a draining server was removed.
func (fleet *Fleet) recordRemoval(now clock.Millis, id string) {
	if record, ok := fleet.draining[id]; ok {
		record.at = now
		fleet.draining[id] = record
	}
}

// expireDrainRecords drops the records of processes whose entries were removed longer ago than
// Tombstone, and ends those of processes whose entries came back with a restored store.
func (fleet *Fleet) expireDrainRecords(now clock.Millis) {
	for id, record := range fleet.draining {
		member, known := fleet.members[id]
		switch {
		case record.ignoreUntil > 0 && now >= record.ignoreUntil:
			fleet.endDraining(id, member, record)
		case !known && now-record.at > fleet.options.Tombstone:
			delete(fleet.draining, id)
		}
	}
}

// endDraining lets a removed process take work again, as a restored store has brought back
// its entry. It does not if the entry belongs to an earlier process than the removed one, as
// that has ended.
func (fleet *Fleet) endDraining(id string, member *Member, record drainRecord) {
	if member != nil && member.StartedAt < record.startedAt {
		record.ignoreUntil = 0
		fleet.draining[id] = record
		return
	}
	delete(fleet.draining, id)
	if member != nil {
		member.Draining = false
		fleet.byService = nil
	}
}
