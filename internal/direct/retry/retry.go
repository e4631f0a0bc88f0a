package retry

import "teaselmoor/internal/base/clock"

// Retry is a retry that a budget has allowed. It counts against the budget from then on, and against
// the window in which it is sent: a request may wait for seconds between the two. The methods may be
// called on nil, for a try that is not a retry.
type Retry struct {
	budget *Budget
	state  state
	sentAt clock.Millis
}

// state is the state of a retry.
type state int

const (
	waiting  state = iota // allowed and not sent
	sent                  // sent
	released              // not sent, and returned to the budget
)

// Sent records that the retry is being sent to a server.
func (retry *Retry) Sent(now clock.Millis) {
	if retry == nil || retry.state != waiting {
		return
	}
	retry.state, retry.sentAt = sent, now
	retry.budget.reserved--
	retry.budget.retries.advance(now)
	*retry.budget.retries.bucket()++
}

// NotSent records that no byte of the retry has reached its server, so that it is still to be sent.
func (retry *Retry) NotSent(now clock.Millis) {
	if retry == nil || retry.state != sent {
		return
	}
	retry.state = waiting
	retry.budget.reserved++
	retry.budget.retries.advance(now)
	retry.budget.retries.remove(retry.sentAt)
}

// Release returns the retry to the budget if it has not been sent.
func (retry *Retry) Release() {
	if retry == nil || retry.state != waiting {
		return
	}
	retry.state = released
	retry.budget.reserved--
}
