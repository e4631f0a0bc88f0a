package retry

import "teaselmoor/internal/base/clock"

// Retry is a retry that a budget has allowed. Its methods may be called on nil, for a try that is
// not a retry.
type Retry struct{}

// Sent records that the retry is being sent to a server.
func (retry *Retry) Sent(clock.Millis) {}

// NotSent records that no byte of the retry has reached its server.
func (retry *Retry) NotSent(clock.Millis) {}

// Release returns the retry to the budget if it has not been sent.
func (retry *Retry) Release() {}
