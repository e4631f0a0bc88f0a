package retry

import "teaselmoor/internal/base/clock"

// balanceBuckets is the number of buckets of a balance. One more is kept, so that the buckets cover every sliding window.
const balanceBuckets = 20

// balance holds the retries sent less those that requests have earned, over a sliding window. It knows the highest sum over any
// span that ends now and begins in the window, and not only the sum over the whole window.
type balance struct {
	width   clock.Millis // of a bucket
	newest  int64        // number of the newest bucket
	buckets [balanceBuckets + 1]balanceBucket
}

// balanceBucket holds the changes of one bucket.
type balanceBucket struct {
	sum     float64
	highest float64 // sum of the bucket's last changes, for the number of changes that makes it highest; 0 at least
}

// newBalance returns an empty balance over a window of the given length.
func newBalance(length clock.Millis) balance {
	return balance{width: max(1, length/balanceBuckets)}
}

// advance clears the buckets that have left the window since the last call.
func (balance *balance) advance(now clock.Millis) {
	current := int64(now / balance.width)
	for steps := min(current-balance.newest, balanceBuckets+1); steps > 0; steps-- {
		balance.buckets[(current-steps+1)%(balanceBuckets+1)] = balanceBucket{}
	}
	balance.newest = max(balance.newest, current)
}

// add records a change.
func (balance *balance) add(now clock.Millis, change float64) {
	balance.advance(now)
	bucket := &balance.buckets[balance.newest%(balanceBuckets+1)]
	bucket.sum += change
	bucket.highest = max(0, bucket.highest+change)
}

// remove takes back a retry that was recorded at a time, if it is still in the window.
func (balance *balance) remove(at clock.Millis) {
	number := int64(at / balance.width)
	if balance.newest-number > balanceBuckets {
		return
	}
	bucket := &balance.buckets[number%(balanceBuckets+1)]
	bucket.sum--
	bucket.highest = max(0, bucket.highest-1)
}

// highest returns the highest sum over any span that ends now and begins in the window; 0 at least.
func (balance *balance) highest(now clock.Millis) float64 {
	balance.advance(now)
	highest, sum := 0.0, 0.0
	for number := balance.newest; number > balance.newest-balanceBuckets-1 && number >= 0; number-- {
		bucket := balance.buckets[number%(balanceBuckets+1)]
		highest = max(highest, sum+bucket.highest)
		sum += bucket.sum
	}
	return highest
}
