package peers

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/topology"
)

type wireUpdate struct {
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

type wireRecord struct {
	_                         struct{} `cbor:",toarray"`
	Name, Address, DataCentre string
	Capacity                  int
	Incarnation, Number       int64
	State                     int
}

type wireClaim struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Fence, Idle int64
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
