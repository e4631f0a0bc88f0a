package retry

import "teaselmoor/internal/base/clock"

// Retry is a retry that a budget has allowed. It counts against the budget until a window has passed since it can last have reached a
// server: a request may wait for seconds before it is sent, and a slow link may deliver it seconds later. The methods may be
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
	sent                  // sent, and neither answered nor given up
	late                  // the same, for longer than transitTime
	settled               // it can no longer reach a server
	released              // not sent, and returned to the budget
)

// Send records that the retry is about to be sent, and reports whether it may be: the daemon's share may have become smaller
// since the retry was allowed. Otherwise the retry is returned to the budget.
func (retry *Retry) Send(now clock.Millis, share Share) bool {
	if retry == nil || retry.state != waiting {
		return true
	}
	if retry.budget.Remaining(now, share) < -rounding {
		retry.Release(now)
		return false
	}
	retry.state, retry.sentAt = sent, now
	retry.budget.pending--
	retry.budget.add(now, 1)
	retry.budget.onWay = append(retry.budget.onWay, retry)
	return true
}

// NotSent records that no byte of the retry has reached its server, so that it is still to be sent.
func (retry *Retry) NotSent() {
	if retry == nil {
		return
	}
	switch retry.state {
	case sent:
		retry.budget.takeBack(retry.sentAt)
	case late:
		retry.budget.late--
	default:
		return
	}
	retry.state = waiting
	retry.budget.pending++
}

// Settle records that the retry was answered or given up, so that it can no longer reach a server.
func (retry *Retry) Settle(now clock.Millis) {
	if retry == nil || retry.state != sent && retry.state != late {
		return
	}
	retry.budget.updateLate(now)
	if retry.state == late {
		retry.budget.late--
		retry.budget.add(now, 1)
	}
	retry.state = settled
}

// Release ends the retry with its request. If it has not been sent it is returned to the budget.
func (retry *Retry) Release(now clock.Millis) {
	retry.Settle(now)
	if retry == nil || retry.state != waiting {
		return
	}
	retry.state = released
	retry.budget.pending--
}
