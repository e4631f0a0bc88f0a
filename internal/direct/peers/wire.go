package peers

import (
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/topology"
)

// The wire types except wireMessage and wireWarnings are encoded as arrays, so that field names
// take no space, and contain each server and model name only once. The fields of an array keep
// their order and number: daemons of two versions are connected with each other during an
// upgrade, and an array is decoded only if it has the expected length. New fields are therefore
// added to types that are encoded as maps, such as wireMessage.
type (
	wireMessage struct {
		Update *wireUpdate         `cbor:",omitempty"`
		Digest *wireDelta          `cbor:",omitempty"`
		Want   *wireAdapterRequest `cbor:",omitempty"`
		Pull   *Pull               `cbor:",omitempty"`
		Items  *StoreItems         `cbor:",omitempty"`
		// Era is the era of the update's revision. It is not part of wireUpdate because
		// daemons of other versions expect that array without it.
		Era int64 `cbor:",omitempty"`
		// Warnings is ignored by daemons that do not support it.
		Warnings *wireWarnings `cbor:",omitempty"`
		// Streams is ignored by daemons that do not support it.
		Streams []wireStreamReport `cbor:",omitempty"`
	}
	wireUpdate struct {
		_                 struct{} `cbor:",toarray"`
		Self              wireRecord
		Role              int
		Hub               string
		Wants             bool
		Interval          int64
		Revision, Version int64
		Members           []wireRecord
		Orderers          []string
		Claimed           bool
		Claims            []wireClaim
	}
	wireRecord struct {
		_                         struct{} `cbor:",toarray"`
		Name, Address, DataCentre string
		Capacity                  int
		Incarnation, Number       int64
		State                     int
	}
	wireDelta struct {
		_        struct{} `cbor:",toarray"`
		Shares   []wireShare
		Tables   []wireTable
		Store    *StoreUpdate
		Sums     *wireSums
		Loads    []wireServerLoad
		Group    *wireGroup
		Owners   *wireOwners
		Reported []wireServerReport
		Usage    *wireUsage
	}
	wireUsage struct {
		_           struct{} `cbor:",toarray"`
		Scope       int
		Incarnation int64
		Daemons     int
		Readings    []wireReading
	}
	wireReading struct {
		_                     struct{} `cbor:",toarray"`
		Account               string
		Number, Total, Recent int64 // units, rounded to integers
	}
	wireGroup struct {
		_      struct{} `cbor:",toarray"`
		Number int64
		Whole  bool
		Models []string
		Loads  []wireLoad
	}
	wireOwners struct {
		_                struct{} `cbor:",toarray"`
		LoadTime, AtOnce int64
		Owned            []wireOwned
	}
	wireOwned struct {
		_       struct{} `cbor:",toarray"`
		Owner   string
		Servers []string
	}
	wireServerReport struct {
		_        struct{} `cbor:",toarray"`
		Server   string
		Born     int64
		Holdings []platformapi.Holding
	}
	wireServerLoad struct {
		_                   struct{} `cbor:",toarray"`
		Server              string
		Runs, Reading, Sent int
	}
	wireSums struct {
		_       struct{} `cbor:",toarray"`
		Whole   bool
		Servers []wireServerSum
		Models  []string
		Uses    []wireServerUses
	}
	wireServerSum struct {
		_                       struct{} `cbor:",toarray"`
		Server                  string
		Runs, Reading, Adapters int
	}
	wireServerUses struct {
		_      struct{} `cbor:",toarray"`
		Server string
		Uses   []wireUse
	}
	wireShare struct {
		_                   struct{} `cbor:",toarray"`
		Name                string
		Incarnation, Number int64
		Models              []string
		Loads               []wireLoad
	}
	wireLoad struct {
		_             struct{} `cbor:",toarray"`
		Server        string
		Runs, Reading int
		Uses          []wireUse
	}
	wireUse struct {
		_     struct{} `cbor:",toarray"`
		Model int      // index in the models of the message
		Named string
		Count int
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
		Held                int // the number of Models, from the first, that the server holds; the others are only referred to by slots
		Models              []string
		Slots               []wireSlot
	}
	wireSlot struct {
		_              struct{} `cbor:",toarray"`
		Model          int      // index in the models of the table
		Named          string
		Version        int
		Coming, Queued bool
	}
	wireAdapterRequest struct {
		_                    struct{} `cbor:",toarray"`
		Server, Model, Named string
		Version, Rank        int
		Left                 int64
		Absent               bool
	}
)

// Encode encodes a message.
func Encode(message Message) ([]byte, error) {
	wire := wireMessage{Pull: message.Pull, Items: message.Items, Warnings: encodeWarnings(message.Warnings), Streams: encodeStreams(message.Streams)}
	if message.Update != nil {
		wire.Update = encodeUpdate(message.Update)
		wire.Era = message.Update.Era
	}
	if message.Delta != nil {
		wire.Digest = encodeDelta(message.Delta)
	}
	if request := message.AdapterRequest; request != nil {
		wire.Want = &wireAdapterRequest{
			Server: request.Server, Model: request.Adapter.Model, Named: request.Adapter.Name, Version: request.Version,
			Rank: request.Rank, Left: int64(request.Left), Absent: request.Absent,
		}
	}
	encoded, err := cbor.Marshal(wire)
	return encoded, errors.Wrap(err, "encode message")
}

func encodeUpdate(update *Update) *wireUpdate {
	wire := &wireUpdate{
		Self: encodeRecord(update.Record), Role: int(update.Role), Hub: update.Hub, Wants: update.WantsConnection,
		Interval: int64(update.Interval), Revision: update.Revision, Version: update.Version,
		Orderers: update.OrderSenders, Claimed: update.Claimed,
	}
	for _, record := range update.Members {
		wire.Members = append(wire.Members, encodeRecord(record))
	}
	for _, claim := range update.Claims {
		wire.Claims = append(wire.Claims, wireClaim{Server: claim.Server, Fence: claim.Fence, Idle: int64(claim.Idle)})
	}
	return wire
}

func encodeRecord(record membership.Record) wireRecord {
	return wireRecord{
		Name: record.Name, Address: record.Address, DataCentre: record.DataCentre, Capacity: record.Capacity,
		Incarnation: record.Incarnation, Number: record.Number, State: int(record.State),
	}
}

func encodeDelta(delta *Delta) *wireDelta {
	wire := &wireDelta{Store: delta.Store}
	for _, share := range delta.Shares {
		encoded := wireShare{Name: share.Name, Incarnation: share.Incarnation, Number: share.Number}
		encoded.Loads, encoded.Models = encodeShare(share.Share)
		wire.Shares = append(wire.Shares, encoded)
	}
	for _, table := range delta.Tables {
		wire.Tables = append(wire.Tables, encodeTable(table))
	}
	if delta.Sums != nil {
		wire.Sums = encodeSums(delta.Sums)
	}
	for server, load := range delta.Loads {
		wire.Loads = append(wire.Loads, wireServerLoad{Server: server, Runs: load.Runs, Reading: load.Reading, Sent: load.Sent})
	}
	if group := delta.Group; group != nil {
		wire.Group = &wireGroup{Number: group.Number, Whole: group.Whole}
		wire.Group.Loads, wire.Group.Models = encodeShare(group.Share)
	}
	if delta.Owners != nil {
		wire.Owners = encodeOwners(delta.Owners)
	}
	for _, report := range delta.Reported {
		wire.Reported = append(wire.Reported, wireServerReport{Server: report.Server, Born: report.Born, Holdings: report.Holdings})
	}
	if delta.Usage != nil {
		wire.Usage = encodeUsage(delta.Usage)
	}
	return wire
}

func encodeUsage(usage *quota.Report) *wireUsage {
	wire := &wireUsage{Scope: int(usage.Scope), Incarnation: usage.Incarnation, Daemons: usage.Daemons}
	for _, reading := range usage.Readings {
		wire.Readings = append(wire.Readings, wireReading{
			Account: reading.Account, Number: reading.Number,
			Total: int64(math.Round(reading.Total)), Recent: int64(math.Round(reading.Recent)),
		})
	}
	return wire
}

func decodeUsage(wire *wireUsage) *quota.Report {
	usage := &quota.Report{Scope: quota.Scope(wire.Scope), Incarnation: wire.Incarnation, Daemons: wire.Daemons}
	for _, reading := range wire.Readings {
		usage.Readings = append(usage.Readings, quota.Reading{
			Account: reading.Account, Number: reading.Number, Total: float64(reading.Total), Recent: float64(reading.Recent),
		})
	}
	return usage
}

func encodeOwners(owners *Owners) *wireOwners {
	at := make(map[string]int)
	var owned []wireOwned
	for server, owner := range owners.By {
		index, ok := at[owner]
		if !ok {
			index = len(owned)
			at[owner] = index
			owned = append(owned, wireOwned{Owner: owner})
		}
		owned[index].Servers = append(owned[index].Servers, server)
	}
	return &wireOwners{LoadTime: int64(owners.Learned.LoadTime), AtOnce: int64(owners.Learned.AtOnce), Owned: owned}
}

func decodeOwners(wire *wireOwners) *Owners {
	owners := &Owners{
		By:      make(map[string]string),
		Learned: loading.RateEstimate{LoadTime: clock.Millis(wire.LoadTime), AtOnce: int(wire.AtOnce)},
	}
	for _, owned := range wire.Owned {
		for _, server := range owned.Servers {
			owners.By[server] = owned.Owner
		}
	}
	return owners
}

func encodeSums(sums *Sums) *wireSums {
	wire := &wireSums{Whole: sums.Whole}
	for server, sum := range sums.Servers {
		wire.Servers = append(wire.Servers, wireServerSum{Server: server, Runs: sum.Runs, Reading: sum.Reading, Adapters: sum.Adapters})
	}
	models := stringTable{}
	for _, uses := range sums.Uses {
		encoded := wireServerUses{Server: uses.Server}
		for adapter, count := range uses.Uses {
			encoded.Uses = append(encoded.Uses, wireUse{Model: models.index(adapter.Model), Named: adapter.Name, Count: count})
		}
		wire.Uses = append(wire.Uses, encoded)
	}
	wire.Models = models.list
	return wire
}

func decodeSums(wire *wireSums) *Sums {
	sums := &Sums{Whole: wire.Whole, Servers: make(map[string]inflight.Sum, len(wire.Servers))}
	for _, sum := range wire.Servers {
		sums.Servers[sum.Server] = inflight.Sum{Load: inflight.Load{Runs: sum.Runs, Reading: sum.Reading}, Adapters: sum.Adapters}
	}
	for _, uses := range wire.Uses {
		decoded := ServerUses{Server: uses.Server, Uses: make(map[platformapi.Adapter]int, len(uses.Uses))}
		for _, use := range uses.Uses {
			decoded.Uses[platformapi.Adapter{Model: nameAt(wire.Models, use.Model), Name: use.Named}] = use.Count
		}
		sums.Uses = append(sums.Uses, decoded)
	}
	return sums
}

func decodeDelta(wire *wireDelta) *Delta {
	delta := &Delta{Store: wire.Store}
	for _, share := range wire.Shares {
		delta.Shares = append(delta.Shares, DaemonShare{
			Name: share.Name, Incarnation: share.Incarnation, Number: share.Number, Share: decodeShare(share.Loads, share.Models),
		})
	}
	for _, table := range wire.Tables {
		delta.Tables = append(delta.Tables, decodeTable(table))
	}
	if wire.Sums != nil {
		delta.Sums = decodeSums(wire.Sums)
	}
	if len(wire.Loads) > 0 {
		delta.Loads = make(map[string]ServerLoad, len(wire.Loads))
	}
	for _, load := range wire.Loads {
		delta.Loads[load.Server] = ServerLoad{Load: inflight.Load{Runs: load.Runs, Reading: load.Reading}, Sent: load.Sent}
	}
	if group := wire.Group; group != nil {
		delta.Group = &GroupShare{Number: group.Number, Whole: group.Whole, Share: decodeShare(group.Loads, group.Models)}
	}
	if wire.Owners != nil {
		delta.Owners = decodeOwners(wire.Owners)
	}
	for _, report := range wire.Reported {
		delta.Reported = append(delta.Reported, ServerReport{Server: report.Server, Born: report.Born, Holdings: report.Holdings})
	}
	if wire.Usage != nil {
		delta.Usage = decodeUsage(wire.Usage)
	}
	return delta
}

// stringTable assigns an index to each distinct name.
type stringTable struct {
	list []string
}

func (stringTable *stringTable) index(name string) int {
	if at := slices.Index(stringTable.list, name); at >= 0 {
		return at
	}
	stringTable.list = append(stringTable.list, name)
	return len(stringTable.list) - 1
}

// nameAt returns the name with an index, or "" if the index is out of range.
func nameAt(list []string, index int) string {
	if index < 0 || index >= len(list) {
		return ""
	}
	return list[index]
}

func encodeShare(share inflight.Share) ([]wireLoad, []string) {
	models := stringTable{}
	at := make(map[string]int, len(share.Loads))
	loads := make([]wireLoad, 0, len(share.Loads))
	for server, load := range share.Loads {
		at[server] = len(loads)
		loads = append(loads, wireLoad{Server: server, Runs: load.Runs, Reading: load.Reading})
	}
	for use, count := range share.Uses {
		index, ok := at[use.Server]
		if !ok {
			continue // a use at a server without load; shares contain none
		}
		loads[index].Uses = append(loads[index].Uses, wireUse{Model: models.index(use.Adapter.Model), Named: use.Adapter.Name, Count: count})
	}
	return loads, models.list
}

func decodeShare(loads []wireLoad, models []string) inflight.Share {
	share := inflight.Share{Loads: make(map[string]inflight.Load, len(loads)), Uses: make(map[inflight.Use]int)}
	for _, load := range loads {
		share.Loads[load.Server] = inflight.Load{Runs: load.Runs, Reading: load.Reading}
		for _, use := range load.Uses {
			adapter := platformapi.Adapter{Model: nameAt(models, use.Model), Name: use.Named}
			share.Uses[inflight.Use{Server: load.Server, Adapter: adapter}] = use.Count
		}
	}
	return share
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

// Decode decodes a message.
func Decode(encoded []byte) (Message, error) {
	var wire wireMessage
	if err := cbor.Unmarshal(encoded, &wire); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	message := Message{Pull: wire.Pull, Items: wire.Items, Warnings: decodeWarnings(wire.Warnings), Streams: decodeStreams(wire.Streams)}
	if wire.Update != nil {
		message.Update = decodeUpdate(wire.Update)
		message.Update.Era = wire.Era
	}
	if wire.Digest != nil {
		message.Delta = decodeDelta(wire.Digest)
	}
	if request := wire.Want; request != nil {
		message.AdapterRequest = &AdapterRequest{
			Server: request.Server, Adapter: platformapi.Adapter{Model: request.Model, Name: request.Named}, Version: request.Version,
			Rank: request.Rank, Left: clock.Millis(request.Left), Absent: request.Absent,
		}
	}
	return message, nil
}

func decodeUpdate(wire *wireUpdate) *Update {
	update := &Update{
		Status: membership.Status{
			Record: decodeRecord(wire.Self), Role: topology.Role(wire.Role), Hub: wire.Hub, WantsConnection: wire.Wants,
			Interval: clock.Millis(wire.Interval), Revision: wire.Revision, Version: wire.Version, OrderSenders: wire.Orderers,
		},
		Claimed: wire.Claimed,
	}
	for _, record := range wire.Members {
		update.Members = append(update.Members, decodeRecord(record))
	}
	for _, claim := range wire.Claims {
		update.Claims = append(update.Claims, claims.Claim{Server: claim.Server, Fence: claim.Fence, Idle: clock.Millis(claim.Idle)})
	}
	return update
}

func decodeRecord(wire wireRecord) membership.Record {
	return membership.Record{
		Daemon:      topology.Daemon{Name: wire.Name, Address: wire.Address, DataCentre: wire.DataCentre, Capacity: wire.Capacity},
		Incarnation: wire.Incarnation, Number: wire.Number, State: membership.State(wire.State),
	}
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
