package program_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/operators"
	"teaselmoor/internal/standin/site"
)

// logBuffer collects the log of several daemons.
type logBuffer struct {
	mutex sync.Mutex // guards text
	text  bytes.Buffer
}

func (buffer *logBuffer) Write(text []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.text.Write(text)
}

func (buffer *logBuffer) String() string {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.text.String()
}

// fetch reads a path of a daemon's operator API.
func fetch(t testing.TB, entry settings.Settings, path string) (int, []byte) {
	t.Helper()
	response, err := http.Get("http://" + entry.OperatorAddress + path)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, text
}

// TestRefusalIsRecorded checks that a refused request appears in the caller's
// answer, the audit trail, the decision record, the metrics and the log, and that
// the log holds neither API keys nor prompts.
func TestRefusalIsRecorded(t *testing.T) {
	log := &logBuffer{}
	options := site.DefaultOptions()
	options.LogLevel = "Debug"
	testSite := startLoggedSite(t, options, slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	entry := testSite.Settings[0]
	require.Equal(t, http.StatusOK, post(t, entry, callers.CompletionsPath, "", `{"model":"`+testSite.AdapterAddress("review")+`"}`).status)
	refused := post(t, entry, callers.CompletionsPath, "", `{"model":"nothing@1","prompt":"private words"}`)
	require.Equal(t, "UnknownModel", refused.reason)
	malformed := post(t, entry, callers.CompletionsPath, "", `{"model":17}`)
	require.Equal(t, "BadRequest", malformed.reason)

	_, text := fetch(t, entry, operators.AuditPath+"?"+operators.AuditQuery(audit.Filter{Kind: effect.RequestRefused}, 0).Encode())
	var page audit.Page
	require.NoError(t, json.Unmarshal(text, &page))
	require.Len(t, page.Events, 2)
	require.Equal(t, "UnknownModel", page.Events[0].Cause)
	require.Equal(t, testSite.Config.Callers[0].Name, page.Events[0].Record.Caller)

	_, text = fetch(t, entry, operators.RecordsPath+page.Events[0].Object)
	var record outcome.Record
	require.NoError(t, json.Unmarshal(text, &record))
	require.Equal(t, *page.Events[0].Record, record)
	status, _ := fetch(t, entry, operators.RecordsPath+"other")
	require.Equal(t, http.StatusNotFound, status)

	_, text = fetch(t, entry, operators.MetricsPath)
	require.Contains(t, string(text), `reason="Complete"} 1`)
	require.Contains(t, string(text), `reason="UnknownModel"} 1`)
	require.Contains(t, string(text), `teaselmoor_config_version 1`)

	status, text = fetch(t, entry, operators.AuditPath+"?After=x")
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, string(text), "After")
	status, _ = fetch(t, entry, operators.ProfilePath)
	require.Equal(t, http.StatusNotFound, status, "profiles are off by default")

	waitFor(t, func() bool { return strings.Contains(log.String(), page.Events[1].Object) }) // the audit line contains the request id
	require.Contains(t, log.String(), `"msg":"run ended"`)
	require.NotContains(t, log.String(), site.CallerKey)
	require.NotContains(t, log.String(), "private words")
}

// TestAuditIgnoresLogLevel sets a log level above that of the audit lines. They
// must still be written, and other lines must not: with two daemons, for example those
// about their connections.
func TestAuditIgnoresLogLevel(t *testing.T) {
	log := &logBuffer{}
	options := site.DefaultOptions()
	options.Daemons = 2
	options.LogLevel = "Error"
	startLoggedSite(t, options, slog.New(slog.NewJSONHandler(log, nil)))
	waitFor(t, func() bool { return strings.Contains(log.String(), string(effect.ConfigAccepted)) })
	for line := range strings.Lines(log.String()) {
		require.Contains(t, line, `"msg":"audit"`)
	}
}
