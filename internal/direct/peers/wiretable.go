package peers

import (
	"slices"

	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
)

type wireTable struct {
	_                   struct{} `cbor:",toarray"`
	Server              string
	Born, Fence, Number int64
	Held                int // the number of Models, from the first, that the server holds; the others are only referred to by slots
	Models              []string
	Slots               []wireSlot
}

type wireSlot struct {
	_              struct{} `cbor:",toarray"`
	Model          int      // index in the models of the table
	Named          string
	Version        int
	Coming, Queued bool
}

func encodeTable(table fleet.Table) wireTable {
	models := stringTable{list: slices.Clone(table.Models)}
	wire := wireTable{Server: table.Server, Born: table.Born, Fence: table.Fence, Number: table.Number, Held: len(table.Models)}
	for _, slot := range table.Slots {
		wire.Slots = append(wire.Slots, wireSlot{
			Model: models.index(slot.Adapter.Model), Named: slot.Adapter.Name,
			Version: slot.Version, Coming: slot.Coming, Queued: slot.Queued,
		})
	}
	wire.Models = models.list
	return wire
}

func decodeTable(wire wireTable) fleet.Table {
	held := min(max(wire.Held, 0), len(wire.Models))
	table := fleet.Table{Server: wire.Server, Born: wire.Born, Fence: wire.Fence, Number: wire.Number, Models: wire.Models[:held]}
	for _, slot := range wire.Slots {
		adapter := platformapi.Adapter{Model: nameAt(wire.Models, slot.Model), Name: slot.Named}
		table.Slots = append(table.Slots, fleet.Slot{Adapter: adapter, Version: slot.Version, Coming: slot.Coming, Queued: slot.Queued})
	}
	return table
}
