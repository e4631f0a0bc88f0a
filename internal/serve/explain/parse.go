package explain

import (
	"encoding/json"

	"github.com/pkg/errors"

	"teaselmoor/internal/decide/outcome"
)

// Parse reads a decision record from JSON text. The text may be the record itself, an error
// body as received by a caller, an event of the audit trail, or a line of the log.
func Parse(text []byte) (outcome.Record, error) {
	var carrier struct{ Record *outcome.Record }
	if err := json.Unmarshal(text, &carrier); err != nil {
		return outcome.Record{}, errors.Wrap(err, "read decision record")
	}
	if carrier.Record != nil {
		return *carrier.Record, nil
	}
	var record outcome.Record
	if err := json.Unmarshal(text, &record); err != nil {
		return outcome.Record{}, errors.Wrap(err, "read decision record")
	}
	if record.Request == "" || record.Outcome.Kind == "" {
		return outcome.Record{}, errors.New("read decision record: the text holds none")
	}
	return record, nil
}
