package audit_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/outcome"
)

func newTrail(changes, refusals int) *audit.Trail {
	return audit.New(audit.Options{Daemon: "entry-1", Changes: changes, Refusals: refusals}, slog.New(slog.DiscardHandler))
}

func refusal(request string, reason outcome.Reason) outcome.Record {
	return outcome.Record{Request: request, At: 5, Outcome: outcome.Refused(reason, 0)}
}

func TestRefusalsDoNotEvictChanges(t *testing.T) {
	trail := newTrail(4, 4)
	trail.AddChange(effect.Audit{At: 1, Kind: effect.OwnershipClaimed, Object: "runner-1"})
	for i := range 100 {
		trail.AddRefusal(refusal(strconv.Itoa(i), outcome.NoRule))
	}
	page := trail.Read(audit.Filter{})
	require.Len(t, page.Events, 5)
	require.Equal(t, effect.OwnershipClaimed, page.Events[0].Kind)
	require.Equal(t, "99", page.Events[4].Object)
	require.True(t, page.Missed)
	require.Equal(t, uint64(101), page.Next)
}

func TestRecordIsFoundUntilEvicted(t *testing.T) {
	trail := newTrail(4, 2)
	trail.AddRefusal(refusal("a", outcome.NoRule))
	trail.AddRefusal(refusal("a", outcome.NoEngine))
	trail.AddRefusal(refusal("b", outcome.NoRule)) // evicts the first event of a
	found, ok := trail.FindRecord("a")
	require.True(t, ok)
	require.Equal(t, outcome.NoEngine, found.Outcome.Reason)
	trail.AddRefusal(refusal("c", outcome.NoRule))
	_, ok = trail.FindRecord("a")
	require.False(t, ok)
}

func TestFilter(t *testing.T) {
	trail := newTrail(8, 8)
	trail.AddChange(effect.Audit{At: 1, Kind: effect.AdapterLoaded, Object: "runner-1/letters@2"})
	trail.AddChange(effect.Audit{At: 2, Kind: effect.AdapterEvicted, Object: "runner-1/quotes@1"})
	trail.AddChange(effect.Audit{At: 3, Kind: effect.AdapterLoaded, Object: "runner-2/quotes@1"})
	cases := []struct {
		name   string
		filter audit.Filter
		want   []uint64
	}{
		{"all", audit.Filter{}, []uint64{1, 2, 3}},
		{"kind", audit.Filter{Kind: effect.AdapterLoaded}, []uint64{1, 3}},
		{"object", audit.Filter{Object: "quotes@1"}, []uint64{2, 3}},
		{"since", audit.Filter{Since: 3}, []uint64{3}},
		{"after", audit.Filter{After: 1, Limit: 1}, []uint64{2}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			var got []uint64
			for _, event := range trail.Read(each.filter).Events {
				got = append(got, event.Sequence)
			}
			require.Equal(t, each.want, got)
		})
	}
	require.Equal(t, uint64(2), trail.Read(audit.Filter{After: 1, Limit: 1}).Next)
}

func TestWaitReturnsNextMatch(t *testing.T) {
	trail := newTrail(8, 8)
	pages := make(chan audit.Page)
	go func() { pages <- trail.Wait(t.Context(), audit.Filter{Kind: effect.LoadFailed}) }()
	trail.AddChange(effect.Audit{Kind: effect.AdapterLoaded})
	trail.AddChange(effect.Audit{Kind: effect.LoadFailed, Object: "runner-1"})
	require.Equal(t, "runner-1", (<-pages).Events[0].Object)

	ended, end := context.WithCancel(t.Context())
	end()
	require.Empty(t, trail.Wait(ended, audit.Filter{Kind: effect.PauseDetected}).Events)
}

// ended returns a cancelled context, with which Run writes the queued lines and
// returns.
func ended(t *testing.T) context.Context {
	ctx, end := context.WithCancel(t.Context())
	end()
	return ctx
}

func TestEventIsOneLine(t *testing.T) {
	var out bytes.Buffer
	trail := audit.New(audit.Options{Changes: 1, Refusals: 1, Pending: 1}, slog.New(slog.NewJSONHandler(&out, nil)))
	trail.AddRefusal(refusal("r-1", outcome.QueueFull))
	require.NoError(t, trail.Run(ended(t)))
	var line struct {
		Kind    string
		Request string
		Record  outcome.Record
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "RequestRefused", line.Kind)
	require.Equal(t, outcome.QueueFull, line.Record.Outcome.Reason)
}

// TestFullQueueDropsLinesOnly adds more events than the queue holds while no line
// is written, as if the collector had stopped reading. The events stay in memory.
func TestFullQueueDropsLinesOnly(t *testing.T) {
	var out bytes.Buffer
	trail := audit.New(audit.Options{Changes: 8, Refusals: 8, Pending: 2}, slog.New(slog.NewJSONHandler(&out, nil)))
	for range 5 {
		trail.AddChange(effect.Audit{Kind: effect.AdapterLoaded})
	}
	require.Equal(t, uint64(3), trail.Dropped())
	require.Len(t, trail.Read(audit.Filter{}).Events, 5)
	require.NoError(t, trail.Run(ended(t)))
	require.Equal(t, 2, bytes.Count(out.Bytes(), []byte("\n")))
}
