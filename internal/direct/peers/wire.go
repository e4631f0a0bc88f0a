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

// The wire types are arrays, so that names of fields cost no bytes, and name each
// server and model once. Fields are added at the end only: old and new daemons
// meet during a replacement.
type (
	wireMessage struct {
		Update *wireUpdate `cbor:",omitempty"`
		Digest *wireDigest `cbor:",omitempty"`
		Want   *wireWant   `cbor:",omitempty"`
		Pull   *Pull       `cbor:",omitempty"`
		Items  *StoreItems `cbor:",omitempty"`
		// Era is that of an update's revision. It stands outside of the update, an array
		// whose length daemons of other versions know.
		Era int64 `cbor:",omitempty"`
		// Warnings are passed over by daemons that do not know of them.
		Warnings *wireWarnings `cbor:",omitempty"`
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
	wireDigest struct {
		_        struct{} `cbor:",toarray"`
		Shares   []wireShare
		Tables   []wireTable
		Store    *StoreUpdate
		Sums     *wireSums
		Loads    []wireWork
		Group    *wireGroup
		Owners   *wireOwners
		Reported []wireReported
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
		Number, Total, Recent int64 // units are whole
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
	wireReported struct {
		_        struct{} `cbor:",toarray"`
		Server   string
		Born     int64
		Holdings []platformapi.Holding
	}
	wireWork struct {
		_                   struct{} `cbor:",toarray"`
		Server              string
		Runs, Reading, Sent int
	}
	wireSums struct {
		_       struct{} `cbor:",toarray"`
		Whole   bool
		Servers []wireSum
		Models  []string
		Uses    []wireServerUses
	}
	wireSum struct {
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
		Model int      // index in the update's models
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
		Held                int // the first of Models that the server holds; the rest are named by slots only
		Models              []string
		Slots               []wireSlot
	}
	wireSlot struct {
		_              struct{} `cbor:",toarray"`
		Model          int      // index in the table's models
		Named          string
		Version        int
		Coming, Queued bool
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
	wire := wireMessage{Pull: message.Pull, Items: message.Items, Warnings: encodeWarnings(message.Warnings)}
	if message.Update != nil {
		wire.Update = encodeUpdate(message.Update)
		wire.Era = message.Update.Era
	}
	if message.Delta != nil {
		wire.Digest = encodeDigest(message.Delta)
	}
	if want := message.AdapterRequest; want != nil {
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
		Self: encodeRecord(update.Record), Role: int(update.Role), Hub: update.Hub, Wants: update.Wants,
		Interval: int64(update.Interval), Revision: update.Revision, Version: update.Version,
		Orderers: update.Orderers, Claimed: update.Claimed,
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

func encodeDigest(digest *Delta) *wireDigest {
	wire := &wireDigest{Store: digest.Store}
	for _, share := range digest.Shares {
		encoded := wireShare{Name: share.Name, Incarnation: share.Incarnation, Number: share.Number}
		encoded.Loads, encoded.Models = encodeShare(share.Share)
		wire.Shares = append(wire.Shares, encoded)
	}
	for _, table := range digest.Tables {
		wire.Tables = append(wire.Tables, encodeTable(table))
	}
	if digest.Sums != nil {
		wire.Sums = encodeSums(digest.Sums)
	}
	for server, load := range digest.Loads {
		wire.Loads = append(wire.Loads, wireWork{Server: server, Runs: load.Runs, Reading: load.Reading, Sent: load.Sent})
	}
	if group := digest.Group; group != nil {
		wire.Group = &wireGroup{Number: group.Number, Whole: group.Whole}
		wire.Group.Loads, wire.Group.Models = encodeShare(group.Share)
	}
	if digest.Owners != nil {
		wire.Owners = encodeOwners(digest.Owners)
	}
	for _, reported := range digest.Reported {
		wire.Reported = append(wire.Reported, wireReported{Server: reported.Server, Born: reported.Born, Holdings: reported.Holdings})
	}
	if digest.Usage != nil {
		wire.Usage = encodeUsage(digest.Usage)
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
		wire.Servers = append(wire.Servers, wireSum{Server: server, Runs: sum.Runs, Reading: sum.Reading, Adapters: sum.Adapters})
	}
	models := names{}
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
			decoded.Uses[platformapi.Adapter{Model: named(wire.Models, use.Model), Name: use.Named}] = use.Count
		}
		sums.Uses = append(sums.Uses, decoded)
	}
	return sums
}

func decodeDigest(wire *wireDigest) *Delta {
	digest := &Delta{Store: wire.Store}
	for _, share := range wire.Shares {
		digest.Shares = append(digest.Shares, DaemonShare{
			Name: share.Name, Incarnation: share.Incarnation, Number: share.Number, Share: decodeShare(share.Loads, share.Models),
		})
	}
	for _, table := range wire.Tables {
		digest.Tables = append(digest.Tables, decodeTable(table))
	}
	if wire.Sums != nil {
		digest.Sums = decodeSums(wire.Sums)
	}
	if len(wire.Loads) > 0 {
		digest.Loads = make(map[string]ServerLoad, len(wire.Loads))
	}
	for _, work := range wire.Loads {
		digest.Loads[work.Server] = ServerLoad{Load: inflight.Load{Runs: work.Runs, Reading: work.Reading}, Sent: work.Sent}
	}
	if group := wire.Group; group != nil {
		digest.Group = &GroupShare{Number: group.Number, Whole: group.Whole, Share: decodeShare(group.Loads, group.Models)}
	}
	if wire.Owners != nil {
		digest.Owners = decodeOwners(wire.Owners)
	}
	for _, reported := range wire.Reported {
		digest.Reported = append(digest.Reported, ServerReport{Server: reported.Server, Born: reported.Born, Holdings: reported.Holdings})
	}
	if wire.Usage != nil {
		digest.Usage = decodeUsage(wire.Usage)
	}
	return digest
}

// names gives each name a number.
type names struct {
	list []string
}

func (names *names) index(name string) int {
	if at := slices.Index(names.list, name); at >= 0 {
		return at
	}
	names.list = append(names.list, name)
	return len(names.list) - 1
}

// named returns the name of a number, or none for a number that was not given.
func named(list []string, index int) string {
	if index < 0 || index >= len(list) {
		return ""
	}
	return list[index]
}

func encodeShare(share inflight.Share) ([]wireLoad, []string) {
	models := names{}
	at := make(map[string]int, len(share.Loads))
	loads := make([]wireLoad, 0, len(share.Loads))
	for server, load := range share.Loads {
		at[server] = len(loads)
		loads = append(loads, wireLoad{Server: server, Runs: load.Runs, Reading: load.Reading})
	}
	for use, count := range share.Uses {
		index, ok := at[use.Server]
		if !ok {
			continue // a use without work: no share has one
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
			adapter := platformapi.Adapter{Model: named(models, use.Model), Name: use.Named}
			share.Uses[inflight.Use{Server: load.Server, Adapter: adapter}] = use.Count
		}
	}
	return share
}

func encodeTable(table fleet.Table) wireTable {
	models := names{list: slices.Clone(table.Models)}
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

// Decode reads the bytes of a message.
func Decode(encoded []byte) (Message, error) {
	var wire wireMessage
	if err := cbor.Unmarshal(encoded, &wire); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	message := Message{Pull: wire.Pull, Items: wire.Items, Warnings: decodeWarnings(wire.Warnings)}
	if wire.Update != nil {
		message.Update = decodeUpdate(wire.Update)
		message.Update.Era = wire.Era
	}
	if wire.Digest != nil {
		message.Delta = decodeDigest(wire.Digest)
	}
	if want := wire.Want; want != nil {
		message.AdapterRequest = &AdapterRequest{
			Server: want.Server, Adapter: platformapi.Adapter{Model: want.Model, Name: want.Named}, Version: want.Version,
			Rank: want.Rank, Left: clock.Millis(want.Left), Absent: want.Absent,
		}
	}
	return message, nil
}

func decodeUpdate(wire *wireUpdate) *Update {
	update := &Update{
		Status: membership.Status{
			Record: decodeRecord(wire.Self), Role: topology.Role(wire.Role), Hub: wire.Hub, Wants: wire.Wants,
			Interval: clock.Millis(wire.Interval), Revision: wire.Revision, Version: wire.Version, Orderers: wire.Orderers,
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
		adapter := platformapi.Adapter{Model: named(wire.Models, slot.Model), Name: slot.Named}
		table.Slots = append(table.Slots, fleet.Slot{Adapter: adapter, Version: slot.Version, Coming: slot.Coming, Queued: slot.Queued})
	}
	return table
}
