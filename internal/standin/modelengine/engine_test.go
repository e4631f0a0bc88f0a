package modelengine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	protocol "teaselmoor/internal/backend/engine"
	"teaselmoor/internal/standin/modelengine"
)

const model = "review@1"

// call sends a call with a fencing number; the run id is derived from the number.
func call(t *testing.T, engine http.Handler, method, path, body string, fence int) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set(protocol.FenceHeader, fmt.Sprint(fence))
	request.Header.Set(protocol.RunHeader, fmt.Sprint("run-", fence))
	recorder := httptest.NewRecorder()
	engine.ServeHTTP(recorder, request)
	return recorder
}

// sendOrder sends an order to load or unload the adapter and returns the status.
func sendOrder(t *testing.T, engine http.Handler, path string, fence int) int {
	t.Helper()
	return call(t, engine, http.MethodPost, path, `{"lora_name":"`+model+`"}`, fence).Code
}

// startRun starts a run that makes no progress, because Engine.Run is not called.
func startRun(t *testing.T, engine *modelengine.Engine, fence int) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		call(t, engine, http.MethodPost, "/v1/completions", `{"model":"`+model+`","prompt":"hello","stream":true}`, fence)
	}()
	require.Eventually(t, func() bool { return len(engine.Ledger()) > 0 }, time.Minute, time.Millisecond)
	t.Cleanup(func() { engine.Restart(); <-ended })
}

// TestUnloadInUse checks that an order to unload an adapter that a run uses is executed
// only by an engine with the option for it, which then marks the run as violated.
func TestUnloadInUse(t *testing.T) {
	for _, obeys := range []bool{false, true} {
		t.Run(fmt.Sprintf("obeys=%v", obeys), func(t *testing.T) {
			options := modelengine.DefaultOptions()
			options.AllowsUnloadInUse = obeys
			engine := modelengine.New(options)
			require.Equal(t, http.StatusOK, sendOrder(t, engine, protocol.LoadPath, 1))
			startRun(t, engine, 1)
			status := sendOrder(t, engine, protocol.UnloadPath, 1)
			require.Equal(t, obeys, status == http.StatusOK)
			require.Equal(t, obeys, engine.Ledger()[0].Violated)
		})
	}
}

// TestFencing checks that only an engine that checks fencing numbers refuses an order
// with an old one.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			options := modelengine.DefaultOptions()
			options.ChecksFencing = checks
			engine := modelengine.New(options)
			require.Equal(t, http.StatusOK, sendOrder(t, engine, protocol.LoadPath, 2))
			status := sendOrder(t, engine, protocol.UnloadPath, 1)
			require.Equal(t, checks, status == http.StatusPreconditionFailed)
		})
	}
}

// TestCacheEventsHaveGaps checks that a lost cache event is not returned and that the
// repeated use of a prefix makes no event.
func TestCacheEventsHaveGaps(t *testing.T) {
	options := modelengine.DefaultOptions()
	options.EventLossInterval = 2
	options.CachedPrefixes = 1
	engine := modelengine.New(options)
	require.Equal(t, http.StatusOK, sendOrder(t, engine, protocol.LoadPath, 1))
	startRun(t, engine, 1) // stores the prefix: event 1
	startRun(t, engine, 2) // same prefix: no event
	var events []modelengine.CacheEvent
	recorder := call(t, engine, http.MethodGet, modelengine.EventsPath, "", 2)
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &events))
	require.Len(t, events, 1)
	require.True(t, events[0].Stored)
}
