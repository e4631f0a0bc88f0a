package harness

import (
	"strings"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/standin/modelengine"
)

// Ran returns the ledger entries of a call, over all engines.
func (running *Site) Ran(call Call) []modelengine.LedgerEntry {
	var found []modelengine.LedgerEntry
	for _, engine := range running.Engines {
		for _, entry := range engine.Ledger() {
			if entry.Prompt == call.Prompt {
				found = append(found, entry)
			}
		}
	}
	return found
}

// Judge holds what a caller was told against the ledgers.
func (running *Site) Judge(call Call, told Told) {
	running.T.Helper()
	t, ran := running.T, running.Ran(call)
	switch told.Kind {
	case outcome.NotRun:
		require.Empty(t, ran, "told not run: %+v", told)
	case outcome.Answered:
		require.Equal(t, call.whole(), told.Text, "the whole answer")
		require.Condition(t, func() bool { return completed(ran, call.Model) }, "told answered, ran: %+v", ran)
	default:
		require.True(t, strings.HasPrefix(call.whole(), told.Text), "no word of another answer: %q", told.Text)
	}
	if call.Key != "" {
		require.LessOrEqual(t, len(ran), 1, "not repeatable, ran: %+v", ran)
	}
	for _, entry := range ran {
		require.Equal(t, call.Model, entry.Model)
	}
}

func completed(ran []modelengine.LedgerEntry, model string) bool {
	for _, entry := range ran {
		if entry.Ended == modelengine.Complete && entry.Served == model {
			return true
		}
	}
	return false
}

// JudgeEngines requires that no adapter was unloaded while a run used it.
func (running *Site) JudgeEngines() {
	running.T.Helper()
	for name, engine := range running.Engines {
		for _, entry := range engine.Ledger() {
			require.False(running.T, entry.Violated, "engine %s: unloaded in use: %+v", name, entry)
		}
	}
}
