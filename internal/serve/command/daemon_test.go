package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/command"
	"teaselmoor/internal/serve/program"
	"teaselmoor/internal/standin/site"
)

const waitTimeout = 30 * time.Second

// startDaemon runs one daemon on a site of stand-ins until the test ends. It
// returns the site when the daemon is ready.
func startDaemon(t testing.TB) *site.Site {
	t.Helper()
	standIns, stopStandIns := context.WithCancel(context.Background())
	options := site.DefaultOptions()
	options.Daemons = 1
	testSite, err := site.New(standIns, options)
	require.NoError(t, err)
	daemons, stopDaemons := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- program.Serve(daemons, testSite.Settings[0], slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stopDaemons()
		require.NoError(t, <-ended)
		stopStandIns()
		testSite.Wait()
	})
	require.Eventually(t, func() bool {
		return strings.Contains(run(t, "", "status", "-daemon", testSite.Settings[0].OperatorAddress).out, ": ready")
	}, waitTimeout, 10*time.Millisecond)
	return testSite
}

// sendRefused sends a request that the daemon refuses, and returns its id and the
// body of the answer.
func sendRefused(t testing.TB, testSite *site.Site) (string, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+testSite.Settings[0].CallerAddress+callers.CompletionsPath, strings.NewReader(`{"model":"nothing@1"}`))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+site.CallerKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	require.NoError(t, err)
	return response.Header.Get(callers.RequestIDHeader), body.String()
}

// TestReadCommands runs the commands that read from a daemon: status, audit and
// explain.
func TestReadCommands(t *testing.T) {
	testSite := startDaemon(t)
	address := testSite.Settings[0].OperatorAddress
	request, body := sendRefused(t, testSite)

	status := run(t, "", "status", "-daemon", address)
	require.Contains(t, status.out, "configuration version 1")
	require.Contains(t, status.out, "engine-2")
	require.True(t, json.Valid([]byte(run(t, "", "status", "-json", "-daemon", address).out)))

	audited := run(t, "", "audit", "-daemon", address, "-kind", "RequestRefused")
	require.Equal(t, command.ExitDone, audited.code, audited.err)
	require.Contains(t, audited.out, "RequestRefused "+request+" because of UnknownModel")
	require.NotContains(t, audited.out, "ConfigAccepted")
	require.Contains(t, run(t, "", "audit", "-daemon", address).out, "ConfigAccepted")
	require.Empty(t, run(t, "", "audit", "-daemon", address, "-since", "2100-01-01T00:00:00Z").out)

	line := run(t, "", "audit", "-json", "-daemon", address, "-object", request).out
	want := run(t, "", "explain", "-daemon", address, "-request", request, "-audience", "regulator")
	require.Equal(t, command.ExitDone, want.code, want.err)
	require.Contains(t, want.out, "under version 1 of the published configuration")
	require.Equal(t, want, run(t, line, "explain", "-audience", "regulator"), "from the audit trail")
	require.Equal(t, want, run(t, "", "explain", "-audience", "regulator", writeFile(t, body)), "from the caller's answer")

	require.Equal(t, command.ExitNotFound, run(t, "", "explain", "-daemon", address, "-request", "other").code)
	require.Equal(t, command.ExitMistakes, run(t, "{}", "explain").code)
}

// TestAuditFollow checks that audit -follow prints an event that happens after the
// command has started.
func TestAuditFollow(t *testing.T) {
	testSite := startDaemon(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	lines := make(chan string, 1)
	codes := make(chan int, 1)
	go func() {
		codes <- command.Run(ctx, []string{
			"teaselmoor", "audit", "-follow", "-kind", "RequestRefused", "-daemon", testSite.Settings[0].OperatorAddress,
		}, strings.NewReader(""), lineWriter(lines), &bytes.Buffer{})
	}()
	request, _ := sendRefused(t, testSite)
	require.Contains(t, <-lines, request)
	stop()
	require.Equal(t, command.ExitDone, <-codes)
}

// lineWriter sends each line that is written to a channel.
type lineWriter chan string

func (lines lineWriter) Write(text []byte) (int, error) {
	lines <- string(text)
	return len(text), nil
}
