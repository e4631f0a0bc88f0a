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

// TestDrainBeginsAtOnce drains a daemon whose workers have not begun. It must
// not pass for idle before its node knows that it leaves: it would end ahead of
// its peers' last messages.
func TestDrainBeginsAtOnce(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	leaving := daemon.New(t.Context(), daemon.Options{
		Node: node.DefaultOptions(), Log: log, Audit: audit.New(audit.Options{}, log),
		Observer: metrics.NewObserver(metrics.New()), Now: clock.System,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	leaving.Drain(ctx)
	require.True(t, leaving.Status().Draining)
}
