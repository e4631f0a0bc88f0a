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

// do sends one call with a fencing number.
func do(t *testing.T, engine http.Handler, method, path, body string, fence int) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set(protocol.FenceHeader, fmt.Sprint(fence))
	request.Header.Set(protocol.RunHeader, fmt.Sprint("run-", fence))
	recorder := httptest.NewRecorder()
	engine.ServeHTTP(recorder, request)
	return recorder
}

func order(t *testing.T, engine http.Handler, path string, fence int) int {
	t.Helper()
	return do(t, engine, http.MethodPost, path, `{"lora_name":"`+model+`"}`, fence).Code
}

// begin starts a run that makes no progress, because no step is taken.
func begin(t *testing.T, engine *modelengine.Engine, fence int) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		do(t, engine, http.MethodPost, "/v1/completions", `{"model":"`+model+`","prompt":"hello","stream":true}`, fence)
	}()
	require.Eventually(t, func() bool { return len(engine.Ledger()) > 0 }, time.Minute, time.Millisecond)
	t.Cleanup(func() { engine.Restart(); <-ended })
}

// TestUnloadInUse tells an engine to unload the adapter of a run.
func TestUnloadInUse(t *testing.T) {
	for _, obeys := range []bool{false, true} {
		t.Run(fmt.Sprintf("obeys=%v", obeys), func(t *testing.T) {
			options := modelengine.DefaultOptions()
			options.ObeysUnload = obeys
			engine := modelengine.New(options)
			require.Equal(t, http.StatusOK, order(t, engine, protocol.LoadPath, 1))
			begin(t, engine, 1)
			status := order(t, engine, protocol.UnloadPath, 1)
			require.Equal(t, obeys, status == http.StatusOK)
			require.Equal(t, obeys, engine.Ledger()[0].Violated)
		})
	}
}

// TestFencing gives an order with an old fencing number to both kinds of engine.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			options := modelengine.DefaultOptions()
			options.ChecksFencing = checks
			engine := modelengine.New(options)
			require.Equal(t, http.StatusOK, order(t, engine, protocol.LoadPath, 2))
			status := order(t, engine, protocol.UnloadPath, 1)
			require.Equal(t, checks, status == http.StatusPreconditionFailed)
		})
	}
}

// TestCacheEventsHaveGaps reads cache events of which every second one is lost.
func TestCacheEventsHaveGaps(t *testing.T) {
	options := modelengine.DefaultOptions()
	options.EventGap = 2
	options.CachedPrefixes = 1
	engine := modelengine.New(options)
	require.Equal(t, http.StatusOK, order(t, engine, protocol.LoadPath, 1))
	begin(t, engine, 1) // stored: event 1
	begin(t, engine, 2) // the same prefix: none
	var events []modelengine.CacheEvent
	recorder := do(t, engine, http.MethodGet, modelengine.EventsPath, "", 2)
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &events))
	require.Len(t, events, 1)
	require.True(t, events[0].Stored)
}
