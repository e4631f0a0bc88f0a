package fleet

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/platformapi"
)

// Slot is an adapter at a server, or with an adapter without a name a base model that
// is being loaded.
type Slot struct {
	Adapter platformapi.Adapter
	Version int
	Coming  bool // being loaded, or to be loaded; not usable yet
	Queued  bool // coming, but the load has not begun
}

// ofModel reports whether the slot is that of a base model.
func (slot Slot) ofModel() bool {
	return slot.Adapter.Name == ""
}

// Table is what the daemon that gives orders to a server says of its adapters.
type Table struct {
	Server string
	Born   int64
	Fence  int64
	Number int64 // rises with each change under one fencing number
	Models []string
	Slots  []Slot
}

// Member is a backend server.
type Member struct {
	platformapi.Server
	Hash     uint64 // of its id, for rendezvous hashing
	Revision int64  // of its entry in the store
	slots    map[platformapi.Adapter]Slot
	models   map[string]bool
	table    Table                       // zero while no daemon gives orders to it
	reported []platformapi.Holding       // what the server itself says, once reportRead
	recent   map[platformapi.Adapter]int // adapters that it held of late, and when: numbers that rise
	turn     int                         // the last of those numbers

	reportRead bool
	reportBorn int64 // start of the process that the report is of

	modelComing bool            // a base model is being loaded
	onDisk      map[string]bool // base models that it has held, also before a restart

	lapsesAt     clock.Millis // when a missing entry is taken as gone; 0: its entry is there
	restsUntil   clock.Millis // the server wants nothing from this daemon before
	suspectUntil clock.Millis
	backoff      clock.Millis
	trouble      float64
	troubleAt    clock.Millis
}

// Slot returns what the server holds or loads of an adapter.
func (member *Member) Slot(adapter platformapi.Adapter) (Slot, bool) {
	slot, ok := member.slots[adapter]
	return slot, ok
}

// RecentlyHeld reports whether the server held the adapter of late, so that it need not
// come from the weight store.
func (member *Member) RecentlyHeld(adapter platformapi.Adapter) bool {
	_, ok := member.recent[adapter]
	return ok
}

// HoldsModel reports whether the server holds a base model.
func (member *Member) HoldsModel(name string) bool {
	return member.models[name]
}

// LoadingModel reports whether a base model is on its way to the server.
func (member *Member) LoadingModel() bool {
	return member.modelComing
}

// HasNoModel reports whether the server holds no base model.
func (member *Member) HasNoModel() bool {
	return len(member.models) == 0
}

// OnDisk reports whether the server has held a base model, so that it does not come
// from the weight store.
func (member *Member) OnDisk(model string) bool {
	return member.onDisk[model]
}

// SlotCount returns how many adapters the server holds or loads.
func (member *Member) SlotCount() int {
	return len(member.slots)
}

// LoadCounts returns how many adapters are on their way to the server, and how many
// wait for their load to begin.
func (member *Member) LoadCounts() (loading, queued int) {
	for _, slot := range member.slots {
		switch {
		case slot.ofModel() && !slot.Queued: // it takes no place among adapters
		case slot.Queued:
			queued++
		case slot.Coming:
			loading++
		}
	}
	return loading, queued
}

// Suspect reports whether the server could not be reached of late.
func (member *Member) Suspect(now clock.Millis) bool {
	return now < member.suspectUntil
}

// Member returns a server by its id, also one that is draining.
func (fleet *Fleet) Member(id string) (*Member, bool) {
	member, ok := fleet.members[id]
	return member, ok
}

func (member *Member) adopt(models []string, slots []Slot) {
	member.models = make(map[string]bool, len(models))
	for _, model := range models {
		member.models[model] = true
		member.onDisk[model] = true
	}
	member.slots = make(map[platformapi.Adapter]Slot, len(slots))
	member.modelComing = false
	for _, slot := range slots {
		member.slots[slot.Adapter] = slot
		member.modelComing = member.modelComing || slot.ofModel() && !slot.Queued
		if !slot.Queued && !slot.ofModel() {
			member.turn++
			member.recent[slot.Adapter] = member.turn
		}
	}
}

// trim forgets the adapters that were held longest ago.
func (member *Member) trim(most int) {
	if len(member.recent) <= 2*most {
		return
	}
	turns := slices.Sorted(maps.Values(member.recent))
	oldest := turns[len(turns)-most]
	maps.DeleteFunc(member.recent, func(_ platformapi.Adapter, turn int) bool { return turn < oldest })
}
