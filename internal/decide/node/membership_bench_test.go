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

// packetBytes is added to each encoded message: 40 for TCP and IP headers, 4 for
// the WebSocket frame and 1 for the frame kind. Batches would share them.
const packetBytes = 45

// traffic adds up the control messages of a network.
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
		traffic.bytes[fmt.Sprintf("%T", sent)] += len(encoded) + packetBytes
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

// BenchmarkControl gives the control traffic and the processor time of one
// daemon, for a region with requests at a steady rate. Each byte that is sent is
// received once, so that a daemon carries twice the figure given as sent.
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

const measuredSpan = 20 * clock.Second

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
	arriveSteadily(network, daemons, rate)
	seconds := measuredSpan.Seconds() * float64(daemons)
	b.ReportMetric(float64(control.total())/seconds, "B-sent/s/daemon")
	b.ReportMetric(float64(control.bytes["message.Update"])/seconds, "B-updates/s/daemon")
	b.ReportMetric(float64(control.messages)/seconds, "msgs-sent/s/daemon")
	b.ReportMetric(float64(time.Since(started).Milliseconds())/seconds, "ms-cpu/s/daemon")
	b.ReportMetric(float64(network.Steps-steps)/seconds, "steps/s/daemon")
}

// arriveSteadily lets the measured span pass with requests for popular adapters.
func arriveSteadily(network *nodetest.Network, daemons, rate int) {
	random := rand.New(rand.NewPCG(1, 1))
	end := network.Now + measuredSpan
	for sent := 0; network.Now < end; {
		due := int((measuredSpan - (end - network.Now)).Seconds() * float64(rate))
		for ; sent < due; sent++ {
			network.SendRequest(ident.DaemonID(fmt.Sprintf("daemon-%d", random.IntN(daemons))), node.RequestArrived{
				RequestID: fmt.Sprintf("r%d", sent), APIKey: callerKey, Path: "/v1/completions",
				Model: fmt.Sprintf("adapter-%d@1", int(100*random.ExpFloat64())%1000),
			})
		}
		network.Run(50)
	}
}

// BenchmarkTakeover gives the span from the death of an engine's owner to the
// first run that the engine begins for its successor.
func BenchmarkTakeover(b *testing.B) {
	listed := clock.Second // from the death to the VM list that shows it
	for _, kind := range []struct {
		name   string
		checks bool
		listed clock.Millis
	}{
		{"numbers checked", true, listed},
		{"numbers checked, list silent", true, 0},
		{"numbers ignored", false, listed},
		{"numbers ignored, list silent", false, 0},
	} {
		b.Run(kind.name, func(b *testing.B) {
			for b.Loop() {
				var spans []clock.Millis
				for seed := range uint64(50) {
					if span, served := takeover(b, seed, kind.checks, kind.listed); served {
						spans = append(spans, span)
					}
				}
				b.ReportMetric(float64(len(spans)), "served-of-50")
				if len(spans) > 0 {
					slices.Sort(spans)
					b.ReportMetric(float64(spans[len(spans)/2]), "ms-median")
					b.ReportMetric(float64(spans[len(spans)-1]), "ms-longest")
				}
			}
		})
	}
}

// takeover kills the owner of the only engine while requests arrive elsewhere.
// With no list change the platform replaces the VM only after a minute.
func takeover(b *testing.B, seed uint64, checks bool, listed clock.Millis) (clock.Millis, bool) {
	published := smallConfig(1)
	published.Engines[0].ChecksFencing, published.Engines[0].DataCentre = checks, "centre-0"
	network, err := nodetest.New(nodetest.Options{
		Seed: seed, Delay: 1, Jitter: 2, TickInterval: 50, Config: published, VMs: regionView(9, 0).List.VMs,
		Engine: nodetest.EngineOptions{RunDuration: 200, LoadDuration: 500}, Node: node.DefaultOptions(),
	})
	require.NoError(b, err)
	network.Run(10*clock.Second + clock.Millis(seed*37))
	owner := ownerOfEngine(network, "engine-0")
	killed := network.Now
	network.Kill(owner)
	if listed > 0 {
		vms := slices.DeleteFunc(network.VMs(), func(vm members.VM) bool { return vm.Name == string(owner) })
		network.After(listed, func() { network.SetVMs(vms) })
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
