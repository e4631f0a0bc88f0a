package retry

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
)

// bucketCount is the number of buckets that a window is divided into. One more is kept, so
// that the buckets cover every sliding window.
const bucketCount = 10

// window holds values of a sliding window, in buckets.
type window[Value cmp.Ordered] struct {
	width  clock.Millis // of a bucket
	newest int64        // number of the newest bucket
	values [bucketCount + 1]Value
}

// newWindow returns an empty window of the given length.
func newWindow[Value cmp.Ordered](length clock.Millis) window[Value] {
	return window[Value]{width: max(1, length/bucketCount)}
}

// advance clears the buckets that have left the window since the last call.
func (window *window[Value]) advance(now clock.Millis) {
	current := int64(now / window.width)
	var empty Value
	for steps := min(current-window.newest, bucketCount+1); steps > 0; steps-- {
		window.values[(current-steps+1)%(bucketCount+1)] = empty
	}
	window.newest = max(window.newest, current)
}

// bucket returns the newest bucket.
func (window *window[Value]) bucket() *Value {
	return &window.values[window.newest%(bucketCount+1)]
}

// max returns the highest value of all buckets.
func (window *window[Value]) max() Value {
	return slices.Max(window.values[:])
}
