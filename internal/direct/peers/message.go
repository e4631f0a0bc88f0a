// Package peers connects the daemons of a site with each other: WebSocket
// connections that carry CBOR messages. Each daemon keeps one connection to each
// other daemon and sends on it; what it hears comes on the connections that the
// others keep. Nothing here decides.
package peers

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/port"
	"teaselmoor/internal/direct/tally"
	"teaselmoor/internal/direct/tenure"
)

// Member is a daemon and the address that its peers connect to.
type Member struct {
	Name    string
	Address string
}

// Update is what a daemon tells all others every so often.
type Update struct {
	From          Member
	Incarnation   int64 // start of the process; a later one replaces what was known
	Leaving       bool
	Members       []Member
	StoreRevision int64 // all changes of the store up to it are known
	Version       int64 // of the configuration in force
	Share         tally.Share
	Claims        []tenure.Claim
	Tables        []fleet.Table // those that changed since the last update on this connection
}

// Want asks the daemon that gives orders to a server for an adapter.
type Want struct {
	Server  string
	Adapter port.Adapter
	Version int
	Rank    int
	Left    clock.Millis // until the request gives up
	Absent  bool         // the server has just refused a request for lack of it
}

// Pull asks a peer for what it has read of the store after a revision.
type Pull struct {
	After int64
}

// Items answers a Pull.
type Items struct {
	Items []port.Item
	AsOf  int64
}

// Message is one of its parts; the others are nil.
type Message struct {
	Update *Update
	Want   *Want
	Pull   *Pull
	Items  *Items
}

// The wire types are arrays, so that names of fields cost no bytes. Fields are
// added at the end only: old and new daemons meet during a replacement.
type (
	wireMessage struct {
		Update *wireUpdate `cbor:",omitempty"`
		Want   *wireWant   `cbor:",omitempty"`
		Pull   *Pull       `cbor:",omitempty"`
		Items  *Items      `cbor:",omitempty"`
	}
	wireUpdate struct {
		_             struct{} `cbor:",toarray"`
		Name, Address string
		Incarnation   int64
		Leaving       bool
		Members       [][2]string
		StoreRevision int64
		Version       int64
		Loads         []wireLoad
		Uses          []wireUse
		Claims        []wireClaim
		Tables        []wireTable
	}
	wireLoad struct {
		_             struct{} `cbor:",toarray"`
		Server        string
		Runs, Reading int
	}
	wireUse struct {
		_                    struct{} `cbor:",toarray"`
		Server, Model, Named string
		Count                int
	}
	wireClaim struct {
		_           struct{} `cbor:",toarray"`
		Server      string
		Fence, Idle int64
	}
	wireTable struct {
		_                   struct{} `cbor:",toarray"`
		Server              string
		Born, Fence, Number int64
		Models              []string
		Slots               []wireSlot
	}
	wireSlot struct {
		_            struct{} `cbor:",toarray"`
		Model, Named string
		Version      int
		Coming       bool
		Queued       bool
	}
	wireWant struct {
		_                    struct{} `cbor:",toarray"`
		Server, Model, Named string
		Version, Rank        int
		Left                 int64
		Absent               bool
	}
)

// Encode returns the bytes of a message.
func Encode(message Message) ([]byte, error) {
	wire := wireMessage{Pull: message.Pull, Items: message.Items}
	if message.Update != nil {
		wire.Update = encodeUpdate(message.Update)
	}
	if want := message.Want; want != nil {
		wire.Want = &wireWant{
			Server: want.Server, Model: want.Adapter.Model, Named: want.Adapter.Name, Version: want.Version,
			Rank: want.Rank, Left: int64(want.Left), Absent: want.Absent,
		}
	}
	encoded, err := cbor.Marshal(wire)
	return encoded, errors.Wrap(err, "encode message")
}

func encodeUpdate(update *Update) *wireUpdate {
	wire := &wireUpdate{
		Name: update.From.Name, Address: update.From.Address, Incarnation: update.Incarnation,
		Leaving: update.Leaving, StoreRevision: update.StoreRevision, Version: update.Version,
	}
	for _, member := range update.Members {
		wire.Members = append(wire.Members, [2]string{member.Name, member.Address})
	}
	for server, load := range update.Share.Loads {
		wire.Loads = append(wire.Loads, wireLoad{Server: server, Runs: load.Runs, Reading: load.Reading})
	}
	for use, count := range update.Share.Uses {
		wire.Uses = append(wire.Uses, wireUse{Server: use.Server, Model: use.Adapter.Model, Named: use.Adapter.Name, Count: count})
	}
	for _, claim := range update.Claims {
		wire.Claims = append(wire.Claims, wireClaim{Server: claim.Server, Fence: claim.Fence, Idle: int64(claim.Idle)})
	}
	for _, table := range update.Tables {
		wire.Tables = append(wire.Tables, encodeTable(table))
	}
	return wire
}

func encodeTable(table fleet.Table) wireTable {
	wire := wireTable{Server: table.Server, Born: table.Born, Fence: table.Fence, Number: table.Number, Models: table.Models}
	for _, slot := range table.Slots {
		wire.Slots = append(wire.Slots, wireSlot{Model: slot.Adapter.Model, Named: slot.Adapter.Name, Version: slot.Version, Coming: slot.Coming, Queued: slot.Queued})
	}
	return wire
}

// Decode reads the bytes of a message.
func Decode(encoded []byte) (Message, error) {
	var wire wireMessage
	if err := cbor.Unmarshal(encoded, &wire); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	message := Message{Pull: wire.Pull, Items: wire.Items}
	if wire.Update != nil {
		message.Update = decodeUpdate(wire.Update)
	}
	if want := wire.Want; want != nil {
		message.Want = &Want{
			Server: want.Server, Adapter: port.Adapter{Model: want.Model, Name: want.Named}, Version: want.Version,
			Rank: want.Rank, Left: clock.Millis(want.Left), Absent: want.Absent,
		}
	}
	return message, nil
}

func decodeUpdate(wire *wireUpdate) *Update {
	update := &Update{
		From: Member{Name: wire.Name, Address: wire.Address}, Incarnation: wire.Incarnation,
		Leaving: wire.Leaving, StoreRevision: wire.StoreRevision, Version: wire.Version,
		Share: tally.Share{Loads: make(map[string]tally.Load, len(wire.Loads)), Uses: make(map[tally.Use]int, len(wire.Uses))},
	}
	for _, member := range wire.Members {
		update.Members = append(update.Members, Member{Name: member[0], Address: member[1]})
	}
	for _, load := range wire.Loads {
		update.Share.Loads[load.Server] = tally.Load{Runs: load.Runs, Reading: load.Reading}
	}
	for _, use := range wire.Uses {
		key := tally.Use{Server: use.Server, Adapter: port.Adapter{Model: use.Model, Name: use.Named}}
		update.Share.Uses[key] = use.Count
	}
	for _, claim := range wire.Claims {
		update.Claims = append(update.Claims, tenure.Claim{Server: claim.Server, Fence: claim.Fence, Idle: clock.Millis(claim.Idle)})
	}
	for _, table := range wire.Tables {
		update.Tables = append(update.Tables, decodeTable(table))
	}
	return update
}

func decodeTable(wire wireTable) fleet.Table {
	table := fleet.Table{Server: wire.Server, Born: wire.Born, Fence: wire.Fence, Number: wire.Number, Models: wire.Models}
	for _, slot := range wire.Slots {
		adapter := port.Adapter{Model: slot.Model, Name: slot.Named}
		table.Slots = append(table.Slots, fleet.Slot{Adapter: adapter, Version: slot.Version, Coming: slot.Coming, Queued: slot.Queued})
	}
	return table
}
