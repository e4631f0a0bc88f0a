package peers

import (
	"math"

	"teaselmoor/internal/direct/quota"
)

type wireUsage struct {
	_           struct{} `cbor:",toarray"`
	Scope       int
	Incarnation int64
	Daemons     int
	Readings    []wireReading
}

type wireReading struct {
	_                     struct{} `cbor:",toarray"`
	Account               string
	Number, Total, Recent int64 // units, rounded to integers
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
