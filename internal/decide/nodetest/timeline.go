package nodetest

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// happening is something that takes place at a point in virtual time.
type happening struct {
	at    clock.Millis
	order uint64 // breaks ties
	do    func()
}

// timeline is a heap of happenings, earliest first.
type timeline []happening

func (timeline timeline) Len() int { return len(timeline) }

func (timeline timeline) Less(i, j int) bool {
	if timeline[i].at != timeline[j].at {
		return timeline[i].at < timeline[j].at
	}
	return timeline[i].order < timeline[j].order
}

func (timeline timeline) Swap(i, j int) { timeline[i], timeline[j] = timeline[j], timeline[i] }

func (timeline *timeline) Push(added any) { *timeline = append(*timeline, added.(happening)) }

func (timeline *timeline) Pop() any {
	last := len(*timeline) - 1
	taken := (*timeline)[last]
	(*timeline)[last] = happening{}
	*timeline = (*timeline)[:last]
	return taken
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
