package nodetest

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// scheduledEvent is a function to call at a point in virtual time.
type scheduledEvent struct {
	at    clock.Millis
	order uint64 // breaks ties
	run   func()
}

// eventQueue is a heap of scheduled events, earliest first.
type eventQueue []scheduledEvent

func (eventQueue eventQueue) Len() int { return len(eventQueue) }

func (eventQueue eventQueue) Less(i, j int) bool {
	if eventQueue[i].at != eventQueue[j].at {
		return eventQueue[i].at < eventQueue[j].at
	}
	return eventQueue[i].order < eventQueue[j].order
}

func (eventQueue eventQueue) Swap(i, j int) {
	eventQueue[i], eventQueue[j] = eventQueue[j], eventQueue[i]
}

func (eventQueue *eventQueue) Push(event any) {
	*eventQueue = append(*eventQueue, event.(scheduledEvent))
}

func (eventQueue *eventQueue) Pop() any {
	last := len(*eventQueue) - 1
	event := (*eventQueue)[last]
	(*eventQueue)[last] = scheduledEvent{}
	*eventQueue = (*eventQueue)[:last]
	return event
}

// hosts returns the hosts in a fixed order.
func (network *Network) hosts() []*Host {
	hosts := make([]*Host, 0, len(network.Nodes))
	for _, name := range slices.Sorted(maps.Keys(network.Nodes)) {
		hosts = append(hosts, network.Nodes[name])
	}
	return hosts
}

// HostNames returns the daemons' names in a fixed order.
func (network *Network) HostNames() []ident.DaemonID {
	return slices.Sorted(maps.Keys(network.Nodes))
}
