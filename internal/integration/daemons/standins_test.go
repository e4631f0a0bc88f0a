package daemons_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/loopback"
	"teaselmoor/internal/standin/modelengine"
)

// ledgerOf reads the ledger of an engine that runs as a process.
func ledgerOf(admin string) []modelengine.LedgerEntry {
	response, err := http.Get("http://" + admin + "/ledger")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var ledger []modelengine.LedgerEntry
	_ = json.NewDecoder(response.Body).Decode(&ledger)
	return ledger
}

// TestEngineKilled runs engine and weight store as processes and kills the
// engine in the middle of an answer. What the caller has been told of it is
// unknown; the engine that comes back at the same address serves.
func TestEngineKilled(t *testing.T) {
	t.Parallel()
	addresses, err := loopback.Addresses(3)
	require.NoError(t, err)
	harness.StandIns(t, "weight-store", "-address", addresses[2], "-span", "20ms")
	arguments := []string{
		"engine", "-address", addresses[0], "-admin", addresses[1], "-store", addresses[2],
		"-step", "5ms", "-checks-fencing", "-obeys-unload",
	}
	engine := harness.StandIns(t, arguments...)
	running := harness.Prepare(t, oneEngine())
	running.Config.Engines[0].Address = addresses[0]
	running.Config.Engines[0].ChecksFencing = true
	require.NoError(t, running.Publish())
	for _, daemon := range running.Daemons {
		daemon.Start()
	}
	for _, daemon := range running.Daemons {
		daemon.WaitReady()
	}
	_, entry := ownerAndEntry(running)
	daemon, model := running.Daemons[entry], running.AdapterAddress("quote")
	var open *harness.Open
	running.WaitFor("an answer that begins", func() bool {
		open, _ = daemon.Begin(harness.NewCall(model, longTokens).Streamed().Keyed())
		return open != nil && open.Streams()
	})
	readSome(open)
	require.Len(t, ledgerOf(addresses[1]), 1)
	engine.Kill()
	told := open.Finish()
	require.Equal(t, outcome.Unknown, told.Kind, "%+v", told)
	require.True(t, strings.HasPrefix(told.Text, model+"#0 "), told.Text)
	<-engine.Exited()
	harness.StandIns(t, arguments...)
	running.WaitFor("service again", func() bool {
		return daemon.Do(harness.NewCall(model, 3).Keyed()).Kind == outcome.Answered
	})
	for _, entry := range ledgerOf(addresses[1]) {
		require.NotEqual(t, open.Call.Prompt, entry.Prompt, "not run a second time")
	}
}
