package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// submitRetention is how long a daemon remembers a submit. It exceeds the time that
// a duplicate can be in transit.
const submitRetention = clock.Minute

// submitHistory detects late duplicates of submits. The owner state machine does not
// remember refused requests, so a duplicate that arrived later could still be run, here
// or at a daemon that it is forwarded to, although the caller was answered that the
// request did not run. A request that returns after it was forwarded has a higher hop
// count and is accepted.
type submitHistory struct {
	newest map[ident.StreamID]receivedSubmit
	order  []ident.StreamID // by time of arrival
}

// receivedSubmit is the copy of a submit with the highest hop count received.
type receivedSubmit struct {
	hops       int
	receivedAt clock.Millis
}

func newSubmitHistory() submitHistory {
	return submitHistory{newest: map[ident.StreamID]receivedSubmit{}}
}

// recordNew records a submit and reports whether it is new.
func (submitHistory *submitHistory) recordNew(now clock.Millis, submit message.Submit) bool {
	submitHistory.expire(now)
	previous, found := submitHistory.newest[submit.Stream]
	if found && submit.Hops <= previous.hops {
		return false
	}
	submitHistory.newest[submit.Stream] = receivedSubmit{hops: submit.Hops, receivedAt: now}
	submitHistory.order = append(submitHistory.order, submit.Stream)
	return true
}

// expire removes submits that are older than the retention period. A stream that
// was received again is in order twice and is removed with its later entry.
func (submitHistory *submitHistory) expire(now clock.Millis) {
	for len(submitHistory.order) > 0 {
		oldest := submitHistory.order[0]
		newest, found := submitHistory.newest[oldest]
		if found && now-newest.receivedAt <= submitRetention {
			return
		}
		delete(submitHistory.newest, oldest)
		submitHistory.order = submitHistory.order[1:]
	}
}
