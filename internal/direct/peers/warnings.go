package peers

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/demand"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/quarantine"
	"teaselmoor/internal/direct/throttle"
)

// The wire types of warnings are encoded as arrays, except wireWarnings, a map to which fields
// can be added.
type (
	wireWarnings struct {
		Crashes  []wireCrash   `cbor:",omitempty"`
		Findings []wireFinding `cbor:",omitempty"`
		Limits   []wireLimit   `cbor:",omitempty"`
		Leaving  []wireLeaving `cbor:",omitempty"`
		Speeds   []wireSpeed   `cbor:",omitempty"`
		Demand   []wireDemand  `cbor:",omitempty"`
	}
	wireLeaving struct {
		_      struct{} `cbor:",toarray"`
		Server string
		Born   int64
	}
	wireCrash struct {
		_         struct{} `cbor:",toarray"`
		Key       []byte
		Number    int64
		Servers   []string
		Age       int64
		Answered  bool
		AnswerAge int64
	}
	wireFinding struct {
		_            struct{} `cbor:",toarray"`
		Name, Server string
		Keys         [][]byte
		Weak         bool
		Others       int
		Age          int64
		RequestedAge int64
	}
	wireDemand struct {
		_                   struct{} `cbor:",toarray"`
		Daemon              string
		Incarnation, Number int64
		Requests            int
		Loan                float64
		LoanTo              string
		LoanIncarnation     int64
		LoanNumber          int64
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
	wire.Crashes, wire.Findings = encodeQuarantine(warnings.Quarantine)
	for _, limit := range warnings.Limits {
		wire.Limits = append(wire.Limits, wireLimit{Server: limit.Server, Born: limit.StartedAt, Number: limit.Number, Limited: limit.Limited, Rate: limit.Rate})
	}
	for _, notice := range warnings.Leaving {
		wire.Leaving = append(wire.Leaving, wireLeaving{Server: notice.Server, Born: notice.StartedAt})
	}
	for _, report := range warnings.Demand {
		wire.Demand = append(wire.Demand, wireDemand{Daemon: report.Daemon, Incarnation: report.Incarnation, Number: report.Number, Requests: report.Requests, Loan: report.Loan, LoanTo: report.LoanTo, LoanIncarnation: report.LoanIncarnation, LoanNumber: report.LoanNumber})
	}
	return wire
}

// decodeWarnings returns the warnings of a message, nil if it has none.
func decodeWarnings(wire *wireWarnings) *Warnings {
	if wire == nil {
		return nil
	}
	warnings := &Warnings{Speeds: decodeSpeeds(wire.Speeds)}
	warnings.Quarantine = decodeQuarantine(wire.Crashes, wire.Findings)
	for _, each := range wire.Limits {
		warnings.Limits = append(warnings.Limits, throttle.ServerLimit{Server: each.Server, StartedAt: each.Born, Number: each.Number, Limited: each.Limited, Rate: each.Rate})
	}
	for _, each := range wire.Leaving {
		warnings.Leaving = append(warnings.Leaving, fleet.DrainNotice{Server: each.Server, StartedAt: each.Born})
	}
	for _, each := range wire.Demand {
		warnings.Demand = append(warnings.Demand, demand.Report{Daemon: each.Daemon, Incarnation: each.Incarnation, Number: each.Number, Requests: each.Requests, Loan: each.Loan, LoanTo: each.LoanTo, LoanIncarnation: each.LoanIncarnation, LoanNumber: each.LoanNumber})
	}
	return warnings
}

func encodeQuarantine(changes quarantine.Changes) (crashes []wireCrash, findings []wireFinding) {
	for _, record := range changes.Records {
		crashes = append(crashes, wireCrash{
			Key: record.Key[:], Number: record.Number, Servers: record.Servers, Age: int64(record.Age),
			Answered: record.Answered, AnswerAge: int64(record.AnswerAge),
		})
	}
	for _, finding := range changes.Findings {
		wire := wireFinding{Name: finding.Name, Server: finding.Server, Weak: finding.Weak, Others: finding.Others, Age: int64(finding.Age), RequestedAge: int64(finding.RequestedAge)}
		for _, key := range finding.Keys {
			wire.Keys = append(wire.Keys, key[:])
		}
		findings = append(findings, wire)
	}
	return crashes, findings
}

// decodeQuarantine skips records whose key has the wrong length, and such keys of findings.
func decodeQuarantine(crashes []wireCrash, findings []wireFinding) quarantine.Changes {
	var changes quarantine.Changes
	for _, each := range crashes {
		if len(each.Key) != len(content.ID{}) {
			continue
		}
		changes.Records = append(changes.Records, quarantine.Record{
			Key: content.ID(each.Key), Number: each.Number, Servers: each.Servers, Age: clock.Millis(each.Age),
			Answered: each.Answered, AnswerAge: clock.Millis(each.AnswerAge),
		})
	}
	for _, each := range findings {
		finding := quarantine.Finding{Name: each.Name, Server: each.Server, Weak: each.Weak, Others: each.Others, Age: clock.Millis(each.Age), RequestedAge: clock.Millis(each.RequestedAge)}
		for _, key := range each.Keys {
			if len(key) == len(content.ID{}) {
				finding.Keys = append(finding.Keys, content.ID(key))
			}
		}
		changes.Findings = append(changes.Findings, finding)
	}
	return changes
}
