package program_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/serve/operators"
	"teaselmoor/internal/serve/program"
	"teaselmoor/internal/standin/site"
)

// TestConnectionsAreBounded opens as many connections as the settings allow; the
// next one is served once another is closed.
func TestConnectionsAreBounded(t *testing.T) {
	standIns, endStandIns := context.WithCancel(context.Background())
	options := site.DefaultOptions()
	options.Daemons = 1
	running, err := site.New(standIns, options)
	require.NoError(t, err)
	entry := running.Settings[0]
	entry.Callers.MaxConnections = 1
	entry.Operators.Profiling = true
	daemons, endDaemons := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- program.Serve(daemons, entry, slog.New(slog.DiscardHandler)) }()
	defer func() {
		endDaemons()
		require.NoError(t, <-ended)
		endStandIns()
		running.Wait()
	}()
	waitFor(t, func() bool { return isReady(entry) })
	status, _ := fetch(t, entry, operators.ProfilePath)
	require.Equal(t, http.StatusOK, status)

	first, err := net.Dial("tcp", entry.CallerAddress)
	require.NoError(t, err)
	answered := make(chan int)
	go func() {
		response, err := http.Get("http://" + entry.CallerAddress + "/none")
		if err != nil {
			answered <- 0
			return
		}
		_ = response.Body.Close()
		answered <- response.StatusCode
	}()
	select {
	case status := <-answered:
		t.Errorf("a connection above the limit was served: %d", status)
	default:
	}
	require.NoError(t, first.Close())
	require.Equal(t, http.StatusNotFound, <-answered)
}

// TestTakenAddressStopsTheStart asks for an address that something listens on.
func TestTakenAddressStopsTheStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	standIns, endStandIns := context.WithCancel(context.Background())
	running, err := site.New(standIns, site.DefaultOptions())
	require.NoError(t, err)
	defer func() { endStandIns(); running.Wait() }()
	entry := running.Settings[0]
	entry.OperatorAddress = taken.Addr().String()
	require.ErrorContains(t, program.Serve(t.Context(), entry, slog.New(slog.DiscardHandler)), "address already in use")
}
