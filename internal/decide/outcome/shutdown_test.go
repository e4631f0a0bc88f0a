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

// leave begins a graceful end; the VM list says so at once, or only after it.
func leave(network *nodetest.Network, name ident.DaemonID, listed bool) {
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

// exit ends a daemon that has nothing left to do.
func exit(network *nodetest.Network, name ident.DaemonID) {
	network.Kill(name)
	var left []members.VM
	for _, vm := range network.VMs() {
		if vm.Name != string(name) {
			left = append(left, vm)
		}
	}
	network.SetVMs(left)
}

// TestShutdownCutsNothing lets one or two daemons leave under load. Every
// request that was taken in is answered, and the daemons come to an end.
func TestShutdownCutsNothing(t *testing.T) {
	total := 0
	nodetest.CheckHistories(t, 60, shutdownHistory(&total))
	t.Logf("%d requests", total)
}

// TestHandoverToLeavingDaemon repeats a history in which an engine was handed
// over to a daemon that had begun to leave as well.
func TestHandoverToLeavingDaemon(t *testing.T) {
	total := 0
	nodetest.CheckSeeds(t, []uint64{8349846}, shutdownHistory(&total))
}

// shutdownHistory draws one history and adds its requests to the total.
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
					leave(network, leaving[begun], listed)
					begun++
				}
			default:
				history.send(t)
			}
		}
		for _, name := range leaving[begun:] {
			leave(network, name, listed)
		}
		for _, name := range leaving {
			require.True(t, network.RunUntil(30*clock.Second, network.Nodes[name].Node.Idle), "%s comes to an end", name)
			exit(network, name)
		}
		network.Run(20 * clock.Second)
		history.check(t)
		for _, request := range history.sent {
			answers := network.Answers[request.id]
			require.Len(t, answers, 1, "request %s", request.id)
			told := answers[0].Outcome
			refused := told.Reason == outcome.ShuttingDown || told.Reason == outcome.DeadlinePassed ||
				told.Reason == outcome.QueueFull || told.Reason == outcome.NoEngine || told.Reason == outcome.KeyNotVouched ||
				told.Reason == outcome.HomeUnreachable || told.Reason == outcome.DeadlineUnreachable
			require.True(t, told.Kind == outcome.Answered || refused && told.Kind == outcome.NotRun,
				"request %s was cut off: %v", request.id, told)
		}
		*total += len(history.sent)
	}
}
