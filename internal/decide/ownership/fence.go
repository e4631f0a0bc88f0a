package ownership

import (
	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// fenceBits is the number of low bits that distinguish daemons that claim an engine
// in the same millisecond. Fencing numbers stay below 2^53, so that engines may read
// them as JSON numbers.
const fenceBits = 10

// NextFence returns a fencing number above the highest known one. It is derived from
// the wall clock, so that numbers increase across restarts without being stored.
func NextFence(now clock.Millis, self ident.DaemonID, highest ident.Fence) ident.Fence {
	base := max(uint64(now), uint64(highest>>fenceBits)+1)
	suffix := xxhash.Sum64String(string(self)) & (1<<fenceBits - 1)
	return ident.Fence(base<<fenceBits | suffix)
}
