package metrics_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/owner"
	"teaselmoor/internal/decide/rollout"
	"teaselmoor/internal/serve/metrics"
)

// text returns the metrics in the text exposition format.
func text(t *testing.T, counters *metrics.Metrics, gauges ...metrics.Gauge) string {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, counters.Write(&out, gauges))
	return out.String()
}

func stream(sequence uint64) ident.StreamID {
	return ident.StreamID{Daemon: "entry-1", Incarnation: 1, Sequence: sequence}
}

// TestRequestAcrossTwoAttempts checks that a request that moves to the stream of a second
// attempt is counted once, and that its durations start at its arrival.
func TestRequestAcrossTwoAttempts(t *testing.T) {
	counters := metrics.New()
	observer := metrics.NewObserver(counters)
	observer.Step(1000, node.RequestArrived{Stream: stream(1)}, nil)
	observer.Step(1010, node.Tick{}, []effect.Effect{effect.Rebind{From: stream(1), To: stream(2)}})
	observer.Step(1040, node.Tick{}, []effect.Effect{effect.ForwardAnswer{Stream: stream(2)}})
	observer.Step(1300, node.Tick{}, []effect.Effect{effect.Answer{
		Stream: stream(2), Outcome: outcome.Done(), Record: outcome.Record{Class: "Urgent"},
	}})
	written := text(t, counters)
	require.Contains(t, written, `teaselmoor_requests_total{class="Urgent",outcome="Answered",reason="Complete"} 1`)
	require.Contains(t, written, `teaselmoor_first_chunk_milliseconds_bucket{class="Urgent",le="20"} 0`)
	require.Contains(t, written, `teaselmoor_first_chunk_milliseconds_bucket{class="Urgent",le="50"} 1`)
	require.Contains(t, written, `teaselmoor_request_milliseconds_sum{class="Urgent",outcome="Answered"} 300`)
	require.Contains(t, written, `teaselmoor_request_milliseconds_bucket{class="Urgent",outcome="Answered",le="+Inf"} 1`)
}

func TestLoadStall(t *testing.T) {
	adapter := ident.Adapter{Name: "letters", Version: "1"}
	start := func(sequence uint64) []effect.Effect {
		return []effect.Effect{effect.StartRun{
			Stream: stream(sequence), Engine: "runner-1", Request: message.Request{Adapter: adapter, Class: config.Routine},
		}}
	}
	submit := func(sequence uint64) node.Event {
		return node.MessageReceived{Message: message.Submit{Stream: stream(sequence)}}
	}
	counters := metrics.New()
	observer := metrics.NewObserver(counters)
	observer.Step(1000, submit(1), nil)
	observer.Step(1500, node.LoadEnded{Engine: "runner-1", Adapter: adapter}, start(1))
	observer.Step(1600, submit(2), start(2)) // the adapter is loaded already, so there is no stall
	written := text(t, counters)
	require.Contains(t, written, `teaselmoor_load_stall_milliseconds_sum{class="Routine"} 500`)
	require.Contains(t, written, `teaselmoor_load_stall_milliseconds_count{class="Routine"} 2`)
	require.Contains(t, written, `teaselmoor_loads_total{result="done"} 1`)
}

// TestFamilyHasOneHeader checks that the header of a family is written once, also if the
// family has samples of several engines. Collectors reject a repeated header.
func TestFamilyHasOneHeader(t *testing.T) {
	counters := metrics.New()
	metrics.NewObserver(counters)
	status := node.Status{Owned: []message.EngineState{{Engine: "runner-1", Queued: 3}, {Engine: "runner-2"}}, VMListAge: 2 * clock.Second}
	written := text(t, counters, append(metrics.StatusGauges(status, metrics.RuntimeStatus{Ready: true, Peers: 6}), metrics.ProcessGauges()...)...)
	seen := map[string]bool{}
	for _, line := range strings.Split(written, "\n") {
		if strings.HasPrefix(line, "# TYPE ") {
			require.False(t, seen[line], line)
			seen[line] = true
		}
	}
	require.Contains(t, written, "teaselmoor_engine_queued{engine=\"runner-1\"} 3\n")
	require.Contains(t, written, "teaselmoor_vm_list_age_milliseconds 2000\n")
	require.Contains(t, written, "teaselmoor_peers 6\n")
}

func TestConfigTimes(t *testing.T) {
	observer := metrics.NewObserver(metrics.New())
	require.Zero(t, observer.ConfigTimes())
	observer.Step(10, node.ConfigWatched{Result: rollout.WatchResult{Cause: "refused"}}, nil)
	require.Zero(t, observer.ConfigTimes().ContactAt)
	observer.Step(20, node.ConfigWatched{}, []effect.Effect{effect.Audit{Kind: effect.ConfigAccepted}})
	require.Equal(t, metrics.ConfigTimes{AcceptedAt: 20, ContactAt: 20}, observer.ConfigTimes())
	observer.Step(30, node.MessageReceived{Message: message.ConfigOffer{Contact: true}}, nil)
	observer.Step(40, node.MessageReceived{Message: message.ConfigOffer{}}, nil)
	require.Equal(t, metrics.ConfigTimes{AcceptedAt: 20, ContactAt: 30}, observer.ConfigTimes())
}

// BenchmarkObserver measures the cost of one answered request at its entry.
func BenchmarkObserver(b *testing.B) {
	observer := metrics.NewObserver(metrics.New())
	answered := []effect.Effect{effect.ForwardAnswer{Stream: stream(1)}}
	ended := []effect.Effect{effect.Answer{Stream: stream(1), Outcome: outcome.Done(), Record: outcome.Record{Class: "Urgent"}}}
	b.ReportAllocs()
	for b.Loop() {
		observer.Step(1000, node.RequestArrived{Stream: stream(1)}, nil)
		observer.Step(1010, node.Tick{}, answered)
		observer.Step(1300, node.Tick{}, ended)
	}
}

// TestStepGaugesOfOwner checks that the step gauges of an engine are dropped when
// the daemon no longer owns it.
func TestStepGaugesOfOwner(t *testing.T) {
	observer := metrics.NewObserver(metrics.New())
	reported := node.EngineReported{Engine: "runner-1", Report: owner.Report{Steps: owner.Steps{Count: 10, Runs: 40, Capacity: 8}}}
	observer.Step(10, reported, nil)
	written := text(t, metrics.New(), observer.StepGauges()...)
	require.Contains(t, written, "teaselmoor_engine_step_runs_total{engine=\"runner-1\"} 40\n")
	observer.Step(20, node.Tick{}, []effect.Effect{effect.Audit{Kind: effect.OwnershipReleased, Object: "runner-1"}})
	require.Empty(t, observer.StepGauges())
}
