package peers

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/quarantine"
	"teaselmoor/internal/direct/throttle"
)

// The wire types of warnings are encoded as arrays, except wireWarnings, a map to which fields
// can be added.
type (
	wireWarnings struct {
		Quarantine []wireQuarantine `cbor:",omitempty"`
		Limits     []wireLimit      `cbor:",omitempty"`
		Leaving    []wireLeaving    `cbor:",omitempty"`
		Speeds     []wireSpeed      `cbor:",omitempty"`
	}
	wireLeaving struct {
		_      struct{} `cbor:",toarray"`
		Server string
		Born   int64
	}
	wireQuarantine struct {
		_       struct{} `cbor:",toarray"`
		Content []byte
		Number  int64
		Servers []string
		Age     int64
	}
	wireLimit struct {
		_            struct{} `cbor:",toarray"`
		Server       string
		Born, Number int64
		Limited      bool
		Rate         float64
	}
)

// encodeWarnings returns the wire form of warnings, which may be nil.
func encodeWarnings(warnings *Warnings) *wireWarnings {
	if warnings == nil {
		return nil
	}
	wire := &wireWarnings{Speeds: encodeSpeeds(warnings.Speeds)}
	for _, record := range warnings.Quarantine {
		wire.Quarantine = append(wire.Quarantine, wireQuarantine{Content: record.Content[:], Number: record.Number, Servers: record.Servers, Age: int64(record.Age)})
	}
	for _, limit := range warnings.Limits {
		wire.Limits = append(wire.Limits, wireLimit{Server: limit.Server, Born: limit.StartedAt, Number: limit.Number, Limited: limit.Limited, Rate: limit.Rate})
	}
	for _, notice := range warnings.Leaving {
		wire.Leaving = append(wire.Leaving, wireLeaving{Server: notice.Server, Born: notice.StartedAt})
	}
	return wire
}

// decodeWarnings returns the warnings of a message, nil if it has none. It skips quarantine
// records whose content ID has the wrong length.
func decodeWarnings(wire *wireWarnings) *Warnings {
	if wire == nil {
		return nil
	}
	warnings := &Warnings{Speeds: decodeSpeeds(wire.Speeds)}
	for _, each := range wire.Quarantine {
		if len(each.Content) != len(content.ID{}) {
			continue
		}
		warnings.Quarantine = append(warnings.Quarantine, quarantine.Record{
			Content: content.ID(each.Content), Number: each.Number, Servers: each.Servers, Age: clock.Millis(each.Age),
		})
	}
	for _, each := range wire.Limits {
		warnings.Limits = append(warnings.Limits, throttle.ServerLimit{Server: each.Server, StartedAt: each.Born, Number: each.Number, Limited: each.Limited, Rate: each.Rate})
	}
	for _, each := range wire.Leaving {
		warnings.Leaving = append(warnings.Leaving, fleet.DrainNotice{Server: each.Server, StartedAt: each.Born})
	}
	return warnings
}
