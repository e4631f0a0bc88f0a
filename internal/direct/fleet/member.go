package fleet

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// Slot is an adapter at a server. If the adapter has no name, it is a base model that is
// being loaded.
type Slot struct {
	Adapter platformapi.Adapter
	Version int
	Coming  bool // being loaded or to be loaded; not usable yet
	Queued  bool // coming, but its load has not started
}

// ofModel reports whether the slot is for a base model.
func (slot Slot) ofModel() bool {
	return slot.Adapter.Name == ""
}

// Table is what a server holds, according to its owner.
type Table struct {
	Server string
	Born   int64 // start of the server's process
	Fence  int64 // fencing number of the owner
	Number int64 // increases with each change under one fencing number
	Models []string
	Slots  []Slot
}

// Member is a backend server.
type Member struct {
	platformapi.Server
	Hash           uint64 // of its id, for rendezvous hashing
	Revision       int64  // of its entry in the store
	slots          map[platformapi.Adapter]Slot
	models         map[string]bool
	table          Table                       // from its owner; zero if there was none
	reported       []platformapi.Holding       // the server's own report, if reportRead
	recent         map[platformapi.Adapter]int // recently held adapters, with recentSequence when last held
	recentSequence int                         // increases with each adapter of each update

	reportRead      bool
	reportStartedAt int64 // start of the process that reported

	// SoftwareChanged is true if the entries of the present process have stated several software versions.
	SoftwareChanged bool
	sighted         bool              // the present process has answered, but its entry was not read yet
	processes       []processSoftware // the latest ones whose entries have stated a software version, oldest first
	// SeenAt is when the last entry of the server was applied, as far as the caller of Put has set it.
	SeenAt clock.Millis

	modelLoading bool            // a base model is being loaded
	onDisk       map[string]bool // base models that it has held, including before restarts

	expiresAt     clock.Millis // when a missing entry counts as removed; 0: its entry is there
	pausedUntil   clock.Millis // no requests of this daemon before
	suspectUntil  clock.Millis
	backoff       clock.Millis
	failureRate   float64 // value at failureRateAt
	failureRateAt clock.Millis
}

// Slot returns the slot of an adapter that the server holds or loads.
func (member *Member) Slot(adapter platformapi.Adapter) (Slot, bool) {
	slot, ok := member.slots[adapter]
	return slot, ok
}

// RecentlyHeld reports whether the server held the adapter recently, so that it need not be
// loaded from the weight store.
func (member *Member) RecentlyHeld(adapter platformapi.Adapter) bool {
	_, ok := member.recent[adapter]
	return ok
}

// HoldsModel reports whether the server holds a base model.
func (member *Member) HoldsModel(name string) bool {
	return member.models[name]
}

// LoadingModel reports whether the server is loading a base model.
func (member *Member) LoadingModel() bool {
	return member.modelLoading
}

// HasNoModel reports whether the server holds no base model.
func (member *Member) HasNoModel() bool {
	return len(member.models) == 0
}

// OnDisk reports whether the server has held a base model before, so that it need not be
// loaded from the weight store.
func (member *Member) OnDisk(model string) bool {
	return member.onDisk[model]
}

// SlotCount returns how many adapters the server holds or loads.
func (member *Member) SlotCount() int {
	return len(member.slots)
}

// LoadCounts returns how many adapters the server is loading, and how many wait for their load
// to start.
func (member *Member) LoadCounts() (loading, queued int) {
	for _, slot := range member.slots {
		switch {
		case slot.ofModel() && !slot.Queued: // it takes no adapter slot
		case slot.Queued:
			queued++
		case slot.Coming:
			loading++
		}
	}
	return loading, queued
}

// Suspect reports whether the server could not be reached recently.
func (member *Member) Suspect(now clock.Millis) bool {
	return now < member.suspectUntil
}

// Member returns a server by its id, even if it is draining.
func (fleet *Fleet) Member(id string) (*Member, bool) {
	member, ok := fleet.members[id]
	return member, ok
}

// setHoldings replaces what the server holds.
func (member *Member) setHoldings(models []string, slots []Slot) {
	member.models = make(map[string]bool, len(models))
	for _, model := range models {
		member.models[model] = true
		member.onDisk[model] = true
	}
	member.slots = make(map[platformapi.Adapter]Slot, len(slots))
	member.modelLoading = false
	for _, slot := range slots {
		member.slots[slot.Adapter] = slot
		member.modelLoading = member.modelLoading || slot.ofModel() && !slot.Queued
		if !slot.Queued && !slot.ofModel() {
			member.recentSequence++
			member.recent[slot.Adapter] = member.recentSequence
		}
	}
}

// processSoftware is the software version of a process of a server.
type processSoftware struct {
	startedAt int64
	software  string
}

// maxProcesses is the number of processes of a server whose software versions are remembered. Entries may be earlier or later
// than the processes that they are about, but not by many restarts.
const maxProcesses = 4

// SoftwareOf returns the software version that an entry has stated of the server's process with the given start, or
// false if none has.
func (member *Member) SoftwareOf(startedAt int64) (string, bool) {
	for _, process := range member.processes {
		if process.startedAt == startedAt {
			return process.software, true
		}
	}
	return "", false
}

// recordSoftware records the software version that an entry states of the process that it belongs to.
func (member *Member) recordSoftware(entry platformapi.Server) {
	if entry.Software == "" || entry.StartedAt == 0 {
		return
	}
	others := slices.DeleteFunc(member.processes, func(process processSoftware) bool { return process.startedAt == entry.StartedAt })
	others = others[max(0, len(others)+1-maxProcesses):]
	member.processes = append(slices.Clone(others), processSoftware{startedAt: entry.StartedAt, software: entry.Software})
}

// updateSoftware updates what is known of the server's software version from its next entry. An entry that states
// none says nothing about the process that an earlier one named.
func (member *Member) updateSoftware(entry *platformapi.Server) {
	if member.ID == "" || member.StartedAt != entry.StartedAt {
		member.SoftwareChanged = false
		return
	}
	if entry.Software == "" {
		entry.Software = member.Software
	}
	member.SoftwareChanged = member.SoftwareChanged || member.Software != "" && member.Software != entry.Software
}

// trimRecent keeps the given number of recently held adapters and drops older ones. It does so
// only once there are twice as many.
func (member *Member) trimRecent(limit int) {
	if len(member.recent) <= 2*limit {
		return
	}
	sequences := slices.Sorted(maps.Values(member.recent))
	oldest := sequences[len(sequences)-limit]
	maps.DeleteFunc(member.recent, func(_ platformapi.Adapter, sequence int) bool { return sequence < oldest })
}
