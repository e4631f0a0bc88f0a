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

// ledgerOf reads the ledger of an engine process from its admin address.
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

// TestEngineKilled runs engine and weight store as processes and kills the engine in
// the middle of an answer. The outcome of the call is unknown, and it must not run
// again; an engine that is started at the same address serves new calls.
func TestEngineKilled(t *testing.T) {
	t.Parallel()
	addresses, err := loopback.Addresses(3)
	require.NoError(t, err)
	harness.StartStandIns(t, "weight-store", "-address", addresses[2], "-span", "20ms")
	arguments := []string{
		"engine", "-address", addresses[0], "-admin", addresses[1], "-store", addresses[2],
		"-step", "5ms", "-checks-fencing", "-obeys-unload",
	}
	engine := harness.StartStandIns(t, arguments...)
	testSite := harness.Prepare(t, oneEngineOptions())
	testSite.Config.Engines[0].Address = addresses[0]
	testSite.Config.Engines[0].ChecksFencing = true
	require.NoError(t, testSite.Publish())
	for _, daemon := range testSite.Daemons {
		daemon.Start()
	}
	for _, daemon := range testSite.Daemons {
		daemon.WaitReady()
	}
	_, entry := ownerAndEntry(testSite)
	daemon, model := testSite.Daemons[entry], testSite.AdapterAddress("quote")
	var openCall *harness.OpenCall
	testSite.WaitFor("an answer to begin", func() bool {
		openCall, _ = daemon.Begin(harness.NewCall(model, longTokens).WithStreaming().WithKey())
		return openCall != nil && openCall.IsStreamed()
	})
	readFirstTokens(openCall)
	require.Len(t, ledgerOf(addresses[1]), 1)
	engine.Kill()
	result := openCall.Finish()
	require.Equal(t, outcome.Unknown, result.Kind, "%+v", result)
	require.True(t, strings.HasPrefix(result.Text, model+"#0 "), result.Text)
	<-engine.Exited()
	harness.StartStandIns(t, arguments...)
	testSite.WaitFor("calls to be answered again", func() bool {
		return daemon.Do(harness.NewCall(model, 3).WithKey()).Kind == outcome.Answered
	})
	for _, entry := range ledgerOf(addresses[1]) {
		require.NotEqual(t, openCall.Call.Prompt, entry.Prompt, "the interrupted call ran again")
	}
}
