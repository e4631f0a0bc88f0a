package peers

import (
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

type wireDelta struct {
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

type wireServerLoad struct {
	_                   struct{} `cbor:",toarray"`
	Server              string
	Runs, Reading, Sent int
}

type wireServerReport struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	Born     int64
	Holdings []platformapi.Holding
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
