package fleet

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// departure is the last process of a server that has said that it leaves. It stays leaving
// until its end, whatever an entry says that is older than its word or was restored.
type departure struct {
	born   int64        // start of the process
	at     clock.Millis // when its entry was removed, or it was heard of before its entry; 0: the entry is there
	change int64        // of departures, by which it was heard of; 0: the store has told
	until  clock.Millis // from when its entry counts again, if it says that the server is ready; 0: never
}

// DrainNotice says of a server's process that it leaves, as servers say in their answers and
// daemons tell each other.
type DrainNotice struct {
	Server    string
	StartedAt int64 // start of the process, 0 where it is not known
}

// ApplyDrainNotice takes over the word of a server itself that it leaves, heard here or by another
// daemon. It reports whether that is news.
func (fleet *Fleet) ApplyDrainNotice(now clock.Millis, word DrainNotice) bool {
	if left, ok := fleet.departures[word.Server]; ok && left.until == 0 && word.StartedAt <= left.born {
		return false
	}
	member, known := fleet.members[word.Server]
	if known && word.StartedAt < member.StartedAt {
		return false // another process has started under the id
	}
	fleet.departuresHeard++
	fleet.departures[word.Server] = departure{born: word.StartedAt, at: now, change: fleet.departuresHeard}
	if known {
		member.Draining = true
		fleet.byService = nil
	}
	return true
}

// DrainNoticeCount rises with each word of a server itself that was news.
func (fleet *Fleet) DrainNoticeCount() int64 {
	return fleet.departuresHeard
}

// DrainNoticesSince returns the words of servers themselves that were news after a number that
// DeparturesHeard has returned.
func (fleet *Fleet) DrainNoticesSince(heard int64) []DrainNotice {
	if heard >= fleet.departuresHeard {
		return nil
	}
	var words []DrainNotice
	for id, left := range fleet.departures {
		if left.change > heard {
			words = append(words, DrainNotice{Server: id, StartedAt: left.born})
		}
	}
	return words
}

// leaves reports whether the process that an entry is of leaves, by the entry or by an
// earlier word.
func (fleet *Fleet) leaves(server platformapi.Server) bool {
	left, ok := fleet.departures[server.ID]
	if ok && server.StartedAt <= left.born {
		if server.Draining {
			left.until = 0
			fleet.departures[server.ID] = left
		}
		return true
	}
	if server.Draining {
		fleet.departures[server.ID] = departure{born: server.StartedAt}
		return true
	}
	delete(fleet.departures, server.ID) // another process has started under the id
	return false
}

// removed notes that the entry of a server is gone.
func (fleet *Fleet) removed(now clock.Millis, id string) {
	if left, ok := fleet.departures[id]; ok {
		left.at = now
		fleet.departures[id] = left
	}
}

// forgetDepartures forgets processes whose entries are gone for long, and has those work
// again whose entries are back from a copy of the store and still there.
func (fleet *Fleet) forgetDepartures(now clock.Millis) {
	for id, left := range fleet.departures {
		member, known := fleet.members[id]
		switch {
		case left.until > 0 && now >= left.until:
			fleet.returned(id, member, left)
		case !known && now-left.at > fleet.options.Tombstone:
			delete(fleet.departures, id)
		}
	}
}

// returned has a process work again that was removed and is back, unless the entry is one of
// an earlier process than the one removed, which has ended before.
func (fleet *Fleet) returned(id string, member *Member, left departure) {
	if member != nil && member.StartedAt < left.born {
		left.until = 0
		fleet.departures[id] = left
		return
	}
	delete(fleet.departures, id)
	if member != nil {
		member.Draining = false
		fleet.byService = nil
	}
}
