package late

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// MaxRanks is the number of ranks that are distinguished; the last one stands for all further
	// ones.
	MaxRanks = 10
	// MaxSeries bounds the number of series, one for each service, rank and cause, so that many
	// services do not grow memory and the metrics page without limit.
	MaxSeries = 200
	// Other is the service of the streams that are counted together once the bound is reached.
	Other = "other"
)

// Group is a group of streams that are counted together.
type Group struct {
	Service string
	Rank    int
}

// Count is the number of streams of a group, and of those that were late by each cause.
type Count struct {
	Group
	Streams int64
	Late    map[Cause]int64
}

// Counts counts streams by service and rank.
type Counts struct {
	groups map[Group]*Count
}

// NewCounts returns an instance that has counted no streams yet.
func NewCounts() *Counts {
	return &Counts{groups: make(map[Group]*Count)}
}

// Add counts a stream that has ended.
func (counts *Counts) Add(service string, rank int, cause Cause) {
	group := Group{Service: service, Rank: min(max(rank, 0), MaxRanks-1)}
	count, known := counts.groups[group]
	if !known && len(counts.groups) >= MaxSeries/len(causes)-MaxRanks { // leaves room for Other in all ranks
		group.Service = Other
		count, known = counts.groups[group]
	}
	if !known {
		count = &Count{Group: group, Late: make(map[Cause]int64, len(causes))}
		for _, each := range causes {
			count.Late[each] = 0 // a rate can be formed from the first late stream on
		}
		counts.groups[group] = count
	}
	count.Streams++
	if cause != OnTime {
		count.Late[cause]++
	}
}

// All returns a copy of the counts, by service and rank.
func (counts *Counts) All() []Count {
	all := make([]Count, 0, len(counts.groups))
	for _, count := range counts.groups {
		all = append(all, Count{Group: count.Group, Streams: count.Streams, Late: maps.Clone(count.Late)})
	}
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return all
}

// Causes returns the causes that are counted.
func Causes() []Cause {
	return slices.Clone(causes[:])
}
