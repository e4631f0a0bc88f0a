package retry

import "teaselmoor/internal/base/clock"

// LoanTime is how long a daemon may use a loan after it was last told of it.
const LoanTime = 5 * clock.Second

// loanMargin is how much longer than a window a daemon does not use what it has lent: the other one may use it
// for LoanTime after the last message, which may be late.
const loanMargin = LoanTime + 2*clock.Second

// Lend lends another daemon what this one has not used of its share in the window, as most callers come there. It returns the
// loan, in retries a window. With an empty name the loan ends. What was lent is not used here until the retries
// that it has paid for have left the window, nor lent to a third daemon.
func (allowance *Allowance) Lend(now clock.Millis, to string, used float64) int {
	allowance.lent.advance(now)
	if to == "" || to != allowance.lentTo && allowance.lent.max() > 0 {
		return 0
	}
	allowance.lentTo = to
	loan := max(0, int(allowance.ownShare(now)-used))
	*allowance.lent.bucket() = max(*allowance.lent.bucket(), loan)
	return loan
}

// Borrow sets what other daemons lend this one.
func (allowance *Allowance) Borrow(loans int) {
	allowance.borrowed = loans
}

// UsedShare returns how much of a share of the fixed allowance the retries in the window have used, beyond what the requests
// allow.
func (budget *Budget) UsedShare(now clock.Millis) float64 {
	return max(0, -budget.Remaining(now, 0))
}
