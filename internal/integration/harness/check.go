package harness

import (
	"strings"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/standin/modelengine"
)

// LedgerEntries returns the ledger entries of a call at all engines.
func (testSite *Site) LedgerEntries(call Call) []modelengine.LedgerEntry {
	var found []modelengine.LedgerEntry
	for _, engine := range testSite.Engines {
		for _, entry := range engine.Ledger() {
			if entry.Prompt == call.Prompt {
				found = append(found, entry)
			}
		}
	}
	return found
}

// CheckResult checks the result of a call against the engines' ledgers.
func (testSite *Site) CheckResult(call Call, result Result) {
	testSite.T.Helper()
	t, entries := testSite.T, testSite.LedgerEntries(call)
	switch result.Kind {
	case outcome.NotRun:
		require.Empty(t, entries, "the result says not run, but an engine ran it: %+v", result)
	case outcome.Answered:
		require.Equal(t, call.expectedText(), result.Text, "the answer differs from the expected text")
		require.Condition(t, func() bool { return completed(entries, call.Model) }, "the result says answered, ledger: %+v", entries)
	default:
		require.True(t, strings.HasPrefix(call.expectedText(), result.Text), "text of another answer: %q", result.Text)
	}
	if call.Key != "" {
		require.LessOrEqual(t, len(entries), 1, "a call with an idempotency key ran twice: %+v", entries)
	}
	for _, entry := range entries {
		require.Equal(t, call.Model, entry.Model)
	}
}

func completed(entries []modelengine.LedgerEntry, model string) bool {
	for _, entry := range entries {
		if entry.Ended == modelengine.Complete && entry.Served == model {
			return true
		}
	}
	return false
}

// CheckEngines checks that no adapter was unloaded while a run used it.
func (testSite *Site) CheckEngines() {
	testSite.T.Helper()
	for name, engine := range testSite.Engines {
		for _, entry := range engine.Ledger() {
			require.False(testSite.T, entry.Violated, "engine %s: adapter unloaded while in use: %+v", name, entry)
		}
	}
}
