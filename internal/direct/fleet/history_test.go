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

// storeHistory simulates a store that servers write their entries to, and a fleet that applies
// each change. The store may be restored from a backup; the lost changes are then written
// again within ReturnGrace.
type storeHistory struct {
	servers   *fleet.Fleet
	options   fleet.Options
	now       clock.Millis
	revision  int64
	entries   map[string]storeEntry
	backup    map[string]storeEntry
	backupAt  int64
	drained   map[fleet.DrainNotice]bool // processes that announced that they are draining
	lastStart int64                      // StartedAt of the process that started last
}

type storeEntry struct {
	server   platformapi.Server
	revision int64
}

func (history *storeHistory) write(entry platformapi.Server) {
	history.revision++
	history.entries[entry.ID] = storeEntry{server: entry, revision: history.revision}
	if entry.Draining {
		history.drained[fleet.DrainNotice{Server: entry.ID, StartedAt: entry.StartedAt}] = true
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

// ready returns the servers that may take work, by their last entries.
func (history *storeHistory) ready() []string {
	names := []string{}
	for _, id := range slices.Sorted(maps.Keys(history.entries)) {
		if !history.entries[id].server.Draining {
			names = append(names, id)
		}
	}
	return names
}

// restore restores the store from the backup. The lost changes are then written again one
// after another, in an order that the test draws.
func (history *storeHistory) restore(t *rapid.T) {
	truth := history.entries
	usable := ids(history.servers.Usable(service))
	history.entries, history.revision = maps.Clone(history.backup), history.backupAt
	history.servers.StoreRestored(history.now)
	for _, id := range slices.Sorted(maps.Keys(history.entries)) {
		history.servers.Put(history.entries[id].server, history.entries[id].revision)
	}
	for _, member := range slices.Clone(history.servers.Members()) {
		if _, listed := history.entries[member.ID]; !listed {
			history.servers.Remove(history.now, member.ID, history.revision)
		}
	}
	require.Equal(t, usable, ids(history.servers.Usable(service)), "the restore changes nothing")
	lost := []string{}
	for id, entry := range truth {
		if history.entries[id].revision != entry.revision {
			lost = append(lost, id)
		}
	}
	for id := range history.entries {
		if _, listed := truth[id]; !listed {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	step := history.options.ReturnGrace / clock.Millis(len(lost)+2)
	for _, id := range rapid.Permutation(lost).Draw(t, "written again") {
		history.pass(step)
		if entry, listed := truth[id]; listed {
			history.write(entry.server)
		} else {
			history.remove(id)
		}
	}
}

// check verifies that the fleet uses no process that announced that it is draining.
func (history *storeHistory) check(t *rapid.T) {
	for _, member := range history.servers.Usable(service) {
		require.False(t, history.drained[fleet.DrainNotice{Server: member.ID, StartedAt: member.StartedAt}], "%s is draining", member.ID)
	}
}

// TestDrawnHistoriesOfRestoredStores draws entries and restores of the store. No draining
// process may be used, a restore itself must change nothing, and in the end all servers that
// may take work must be used.
func TestDrawnHistoriesOfRestoredStores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := fleet.DefaultOptions()
		history := &storeHistory{
			servers: fleet.New(options), options: options, now: clock.Minute, entries: make(map[string]storeEntry),
			backup: make(map[string]storeEntry), drained: make(map[fleet.DrainNotice]bool), lastStart: 1,
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))
			entry, listed := history.entries[id]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1: // a process starts, possibly under an id that was used before
				history.lastStart++
				started := server(id)
				started.StartedAt = history.lastStart
				history.write(started)
			case 2:
				if listed {
					entry.server.Draining = true
					history.write(entry.server)
				}
			case 3:
				if listed {
					history.remove(id)
				}
			case 4:
				if listed {
					history.write(entry.server) // the same entry again
				}
			case 5:
				history.backup, history.backupAt = maps.Clone(history.entries), history.revision
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
