package ownership

import (
	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// fenceBits is the number of low bits that tell daemons apart that claim in the
// same millisecond. Numbers stay below 2^53, so that engines may read them as
// JSON numbers.
const fenceBits = 10

// NextFence returns a fencing number above the highest seen. It follows the wall
// clock, so that numbers rise across restarts without being stored.
func NextFence(now clock.Millis, self ident.DaemonID, highest ident.Fence) ident.Fence {
	base := max(uint64(now), uint64(highest>>fenceBits)+1)
	mark := xxhash.Sum64String(string(self)) & (1<<fenceBits - 1)
	return ident.Fence(base<<fenceBits | mark)
}
