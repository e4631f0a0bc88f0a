package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
)

// storeHistory is a store whose entries servers write, and a fleet that hears of each change.
// The store may come back from a copy; what was lost is then written again within the time
// that servers need for it.
type storeHistory struct {
	servers  *fleet.Fleet
	options  fleet.Options
	now      clock.Millis
	revision int64
	entries  map[string]storeEntry
	copied   map[string]storeEntry
	copiedAt int64
	left     map[fleet.DrainNotice]bool // processes that have said that they leave
	born     int64
}

type storeEntry struct {
	server   platformapi.Server
	revision int64
}

func (history *storeHistory) write(entry platformapi.Server) {
	history.revision++
	history.entries[entry.ID] = storeEntry{server: entry, revision: history.revision}
	if entry.Draining {
		history.left[fleet.DrainNotice{Server: entry.ID, StartedAt: entry.StartedAt}] = true
	}
	history.servers.Put(entry, history.revision)
}

func (history *storeHistory) remove(id string) {
	history.revision++
	delete(history.entries, id)
	history.servers.Remove(history.now, id, history.revision)
}

func (history *storeHistory) pass(span clock.Millis) {
	history.now += span
	history.servers.Tick(history.now)
}

// ready returns the servers that take work, by what they have written last.
func (history *storeHistory) ready() []string {
	names := []string{}
	for _, id := range slices.Sorted(maps.Keys(history.entries)) {
		if !history.entries[id].server.Draining {
			names = append(names, id)
		}
	}
	return names
}

// restore has the store come back from the copy, and what was lost be written again one after
// another, in an order that the test draws.
func (history *storeHistory) restore(t *rapid.T) {
	truth := history.entries
	usable := ids(history.servers.Usable(service))
	history.entries, history.revision = maps.Clone(history.copied), history.copiedAt
	history.servers.StoreRestored(history.now)
	for _, id := range slices.Sorted(maps.Keys(history.entries)) {
		history.servers.Put(history.entries[id].server, history.entries[id].revision)
	}
	for _, member := range slices.Clone(history.servers.Members()) {
		if _, listed := history.entries[member.ID]; !listed {
			history.servers.Remove(history.now, member.ID, history.revision)
		}
	}
	require.Equal(t, usable, ids(history.servers.Usable(service)), "the copy changes nothing")
	lost := []string{}
	for id, entry := range truth {
		if history.entries[id].revision != entry.revision {
			lost = append(lost, id)
		}
	}
	for id := range history.entries {
		if _, there := truth[id]; !there {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	step := history.options.ReturnGrace / clock.Millis(len(lost)+2)
	for _, id := range rapid.Permutation(lost).Draw(t, "written again") {
		history.pass(step)
		if entry, there := truth[id]; there {
			history.write(entry.server)
		} else {
			history.remove(id)
		}
	}
}

// check holds what the fleet uses against what processes have said.
func (history *storeHistory) check(t *rapid.T) {
	for _, member := range history.servers.Usable(service) {
		require.False(t, history.left[fleet.DrainNotice{Server: member.ID, StartedAt: member.StartedAt}], "%s has said that it leaves", member.ID)
	}
}

// TestDrawnHistoriesOfRestoredStores: whatever servers write and whenever the store comes back
// from a copy, no process that leaves is used, the copy itself changes nothing, and in the end
// the servers that take work are used.
func TestDrawnHistoriesOfRestoredStores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := fleet.DefaultOptions()
		history := &storeHistory{
			servers: fleet.New(options), options: options, now: clock.Minute, entries: make(map[string]storeEntry),
			copied: make(map[string]storeEntry), left: make(map[fleet.DrainNotice]bool), born: 1,
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))
			entry, there := history.entries[id]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1: // it starts, also under an id that was used before
				history.born++
				started := server(id)
				started.StartedAt = history.born
				history.write(started)
			case 2:
				if there {
					entry.server.Draining = true
					history.write(entry.server)
				}
			case 3:
				if there {
					history.remove(id)
				}
			case 4:
				if there {
					history.write(entry.server) // it says the same again
				}
			case 5:
				history.copied, history.copiedAt = maps.Clone(history.entries), history.revision
			case 6:
				history.restore(t)
			case 7:
				history.pass(clock.Millis(rapid.IntRange(1, 5000).Draw(t, "span")))
			}
			history.check(t)
		}
		history.pass(options.ReturnGrace)
		history.check(t)
		require.Equal(t, history.ready(), ids(history.servers.Usable(service)))
	})
}
