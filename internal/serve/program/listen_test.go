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

// TestConnectionLimit opens as many connections as the settings allow. The next
// one must be served only after one of them is closed.
func TestConnectionLimit(t *testing.T) {
	standIns, stopStandIns := context.WithCancel(context.Background())
	options := site.DefaultOptions()
	options.Daemons = 1
	testSite, err := site.New(standIns, options)
	require.NoError(t, err)
	entry := testSite.Settings[0]
	entry.Callers.MaxConnections = 1
	entry.Operators.Profiling = true
	daemons, stopDaemons := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- program.Serve(daemons, entry, slog.New(slog.DiscardHandler)) }()
	defer func() {
		stopDaemons()
		require.NoError(t, <-ended)
		stopStandIns()
		testSite.Wait()
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

// TestAddressInUse starts a daemon whose operator address is already in use. Serve
// must return an error.
func TestAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	standIns, stopStandIns := context.WithCancel(context.Background())
	testSite, err := site.New(standIns, site.DefaultOptions())
	require.NoError(t, err)
	defer func() { stopStandIns(); testSite.Wait() }()
	entry := testSite.Settings[0]
	entry.OperatorAddress = listener.Addr().String()
	require.ErrorContains(t, program.Serve(t.Context(), entry, slog.New(slog.DiscardHandler)), "address already in use")
}
