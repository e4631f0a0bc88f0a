package node_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/owner"
)

// The costs per unit in docs/CAPACITY.md come from these benchmarks.

// regionConfig returns the configuration of one region with the given numbers of
// engines and adapters. Each of three data centres has one in three engines.
func regionConfig(engines, adapters int) config.Config {
	published := smallConfig(0)
	published.Adapters = nil
	for i := range engines {
		published.Engines = append(published.Engines, config.Engine{
			Name: ident.EngineID(fmt.Sprintf("engine-%d", i)), Address: "127.0.0.1:1",
			DataCentre: fmt.Sprintf("centre-%d", i%3), Region: "north", BaseModel: "base", Store: "weights",
			Slots: 8, MaxRuns: 32, Labels: map[string]string{"pool": "general"},
		})
	}
	for i := range adapters {
		published.Adapters = append(published.Adapters, config.Adapter{
			Name: fmt.Sprintf("adapter-%d", i), Version: "1", BaseModel: "base", Labels: map[string]string{"task": "review"},
		})
	}
	return published
}

func regionView(daemons int, now clock.Millis) *members.View {
	list := members.List{Version: 1}
	for i := range daemons {
		list.VMs = append(list.VMs, members.VM{
			Name: fmt.Sprintf("daemon-%d", i), Address: "127.0.0.1:1", Role: members.EntryRole,
			DataCentre: fmt.Sprintf("centre-%d", i%3), Region: "north", State: members.Live,
		})
	}
	return members.NewView(list, now)
}

// benchNode is a node that owns its share of a region's engines and knows the state of
// all of them.
type benchNode struct {
	node  *node.Node
	now   clock.Millis
	owned []ident.EngineID
	// daemons is the number of daemons of the region.
	daemons int
	readAt  clock.Millis // last reading of the VM list
}

// advance advances the time and ticks the node. The node reads the VM list every
// second.
func (bench *benchNode) advance(duration clock.Millis) []effect.Effect {
	bench.now += duration
	if bench.now-bench.readAt >= clock.Second {
		bench.readAt = bench.now
		bench.step(node.VMListRead{View: regionView(bench.daemons, bench.now)})
	}
	return bench.step(node.Tick{})
}

func newBenchNode(b *testing.B, daemons, engines, adapters int) *benchNode {
	b.Helper()
	snapshot, err := config.Compile(regionConfig(engines, adapters))
	require.NoError(b, err)
	options := node.DefaultOptions()
	options.Self, options.DataCentre, options.Region = "daemon-0", "centre-0", "north"
	options.StartedAt = clock.Hour
	bench := &benchNode{node: node.New(options), now: clock.Hour, daemons: daemons}
	bench.step(node.ConfigRead{Snapshot: snapshot})
	bench.step(node.VMListRead{View: regionView(daemons, bench.now)})
	bench.learnEngines(engines)
	return bench
}

// learnEngines gives the node the state of every engine: reports from the engines that
// it owns, and a peer's state message for each engine. The peer's messages do not
// replace the states of owned engines, because their fencing number is lower.
func (bench *benchNode) learnEngines(engines int) {
	for range 200 {
		for _, next := range bench.advance(50) {
			if read, isRead := next.(effect.ReadEngine); isRead {
				bench.step(node.EngineReported{Engine: read.Engine, Report: owner.Report{
					Boot: "1", Resident: []ident.Adapter{{Name: "adapter-0", Version: "1"}},
				}})
			}
		}
	}
	bench.owned = nil
	for _, state := range bench.node.Status(bench.now).Owned {
		bench.owned = append(bench.owned, state.Engine)
	}
	for i := range engines {
		name := ident.EngineID(fmt.Sprintf("engine-%d", i))
		bench.step(node.MessageReceived{From: "daemon-1", Message: message.EngineState{
			Engine: name, Owner: "daemon-1", Fence: 1, Version: 1, Queued: 1000,
			Resident: []ident.Adapter{{Name: fmt.Sprintf("adapter-%d", i), Version: "1"}},
		}})
	}
}

func (bench *benchNode) step(event node.Event) []effect.Effect {
	return bench.node.Step(bench.now, event)
}

// BenchmarkRequest measures the decision cost of one request whose entry also owns
// its engine: arrival, placement, dispatch, end and answer.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ daemons, engines int }{{3, 9}, {26, 100}, {78, 300}} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			bench := newBenchNode(b, size.daemons, size.engines, 15_000)
			require.NotEmpty(b, bench.owned)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%requestsPerTick == 0 {
					bench.advance(250)
				}
				bench.request(b)
			}
		})
	}
}

// requestsPerTick is the number of requests between two ticks. The ticks renew the
// engine states that placement reads, as in production.
const requestsPerTick = 20

func (bench *benchNode) request(b *testing.B) {
	effects := bench.step(node.RequestArrived{
		Stream: bench.node.NewStream(), RequestID: "r", APIKey: callerKey, Model: "adapter-0@1", Path: "/v1/completions",
	})
	for _, next := range effects {
		start, isStart := next.(effect.StartRun)
		if !isStart {
			continue
		}
		bench.step(node.RunEnded{Engine: start.Engine, Result: owner.RunResult{
			Stream: start.Stream, Result: owner.ResultComplete,
		}})
		return
	}
	b.Fatalf("the request was not dispatched: %v", effects)
}

// BenchmarkTick measures one tick. Every daemon ticks 20 times per second.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{9, 100, 300} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			bench := newBenchNode(b, 78, engines, 15_000)
			b.ReportAllocs()
			for b.Loop() {
				bench.advance(50)
			}
		})
	}
}

// BenchmarkNodeMemory measures the memory of a node with its configuration.
func BenchmarkNodeMemory(b *testing.B) {
	for _, adapters := range []int{3_000, 15_000} {
		for _, engines := range []int{9, 300} {
			b.Run(fmt.Sprintf("adapters=%d/engines=%d", adapters, engines), func(b *testing.B) {
				for b.Loop() {
					before := heapInUse()
					bench := newBenchNode(b, 78, engines, adapters)
					b.ReportMetric(float64(heapInUse()-before)/(1<<20), "MB/node")
					runtime.KeepAlive(bench)
				}
			})
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
