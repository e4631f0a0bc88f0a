package demand

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Shares are the shares of the daemons of a site. They add up to one.
type Shares struct {
	daemons int
	uneven  map[string]float64 // by daemon; nil: all are equal
}

// Equal returns equal shares of a number of daemons.
func Equal(daemons int) Shares {
	return Shares{daemons: max(1, daemons)}
}

// Of returns the share of a daemon.
func (shares Shares) Of(daemon string) float64 {
	if share, ok := shares.uneven[daemon]; ok {
		return share
	}
	return 1 / float64(max(1, shares.daemons))
}

// Uneven reports whether the shares follow the requests that daemons receive.
func (shares Shares) Uneven() bool {
	return shares.uneven != nil
}

// Largest returns the daemon with the largest share, if shares are uneven.
func (shares Shares) Largest() string {
	largest := ""
	for daemon, share := range shares.uneven {
		if largest == "" || share > shares.uneven[largest] || share == shares.uneven[largest] && daemon < largest {
			largest = daemon
		}
	}
	return largest
}

// Ranked returns daemons in the order in which they share something of which not all can have a part, such as the slots
// of a server: those with the largest shares first, of equal ones by the hash of both names.
func (shares Shares) Ranked(name string, daemons []string) []string {
	hashes := make(map[string]uint64, len(daemons))
	for _, daemon := range daemons {
		hashes[daemon] = xxhash.Sum64String(name + "/" + daemon)
	}
	return slices.SortedFunc(slices.Values(daemons), func(a, b string) int {
		return cmp.Or(cmp.Compare(shares.Of(b), shares.Of(a)), cmp.Compare(hashes[b], hashes[a]))
	})
}

// Equals reports whether all shares are the same.
func (shares Shares) Equals(other Shares) bool {
	return shares.daemons == other.daemons && maps.Equal(shares.uneven, other.uneven)
}

// updateShares computes the shares of the given daemons, and reports whether they have changed.
func (table *Table) updateShares(daemons []string) bool {
	total, most := 0, 0
	for _, daemon := range daemons {
		requests := table.reports[daemon].Requests
		total += requests
		most = max(most, requests)
	}
	table.uneven = table.isUneven(len(daemons), total, most)
	shares := Equal(len(daemons))
	if table.uneven {
		shares.uneven = make(map[string]float64, len(daemons))
		for _, daemon := range daemons {
			requested := float64(table.reports[daemon].Requests) / float64(total)
			shares.uneven[daemon] = table.options.Even/float64(len(daemons)) + (1-table.options.Even)*requested
		}
	}
	if shares.Equals(table.shares) {
		return false
	}
	table.shares = shares
	return true
}

// minRequests is the number of requests below which shares stay equal: so few say nothing.
const minRequests = 8

// isUneven reports whether the daemon that receives most requests receives much more than its equal share.
func (table *Table) isUneven(daemons, total, most int) bool {
	if daemons < 2 || total < minRequests {
		return false
	}
	bound := min(table.options.MaxShare, table.options.Excess/float64(daemons))
	if table.uneven {
		bound *= table.options.Return
	}
	return float64(most) > bound*float64(total)
}
