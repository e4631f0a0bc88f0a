package fleet

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/port"
)

// departure is the last process of a server that has said that it leaves. It stays leaving
// until its end, whatever an entry says that is older than its word or was restored.
type departure struct {
	born int64        // start of the process
	at   clock.Millis // when its entry was removed; 0: it is there
}

// leaves reports whether the process that an entry is of leaves, by the entry or by an
// earlier word.
func (fleet *Fleet) leaves(server port.Server) bool {
	left, ok := fleet.departures[server.ID]
	if ok && server.Born <= left.born {
		return true
	}
	if server.Draining {
		fleet.departures[server.ID] = departure{born: server.Born}
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

// forgetDepartures forgets processes whose entries are gone for long.
func (fleet *Fleet) forgetDepartures(now clock.Millis) {
	for id, left := range fleet.departures {
		if _, known := fleet.members[id]; !known && now-left.at > fleet.options.Tombstone {
			delete(fleet.departures, id)
		}
	}
}
