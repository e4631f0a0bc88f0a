package daemon_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/serve/daemon"
	"teaselmoor/internal/serve/metrics"
)

// TestDrainShutsNodeDownFirst drains a daemon whose workers have not been started. If the
// node were asked whether it is idle before it has processed the shutdown, the daemon would
// exit before the last messages of its peers arrive.
func TestDrainShutsNodeDownFirst(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	draining := daemon.New(t.Context(), daemon.Options{
		Node: node.DefaultOptions(), Log: log, Audit: audit.New(audit.Options{}, log),
		Observer: metrics.NewObserver(metrics.New()), Now: clock.System,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	draining.Drain(ctx)
	require.True(t, draining.Status().Draining)
}
