package daemon_test

import (
	"log/slog"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/invariant"
	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/metrics"
)

const brokenVariable = "TEASELMOOR_TEST_BROKEN"

// TestBrokenInvariantStopsProcess breaks an invariant in a step that is started by a
// caller's request. Although an HTTP server recovers the panics of its handlers, the process
// must exit and log which invariant was broken.
func TestBrokenInvariantStopsProcess(t *testing.T) {
	if os.Getenv(brokenVariable) != "" {
		breakInvariant(t)
		return
	}
	command := exec.Command(os.Args[0], "-test.run=^TestBrokenInvariantStopsProcess$")
	command.Env = append(os.Environ(), brokenVariable+"=1")
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit, "%s", out)
	require.Equal(t, 6, exit.ExitCode(), "%s", out)
	require.Contains(t, string(out), "two and two are four: five")
}

// breakInvariant runs in a process of its own. It recovers panics as the HTTP server does.
func breakInvariant(t *testing.T) {
	defer func() { _ = recover() }()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	broken := daemon.New(t.Context(), daemon.Options{
		Node: node.DefaultOptions(), Log: log, Audit: audit.New(audit.Options{}, log),
		Observer: metrics.NewObserver(metrics.New()),
		Now: func() clock.Millis {
			invariant.Check(false, "two and two are four", "five")
			return 0
		},
	})
	broken.StartRequest(node.RequestArrived{}, &daemon.PendingRequest{})
}
