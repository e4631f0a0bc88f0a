package retry

import "teaselmoor/internal/base/clock"

// Allowance is one daemon's share of the fixed allowance, which is the same for all services.
type Allowance struct {
	limits  Limits
	usable  clock.Millis // when the share may be used beyond what requests earn
	least   int          // daemons that share the allowance at least
	daemons window[int]  // highest number of daemons known
	current int          // last number of daemons recorded

	lent     window[float64] // highest loan to another daemon
	lentTo   Borrower
	borrowed float64
}

// NewAllowance returns the share of a daemon that starts now. Least is the minimum number of
// daemons that the allowance is divided by, so that a daemon that knows few others yet does not
// use more than its share. The former process of this daemon may just have used or lent its share, which is usable
// again after a window and the time of a loan.
func NewAllowance(limits Limits, now clock.Millis, least int) *Allowance {
	return &Allowance{
		limits: limits, usable: now + limits.Window + loanMargin, least: least,
		daemons: newWindow[int](limits.Window), lent: newWindow[float64](limits.Window + loanMargin),
	}
}

// Unused records that no process of the site can have used the allowance before now.
func (allowance *Allowance) Unused(now clock.Millis) {
	allowance.usable = now
}

// SetLimits replaces the fixed allowance. The window stays as it is.
func (allowance *Allowance) SetLimits(limits Limits) {
	limits.Window = allowance.limits.Window
	allowance.limits = limits
}

// RecordDaemons records the number of daemons that share the allowance: all that may be running, also those that this daemon
// has lost contact with. It must be called several times in a window.
func (allowance *Allowance) RecordDaemons(now clock.Millis, daemons int) {
	allowance.daemons.advance(now)
	*allowance.daemons.bucket() = max(*allowance.daemons.bucket(), daemons)
	allowance.current = daemons
}

// minShare is the smallest share, in retries. Without it a daemon could save up none of the retries that its requests earn.
const minShare = 1

// Share returns what this daemon may use: its share, less what it lends, and what it borrows.
func (allowance *Allowance) Share(now clock.Millis) Share {
	allowance.lent.advance(now)
	own := allowance.ownShare(now)
	share := Share{Retries: max(minShare, own-allowance.lent.max()) + allowance.borrowed}
	share.Earned = now < allowance.usable || own < minShare
	return share
}

// ownShare returns this daemon's share. It is that of the highest number of daemons in the window: those
// that have left may have used theirs, or still do so until they end.
func (allowance *Allowance) ownShare(now clock.Millis) float64 {
	allowance.daemons.advance(now)
	return allowance.limits.Extra / float64(max(1, allowance.least, allowance.current, allowance.daemons.max()))
}
