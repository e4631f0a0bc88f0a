package outcome_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
)

// startShutdown starts the graceful shutdown of a daemon. If listed is set, the VM list
// shows it as leaving at once.
func startShutdown(network *nodetest.Network, name ident.DaemonID, listed bool) {
	network.HandleEvent(network.Nodes[name], node.Shutdown{})
	if listed {
		vms := network.VMs()
		for i := range vms {
			if vms[i].Name == string(name) {
				vms[i].State = members.Leaving
			}
		}
		network.SetVMs(vms)
	}
}

// exit ends a daemon that is idle and removes it from the VM list.
func exit(network *nodetest.Network, name ident.DaemonID) {
	network.Kill(name)
	var remaining []members.VM
	for _, vm := range network.VMs() {
		if vm.Name != string(name) {
			remaining = append(remaining, vm)
		}
	}
	network.SetVMs(remaining)
}

// TestShutdownCutsOffNoRequest shuts down one or two daemons under load. It checks that
// every request is answered in full or refused as not run, and that the daemons become
// idle.
func TestShutdownCutsOffNoRequest(t *testing.T) {
	total := 0
	nodetest.CheckHistories(t, 60, shutdownHistory(&total))
	t.Logf("%d requests", total)
}

// TestHandoverToLeavingDaemon repeats a history in which an engine was handed over to
// a daemon that was shutting down as well.
func TestHandoverToLeavingDaemon(t *testing.T) {
	total := 0
	nodetest.CheckSeeds(t, []uint64{8349846}, shutdownHistory(&total))
}

// shutdownHistory returns a property that draws one history, checks it and adds its
// requests to the total.
func shutdownHistory(total *int) func(*rapid.T) {
	return func(t *rapid.T) {
		network := newNetwork(t, rapid.Uint64().Draw(t, "seed"), 0)
		history := &history{network: network}
		network.Run(10 * clock.Second)
		leaving := rapid.SliceOfNDistinct(rapid.SampledFrom(network.HostNames()), 1, 2, rapid.ID[ident.DaemonID]).Draw(t, "leaving")
		listed := rapid.Bool().Draw(t, "listed")
		begun := 0
		for range rapid.IntRange(4, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				network.Run(clock.Millis(rapid.SampledFrom([]int64{1, 50, 300, 900}).Draw(t, "span")))
			case 1:
				if begun < len(leaving) {
					startShutdown(network, leaving[begun], listed)
					begun++
				}
			default:
				history.send(t)
			}
		}
		for _, name := range leaving[begun:] {
			startShutdown(network, name, listed)
		}
		for _, name := range leaving {
			require.True(t, network.RunUntil(30*clock.Second, network.Nodes[name].Node.Idle), "%s becomes idle", name)
			exit(network, name)
		}
		network.Run(20 * clock.Second)
		history.check(t)
		for _, request := range history.sent {
			answers := network.Answers[request.id]
			require.Len(t, answers, 1, "request %s", request.id)
			final := answers[0].Outcome
			refused := final.Reason == outcome.ShuttingDown || final.Reason == outcome.DeadlinePassed ||
				final.Reason == outcome.QueueFull || final.Reason == outcome.NoEngine || final.Reason == outcome.KeyNotVouched ||
				final.Reason == outcome.HomeUnreachable || final.Reason == outcome.DeadlineUnreachable
			require.True(t, final.Kind == outcome.Answered || refused && final.Kind == outcome.NotRun,
				"request %s was cut off: %v", request.id, final)
		}
		*total += len(history.sent)
	}
}
