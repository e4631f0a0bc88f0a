package retry

import "teaselmoor/internal/base/clock"

// LoanTime is how long a loan lasts from the borrower's report that it answers. It is longer than reports take at a site of
// several hundred daemons.
const LoanTime = 6 * clock.Second

// loanMargin is how much longer than a window a daemon does not use what it has lent: the other one may use it
// for LoanTime, and what it has sent may arrive later.
const loanMargin = LoanTime + 2*clock.Second

// Borrower is a process of a daemon that borrows shares.
type Borrower struct {
	Daemon      string // empty: none
	Incarnation int64  // of the process
}

// Lend lends another daemon what this one has not used of its share in the window, as most callers come there. It returns the
// loan, in retries a window. Without a borrower the loan ends. What was lent is not used here until the retries
// that it has paid for have left the window, nor lent to a third process: that may be a later one of the same daemon.
func (allowance *Allowance) Lend(now clock.Millis, to Borrower, used float64) float64 {
	allowance.lent.advance(now)
	if to.Daemon == "" || now < allowance.usable || to != allowance.lentTo && allowance.lent.max() > 0 {
		return 0
	}
	allowance.lentTo = to
	loan := max(0, allowance.ownShare(now)-max(used, minShare))
	*allowance.lent.bucket() = max(*allowance.lent.bucket(), loan)
	return loan
}

// Borrow sets what other daemons lend this one.
func (allowance *Allowance) Borrow(loans float64) {
	allowance.borrowed = loans
}

// Borrowed returns what other daemons lend this one.
func (allowance *Allowance) Borrowed() float64 {
	return allowance.borrowed
}
