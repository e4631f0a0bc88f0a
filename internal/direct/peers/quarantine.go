package peers

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/content"
	"teaselmoor/internal/direct/quarantine"
)

func encodeQuarantine(records []quarantine.Record) []wireQuarantine {
	var wire []wireQuarantine
	for _, record := range records {
		wire = append(wire, wireQuarantine{Content: record.Content[:], Number: record.Number, Servers: record.Servers, Age: int64(record.Age)})
	}
	return wire
}

// decodeQuarantine leaves out a record whose content has another length.
func decodeQuarantine(wire []wireQuarantine) []quarantine.Record {
	var records []quarantine.Record
	for _, each := range wire {
		if len(each.Content) != len(content.ID{}) {
			continue
		}
		records = append(records, quarantine.Record{
			Content: content.ID(each.Content), Number: each.Number, Servers: each.Servers, Age: clock.Millis(each.Age),
		})
	}
	return records
}
