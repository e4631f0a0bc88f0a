package retry

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

// bucketCount is the number of buckets that a window is divided into. One more is kept, so
// that the buckets cover every sliding window.
const bucketCount = 10

// window holds counts of a sliding window, in buckets.
type window struct {
	width  clock.Millis // of a bucket
	newest int64        // number of the newest bucket
	counts [bucketCount + 1]int
}

// newWindow returns an empty window of the given length.
func newWindow(length clock.Millis) window {
	return window{width: max(1, length/bucketCount)}
}

// advance clears the buckets that have left the window since the last call.
func (window *window) advance(now clock.Millis) {
	current := int64(now / window.width)
	for steps := min(current-window.newest, bucketCount+1); steps > 0; steps-- {
		window.counts[(current-steps+1)%(bucketCount+1)] = 0
	}
	window.newest = max(window.newest, current)
}

// bucket returns the newest bucket.
func (window *window) bucket() *int {
	return &window.counts[window.newest%(bucketCount+1)]
}

// remove removes one from the bucket of a time, if it is still in the window.
func (window *window) remove(at clock.Millis) {
	number := int64(at / window.width)
	count := &window.counts[number%(bucketCount+1)]
	if window.newest-number <= bucketCount && *count > 0 {
		*count--
	}
}

// oldest returns the bucket that a window which ends now covers only in part.
func (window *window) oldest() *int {
	return &window.counts[(window.newest+1)%(bucketCount+1)]
}

// sum returns the sum of all buckets.
func (window *window) sum() int {
	total := 0
	for _, count := range window.counts {
		total += count
	}
	return total
}

// max returns the highest value of all buckets.
func (window *window) max() int {
	return slices.Max(window.counts[:])
}
