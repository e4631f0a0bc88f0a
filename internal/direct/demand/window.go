package demand

import "teaselmoor/internal/base/clock"

// buckets is the number of buckets of a window.
const buckets = 10

// window counts requests in a sliding window.
type window struct {
	width  clock.Millis // of a bucket
	counts [buckets]int
	last   int64 // number of the newest bucket since time 0
}

func newWindow(length clock.Millis) window {
	return window{width: max(1, length/buckets)}
}

func (window *window) add(now clock.Millis) {
	window.advance(now)
	window.counts[window.last%buckets]++
}

func (window *window) sum(now clock.Millis) int {
	window.advance(now)
	total := 0
	for _, count := range window.counts {
		total += count
	}
	return total
}

// advance clears the buckets that have begun since the last call.
func (window *window) advance(now clock.Millis) {
	current := int64(now / window.width)
	for range min(buckets, max(0, current-window.last)) {
		window.last++
		window.counts[window.last%buckets] = 0
	}
	window.last = max(window.last, current)
}
