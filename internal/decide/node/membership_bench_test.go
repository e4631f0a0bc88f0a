package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
)

// packetOverhead is added to the size of each encoded message: 40 bytes for TCP and
// IP headers, 4 for the WebSocket frame and 1 for the frame kind. Messages sent in
// a batch would share it.
const packetOverhead = 45

// traffic counts the control messages of a network.
type traffic struct {
	bytes    map[string]int // by type of message
	messages int
}

func (traffic *traffic) watch(b *testing.B, network *nodetest.Network) {
	traffic.bytes = map[string]int{}
	network.OnSend = func(_, _ ident.DaemonID, sent message.Message) {
		if sent.Lane() != message.ControlLane {
			return
		}
		encoded, err := cbor.Marshal(sent)
		require.NoError(b, err)
		traffic.bytes[fmt.Sprintf("%T", sent)] += len(encoded) + packetOverhead
		traffic.messages++
	}
}

func (traffic *traffic) total() int {
	total := 0
	for _, count := range traffic.bytes {
		total += count
	}
	return total
}

// BenchmarkControl measures the control traffic and processor time per daemon in a
// region with a steady request rate. Each byte sent is also received once, so a
// daemon carries twice the reported number of bytes.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ daemons, engines, requests int }{{7, 28, 110}, {78, 300, 1220}} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("daemons=%d/engines=%d/busy=%v", size.daemons, size.engines, busy), func(b *testing.B) {
				for b.Loop() {
					rate := 0
					if busy {
						rate = size.requests
					}
					measureControl(b, size.daemons, size.engines, rate)
				}
			})
		}
	}
}

const measuredDuration = 20 * clock.Second

func measureControl(b *testing.B, daemons, engines, rate int) {
	network, err := nodetest.New(nodetest.Options{
		Seed: 1, Delay: 1, Jitter: 2, TickInterval: 50, Config: regionConfig(engines, 1000), VMs: regionView(daemons, 0).List.VMs,
		Engine: nodetest.EngineOptions{RunDuration: 800, LoadDuration: 500}, Node: node.DefaultOptions(),
	})
	require.NoError(b, err)
	network.Run(15 * clock.Second)
	var control traffic
	control.watch(b, network)
	steps, started := network.Steps, time.Now()
	sendRequestsSteadily(network, daemons, rate)
	seconds := measuredDuration.Seconds() * float64(daemons)
	b.ReportMetric(float64(control.total())/seconds, "B-sent/s/daemon")
	b.ReportMetric(float64(control.bytes["message.Update"])/seconds, "B-updates/s/daemon")
	b.ReportMetric(float64(control.messages)/seconds, "msgs-sent/s/daemon")
	b.ReportMetric(float64(time.Since(started).Milliseconds())/seconds, "ms-cpu/s/daemon")
	b.ReportMetric(float64(network.Steps-steps)/seconds, "steps/s/daemon")
}

// sendRequestsSteadily sends requests for popular adapters at a steady rate for
// measuredDuration.
func sendRequestsSteadily(network *nodetest.Network, daemons, rate int) {
	random := rand.New(rand.NewPCG(1, 1))
	end := network.Now + measuredDuration
	for sent := 0; network.Now < end; {
		due := int((measuredDuration - (end - network.Now)).Seconds() * float64(rate))
		for ; sent < due; sent++ {
			network.SendRequest(ident.DaemonID(fmt.Sprintf("daemon-%d", random.IntN(daemons))), node.RequestArrived{
				RequestID: fmt.Sprintf("r%d", sent), APIKey: callerKey, Path: "/v1/completions",
				Model: fmt.Sprintf("adapter-%d@1", int(100*random.ExpFloat64())%1000),
			})
		}
		network.Run(50)
	}
}

// BenchmarkTakeover measures the time from the failure of an engine's owner to the
// first run that the engine starts for the next owner.
func BenchmarkTakeover(b *testing.B) {
	listDelay := clock.Second // from the failure to the VM list that shows it
	for _, kind := range []struct {
		name      string
		checks    bool
		listDelay clock.Millis
	}{
		{"numbers checked", true, listDelay},
		{"numbers checked, list silent", true, 0},
		{"numbers ignored", false, listDelay},
		{"numbers ignored, list silent", false, 0},
	} {
		b.Run(kind.name, func(b *testing.B) {
			for b.Loop() {
				var durations []clock.Millis
				for seed := range uint64(50) {
					if duration, served := measureTakeover(b, seed, kind.checks, kind.listDelay); served {
						durations = append(durations, duration)
					}
				}
				b.ReportMetric(float64(len(durations)), "served-of-50")
				if len(durations) > 0 {
					slices.Sort(durations)
					b.ReportMetric(float64(durations[len(durations)/2]), "ms-median")
					b.ReportMetric(float64(durations[len(durations)-1]), "ms-longest")
				}
			}
		})
	}
}

// measureTakeover kills the owner of the only engine while requests arrive
// elsewhere. It returns the time until the engine starts a run, and whether it did
// within a minute. If listDelay is 0 the VM list does not change, as the platform
// replaces the VM only after a minute.
func measureTakeover(b *testing.B, seed uint64, checks bool, listDelay clock.Millis) (clock.Millis, bool) {
	published := smallConfig(1)
	published.Engines[0].ChecksFencing, published.Engines[0].DataCentre = checks, "centre-0"
	network, err := nodetest.New(nodetest.Options{
		Seed: seed, Delay: 1, Jitter: 2, TickInterval: 50, Config: published, VMs: regionView(9, 0).List.VMs,
		Engine: nodetest.EngineOptions{RunDuration: 200, LoadDuration: 500}, Node: node.DefaultOptions(),
	})
	require.NoError(b, err)
	network.Run(10*clock.Second + clock.Millis(seed*37))
	owner := ownerOf(network, "engine-0")
	killed := network.Now
	network.Kill(owner)
	if listDelay > 0 {
		vms := slices.DeleteFunc(network.VMs(), func(vm members.VM) bool { return vm.Name == string(owner) })
		network.After(listDelay, func() { network.SetVMs(vms) })
	}
	entry := ident.DaemonID("daemon-0")
	if owner == entry {
		entry = "daemon-1"
	}
	for i := 0; network.Now-killed < clock.Minute; i++ {
		network.SendRequest(entry, node.RequestArrived{RequestID: fmt.Sprintf("r%d", i), APIKey: callerKey, Path: "/v1/completions", Model: "review-0@1"})
		network.Run(50)
		if len(network.Engines["engine-0"].RunsStarted) > 0 {
			return network.Now - killed, true
		}
	}
	return 0, false
}
